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

/// IP address and port.
struct Endpoint
{
    std::string address;
    std::uint16_t port = 0;
    auto operator<=>(const Endpoint &) const = default;

    /// Returns ADDRESS:PORT.
    std::string text() const
    {
        return address + ":" + std::to_string(port);
    }
};

/// Entry VM of the deployment.
struct VmSettings
{
    VmIdentity identity;
    /// Address on which other entry VMs reach it.
    Endpoint peers;
    /// Whether it is a voter of the replicated configuration; a voter needs a data folder.
    bool isVoter = true;
};

/// Limits of an HttpServer.
struct HttpLimits
{
    std::uint64_t maximumBodyBytes = 0;
    /// Limit on the total size of the request bodies that are being read at the same time.
    std::uint64_t maximumBodyBytesInAll = 0;
    std::uint32_t maximumHeaderBytes = 0;
    std::uint32_t maximumConnections = 0;
    std::uint32_t maximumConnectionsPerAddress = 0;
    Duration idleTimeout{};
    Duration readTimeout{};
    /// Limit on the memory that all incomplete requests, with headers, bodies and trailers, and all responses
    /// that were not read yet hold together. Beyond it the largest of them is given up.
    std::uint64_t maximumIncompleteBytes = std::uint64_t{256} << 20;
};

/// Content of a settings file with all defaults.
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
    Duration heartbeatInterval{};
    Duration suspicionTimeout{};
    Duration upstreamLease{};
    Duration answerRetention{};
    /// Maximum age of a dated key that is not known; a job with an older one is not started.
    Duration keyAge{};
    /// Maximum difference between two clocks of the deployment.
    Duration clockSkew{};
    Duration defaultDeadline{};
    Duration drainTimeout{};
    /// Policy that orders waiting tasks and selects upstreams; policies other than the default exist only for
    /// comparison.
    PlacementPolicy placement = PlacementPolicy::Target;
    LogSettings log;
    /// Classes and teams that are active until the first change is committed.
    Configuration initialConfiguration;
    /// The settings as JSON with all defaults.
    std::string completeJson;
};

/// Parses settings from JSON with comments. Fails with SettingsErrors and a StepError that lists them
/// and names @p fileName.
boost::leaf::result<Settings> parseSettings(const std::string &text, const std::string &fileName);

/// Result of applying a reloaded settings file.
struct SettingsReloadResult
{
    /// Settings to use from now on.
    Settings settings;
    /// Keys whose new value was applied.
    std::vector<std::string> applied;
    /// Keys whose new value needs a restart.
    std::vector<std::string> needsRestart;
};

/// Merges the values of @p loaded that can change at run time into @p running.
SettingsReloadResult applyReloadableSettings(const Settings &running, const Settings &loaded);

/// Reads and parses the settings file at @p path.
boost::leaf::result<Settings> loadSettings(const std::string &path);

} // namespace Citronpitch
