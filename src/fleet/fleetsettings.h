#pragma once

#include "citronpitch/fleetpeer.h"
#include "log/logsettings.h"
#include "settings/settings.h"

#include <boost/leaf.hpp>

#include <optional>
#include <string>
#include <vector>

namespace Citronpitch {

/// Settings of one VM of a fleet.
struct FleetSettings
{
    /// Name of the VM in logs.
    std::string vm;
    VmRole role = VmRole::Entry;
    std::string domain;
    /// All failure domains of the deployment.
    std::vector<std::string> domains;
    /// Address of this VM's link for the other VMs; the links of all VMs have the same port.
    Endpoint peers;
    /// Listener for links of the other VMs; differs from @ref peers behind address translation.
    Endpoint peerListener;
    /// Addresses of VMs through which the others are discovered.
    std::vector<std::string> seeds;
    /// Whether the fleet starts for the first time; the seeds are then its first voters.
    bool isFirstStart = false;
    /// Number n of control VMs that may be lost at once with their disks; 2n + 1 VMs vote.
    std::size_t toleratedLosses = 1;
    /// Empty: the VM stores nothing.
    std::string dataFolder;
    /// Listeners; only those of the VM's role are set.
    std::optional<Endpoint> callers;
    std::optional<Endpoint> readiness;
    std::optional<Endpoint> control;
    std::optional<Endpoint> metrics;
    /// Time limit of a shutdown.
    Duration drainTimeout{};
    /// Maximum lease that upstreams grant.
    Duration maximumLease{};
    /// Time between two announcements of an upstream.
    Duration announcementInterval{};
    /// Time after which callers retry a job without a definite answer.
    Duration callerRetryTime{};
    /// A failure domain with more upstreams is partitioned; its groups are held by entry VMs.
    std::uint32_t partitionAboveUpstreams = 0;
    /// Largest mean number of upstreams per group of a new partition.
    std::uint32_t upstreamsPerGroup = 0;
    /// Time after the acknowledgement of an evacuation by which starts in the failure domain have ceased;
    /// without it, operators can't evacuate.
    std::optional<Duration> evacuationTime;
    LogSettings log;
};

/// Parses settings in JSON with comments; an error names the key and the reason.
boost::leaf::result<FleetSettings> parseFleetSettings(const std::string &text);

/// Reads the settings file at @p path.
boost::leaf::result<FleetSettings> loadFleetSettings(const std::string &path);

} // namespace Citronpitch
