#pragma once

#include "citronpitch/configuration.h"
#include "citronpitch/membership.h"
#include "citronpitch/placementpolicy.h"
#include "citronpitch/steperror.h"
#include "log/logsettings.h"
#include "settings/settingserror.h"

#include <boost/leaf.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace Citronpitch {

/// IP number and port of a listener or a peer.
struct Endpoint
{
    std::string address;
    std::uint16_t port = 0;
    auto operator<=>(const Endpoint &) const = default;
};

/// One entry VM as the settings name it.
struct VmSettings
{
    VmIdentity identity;
    /// Where its link for other entry VMs can be reached.
    Endpoint peers;
    /// Whether it votes on the replicated configuration; such a VM needs a data folder.
    bool isVoter = true;
};

/// Limits on the connections of callers.
struct HttpLimits
{
    std::uint64_t maximumBodyBytes = 0;
    /// Largest sum of the request bodies that are being read at one time.
    std::uint64_t maximumBodyBytesInAll = 0;
    std::uint32_t maximumHeaderBytes = 0;
    std::uint32_t maximumConnections = 0;
    std::uint32_t maximumConnectionsPerAddress = 0;
    Duration idleTimeout{};
    Duration readTimeout{};
};

/// Everything that a settings file says.
struct Settings
{
    std::string name;
    std::string failureDomain;
    std::string dataFolder;
    Endpoint callers;
    Endpoint control;
    Endpoint peers;
    std::vector<VmSettings> vms;
    HttpLimits limits;
    Duration heartbeatPeriod{};
    Duration suspicionTime{};
    Duration upstreamLease{};
    Duration answerRetention{};
    /// A key with an older date that is not known is never started.
    Duration keyAge{};
    /// Most by which two clocks of the deployment differ.
    Duration clockSkew{};
    Duration defaultDeadline{};
    Duration drainTimeout{};
    /// How waiting tasks are ordered and upstreams chosen; other than the default only for comparison.
    PlacementPolicy placement = PlacementPolicy::Target;
    LogSettings log;
    /// Classes and teams in force before any change is accepted.
    Configuration initialConfiguration;
    /// The settings as JSON with every default filled in.
    std::string completeJson;
};

/// Reads settings from JSON with comments. The errors are SettingsErrors, and a StepError that lists them.
boost::leaf::result<Settings> parseSettings(const std::string &text, const std::string &fileName);

/// What reading the settings file again while the daemon runs leads to.
struct SettingsReloadResult
{
    /// What is in force from now on.
    Settings settings;
    /// Keys whose new value is in force.
    std::vector<std::string> applied;
    /// Keys whose new value waits for a restart.
    std::vector<std::string> needsRestart;
};

/// Takes over from @p loaded what can change while the daemon runs with @p running.
SettingsReloadResult applyReloadableSettings(const Settings &running, const Settings &loaded);

/// Reads the settings file at @p path.
boost::leaf::result<Settings> loadSettings(const std::string &path);

} // namespace Citronpitch
