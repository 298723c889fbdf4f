#pragma once

#include "citronpitch/fleetpeer.h"
#include "log/logsettings.h"
#include "settings/settings.h"

#include <boost/leaf.hpp>

#include <optional>
#include <string>
#include <vector>

namespace Citronpitch {

/// Everything that the settings file of one VM of a fleet says.
struct FleetSettings
{
    /// Name of the VM in logs.
    std::string vm;
    VmRole role = VmRole::Entry;
    std::string domain;
    /// Every failure domain of the deployment.
    std::vector<std::string> domains;
    /// Link of this VM as the others reach it; the links of all VMs have the same port.
    Endpoint peers;
    /// Where links of the others arrive; another address than @ref peers where addresses are translated.
    Endpoint peerListener;
    /// Addresses of VMs that may know the others.
    std::vector<std::string> seeds;
    /// Whether the fleet starts for the first time; the seeds are its first voters then.
    bool isFirstStart = false;
    /// How many control VMs may be lost at once, with their disks; twice as many and one more vote.
    std::size_t toleratedLosses = 1;
    /// Empty: the VM keeps nothing.
    std::string dataFolder;
    /// Listeners that the role has; nothing where it has not.
    std::optional<Endpoint> callers;
    std::optional<Endpoint> readiness;
    std::optional<Endpoint> control;
    std::optional<Endpoint> metrics;
    /// How long a shutdown may take.
    Duration drainTimeout{};
    /// Longest lease that upstreams give.
    Duration longestLease{};
    /// Time between two announcements of an upstream.
    Duration announcementInterval{};
    /// Time after which callers send a job again that got no clear answer.
    Duration callerRetryTime{};
    LogSettings log;
};

/// Reads settings from JSON with comments; the error names the key and the reason.
boost::leaf::result<FleetSettings> parseFleetSettings(const std::string &text);

/// Reads the settings file at @p path.
boost::leaf::result<FleetSettings> loadFleetSettings(const std::string &path);

} // namespace Citronpitch
