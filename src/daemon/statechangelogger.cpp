#include "daemon/statechangelogger.h"

#include "log/eventlog.h"

namespace Citronpitch {

void StateChangeLogger::observe(TimePoint now, const EntryVm &vm)
{
    observePeers(vm.membership());
    observeUpstreams(now, vm.dispatcher());
    observeConfiguration(vm.configuration());
}

void StateChangeLogger::observePeers(const Membership &membership)
{
    for (const auto &it : membership.peers()) {
        const auto state = membership.findStatus(it.name)->state;
        auto &seen = m_peers.try_emplace(it.name, VmState::NeverSeen).first->second;
        if (seen == state)
            continue;
        seen = state;
        if (state == VmState::Alive)
            logEvent(Event::PeerAlive, {{"peer", it.name}, {"failureDomain", it.failureDomain}});
        else if (state == VmState::Suspected)
            logEvent(Event::PeerSuspected, {{"peer", it.name}, {"failureDomain", it.failureDomain}});
        else if (state == VmState::Leaving)
            logEvent(Event::PeerLeaving, {{"peer", it.name}, {"failureDomain", it.failureDomain}});
    }
}

void StateChangeLogger::observeUpstreams(TimePoint now, const Dispatcher &dispatcher)
{
    LoggedUpstreams current;
    for (const auto &it : dispatcher.upstreams()) {
        const auto &announcement = it.announcement;
        LoggedUpstream upstream{UpstreamState::Announced, announcement.incarnation};
        if (announcement.leaving)
            upstream.state = UpstreamState::Leaving;
        else if (announcement.leaseDeadline <= now)
            upstream.state = UpstreamState::Expired;
        current[announcement.name] = upstream;
        const auto seen = m_upstreams.find(announcement.name);
        if (seen != m_upstreams.end() && seen->second == upstream)
            continue;
        if (upstream.state == UpstreamState::Announced)
            logEvent(Event::UpstreamAnnounced,
                     {{"upstream", announcement.name},
                      {"address", announcement.address + ":" + std::to_string(announcement.port)},
                      {"slots", std::to_string(announcement.slots)}});
        else if (upstream.state == UpstreamState::Leaving)
            logEvent(Event::UpstreamLeaving, {{"upstream", announcement.name}});
        else
            logEvent(Event::UpstreamExpired, {{"upstream", announcement.name}});
    }
    for (const auto &[name, seen] : m_upstreams) {
        if (seen.state == UpstreamState::Announced && !current.contains(name))
            logEvent(Event::UpstreamExpired, {{"upstream", name}});
    }
    m_upstreams = std::move(current);
}

void StateChangeLogger::observeConfiguration(const Configuration &configuration)
{
    if (m_hasConfiguration && m_version == configuration.version)
        return;
    m_hasConfiguration = true;
    m_version = configuration.version;
    logEvent(Event::ConfigurationActivated, {{"version", std::to_string(m_version)}});
}

} // namespace Citronpitch
