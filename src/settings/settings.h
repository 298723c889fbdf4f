#pragma once

#include "citronpitch/configuration.h"
#include "citronpitch/membership.h"
#include "citronpitch/placementpolicy.h"
#include "citronpitch/steperror.h"

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
};

/// Limits on the connections of callers.
struct CallerLimits
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
    CallerLimits limits;
    Duration heartbeatPeriod{};
    Duration suspicionTime{};
    Duration upstreamLease{};
    Duration answerRetention{};
    Duration defaultDeadline{};
    Duration drainTimeout{};
    /// How waiting tasks are ordered and upstreams chosen; other than the default only for comparison.
    PlacementPolicy placement = PlacementPolicy::Target;
    /// Classes and teams in force before any change is accepted.
    Configuration initialConfiguration;
};

/// Reads settings from JSON with comments. The error is a StepError that says where and what.
boost::leaf::result<Settings> parseSettings(const std::string &text, const std::string &fileName);

/// Reads the settings file at @p path.
boost::leaf::result<Settings> loadSettings(const std::string &path);

} // namespace Citronpitch
