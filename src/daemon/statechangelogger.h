#pragma once

#include "citronpitch/entryvm.h"

#include <cstdint>
#include <map>
#include <string>

namespace Citronpitch {

/**
 * @brief Logs state changes of an entry VM: other VMs, upstreams and the configuration.
 *
 * Compares with the state of the previous call, so that the decision code does not depend on the log. Used by
 * Daemon.
 */
class StateChangeLogger
{
public:
    /// Logs the changes since the previous call.
    void observe(TimePoint now, const EntryVm &vm);

private:
    enum class UpstreamState { Announced, Leaving, Expired };

    struct LoggedUpstream
    {
        UpstreamState state = UpstreamState::Announced;
        std::uint64_t incarnation = 0;
        bool operator==(const LoggedUpstream &) const = default;
    };

    using LoggedUpstreams = std::map<std::string, LoggedUpstream>;

    void observePeers(const Membership &membership);
    void observeUpstreams(TimePoint now, const Dispatcher &dispatcher);
    void observeConfiguration(const Configuration &configuration);

    std::map<std::string, VmState> m_peers;
    LoggedUpstreams m_upstreams;
    std::uint64_t m_version = 0;
    bool m_hasConfiguration = false;
};

} // namespace Citronpitch
