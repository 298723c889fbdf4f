#include "citronpitch/peerdirectory.h"

#include <algorithm>
#include <set>
#include <utility>

namespace Citronpitch {

namespace {

constexpr Duration usualHeartbeatInterval = std::chrono::milliseconds(100);

/// With this many VMs heartbeats are half as frequent, since their number grows with the square of it.
constexpr std::size_t manyPeers = 64;
constexpr Duration heartbeatIntervalOfMany = std::chrono::milliseconds(200);

} // namespace

PeerDirectory::PeerDirectory(PeerDirectoryOptions options)
    : m_options(std::move(options))
{
}

bool PeerDirectory::messageReceived(TimePoint now, const std::string &name, std::uint64_t incarnation,
                                    std::int64_t sentAt, TimePoint echoedAt)
{
    if (name == m_options.self.name)
        return false;
    const auto [known, isUnknown] = m_peers.try_emplace(name);
    auto &it = known->second;
    m_version += isUnknown ? 1 : 0;
    const bool isNew = it.peer.incarnation != incarnation;
    // Incarnations are start times, and clocks may step back: a lower one is stale only while the higher one
    // is reachable.
    if (isNew && incarnation < it.peer.incarnation && it.isAlive)
        return false;
    if (isNew) {
        if (std::exchange(it.isAlive, false))
            m_changes.push_back({it.peer, false});
        const auto role = it.peer.role;
        const auto domain = it.peer.domain;
        it = {};
        it.peer = {name, role, domain, incarnation};
    }
    it.lastMessageAt = now;
    it.echoedAt = std::max(it.echoedAt, echoedAt);
    it.sentAt = std::max(it.sentAt, sentAt);
    it.lastDelay = it.delay.record(now, timePointOf(sentAt));
    updateReachability(now, it);
    return true;
}

void PeerDirectory::heartbeatReceived(TimePoint now, const FleetPeer &peer, bool isDraining,
                                      const std::vector<FleetPeer> &controlVms, bool isSubscriber)
{
    auto &it = m_peers[peer.name];
    m_version += it.peer.role != peer.role || it.peer.domain != peer.domain ? 1 : 0;
    it.peer = peer;
    it.isDraining = isDraining;
    it.isSubscriber = isSubscriber;
    for (const auto &other : controlVms) {
        if (other.name != m_options.self.name)
            m_version += m_mentioned.insert_or_assign(other.name, now).second ? 1 : 0;
    }
    updateReachability(now, it);
}

bool PeerDirectory::setSubscriptions(std::set<std::string> vms)
{
    vms.erase(m_options.self.name);
    if (vms == m_subscriptions)
        return false;
    m_subscriptions = std::move(vms);
    return true;
}

bool PeerDirectory::isSubscribedTo(const std::string &name) const
{
    return m_subscriptions.contains(name);
}

void PeerDirectory::linkClosed(TimePoint now, const std::string &name)
{
    const auto it = m_peers.find(name);
    if (it == m_peers.end())
        return;
    const auto latest = now - m_options.suspicionTimeout + m_options.closedLinkTimeout;
    it->second.lastMessageAt = std::min(it->second.lastMessageAt, latest);
}

void PeerDirectory::tick(TimePoint now)
{
    for (auto &[name, it] : m_peers)
        updateReachability(now, it);
    const auto isExpired = [&](TimePoint lastMessageAt) { return now - lastMessageAt > m_options.retention; };
    const auto removed =
        std::erase_if(
            m_peers, [&](const auto &it) { return !it.second.isAlive && isExpired(it.second.lastMessageAt); })
        + std::erase_if(m_mentioned, [&](const auto &it) { return isExpired(it.second); });
    m_version += removed > 0 ? 1 : 0;
}

Duration PeerDirectory::heartbeatInterval() const
{
    return m_peers.size() < manyPeers ? usualHeartbeatInterval : heartbeatIntervalOfMany;
}

std::uint64_t PeerDirectory::version() const
{
    return m_version;
}

std::vector<std::string> PeerDirectory::heartbeatTargets() const
{
    std::set<std::string> names(m_options.seeds.begin(), m_options.seeds.end());
    for (const auto &[name, at] : m_mentioned)
        names.insert(name);
    for (const auto &[name, it] : m_peers) {
        const bool isWanted =
            m_options.self.role == VmRole::Control || it.peer.role == VmRole::Control || it.isSubscriber;
        if (isWanted)
            names.insert(name);
        else
            names.erase(name);
    }
    names.insert(m_subscriptions.begin(), m_subscriptions.end());
    names.erase(m_options.self.name);
    return {names.begin(), names.end()};
}

std::vector<FleetPeer> PeerDirectory::controlVms() const
{
    std::vector<FleetPeer> list;
    if (m_options.self.role == VmRole::Control)
        list.push_back(m_options.self);
    for (const auto &[name, it] : m_peers) {
        if (it.isAlive && it.peer.role == VmRole::Control)
            list.push_back(it.peer);
    }
    return list;
}

bool PeerDirectory::takeListing(TimePoint now, const std::string &name,
                                const std::vector<FleetPeer> &controlVms)
{
    const auto it = m_peers.find(name);
    if (it == m_peers.end())
        return true;
    auto &peer = it->second;
    if (peer.isAlive && now < peer.nextListingAt && peer.listedControlVms == controlVms)
        return false;
    peer.listedControlVms = controlVms;
    peer.nextListingAt = now + m_options.listingInterval;
    return true;
}

std::optional<Duration> PeerDirectory::messageDelay(const std::string &name) const
{
    const auto *it = find(name);
    return it == nullptr || !it->isAlive ? std::nullopt : std::optional(it->lastDelay);
}

const KnownPeer *PeerDirectory::find(const std::string &name) const
{
    const auto it = m_peers.find(name);
    return it == m_peers.end() ? nullptr : &it->second;
}

bool PeerDirectory::isAlive(const std::string &name) const
{
    if (name == m_options.self.name)
        return true;
    const auto *it = find(name);
    return it != nullptr && it->isAlive;
}

const std::map<std::string, KnownPeer> &PeerDirectory::peers() const
{
    return m_peers;
}

std::vector<PeerChange> PeerDirectory::takeChanges()
{
    return std::exchange(m_changes, {});
}

bool PeerDirectory::hasTwoWayTraffic(TimePoint now, const KnownPeer &it) const
{
    // When this VM resumes after a suspension, it reads messages that arrived earlier as if they were new,
    // but the times that they echo are old.
    return now - it.lastMessageAt < m_options.suspicionTimeout
        && now - it.echoedAt < m_options.suspicionTimeout && !it.peer.domain.empty();
}

void PeerDirectory::updateReachability(TimePoint now, KnownPeer &it)
{
    const bool isAlive = hasTwoWayTraffic(now, it);
    if (isAlive == it.isAlive)
        return;
    it.isAlive = isAlive;
    m_changes.push_back({it.peer, isAlive});
}

} // namespace Citronpitch
