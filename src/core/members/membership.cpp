#include "citronpitch/membership.h"

namespace Citronpitch {

Membership::Membership(const std::string &self, const std::vector<VmIdentity> &vms, Duration suspicionTimeout)
    : m_suspicionTimeout(suspicionTimeout)
{
    for (const auto &it : vms) {
        if (it.name == self)
            continue;
        m_peers.push_back(it);
        m_statuses.emplace(it.name, VmStatus());
    }
}

bool Membership::messageReceived(TimePoint now, std::string_view vm, std::uint64_t incarnation)
{
    const auto it = m_statuses.find(vm);
    if (it == m_statuses.end() || incarnation < it->second.incarnation)
        return false;
    auto &status = it->second;
    const bool isNewIncarnation = incarnation > status.incarnation;
    status.incarnation = incarnation;
    status.lastMessageAt = now;
    if (isNewIncarnation || status.state != VmState::Leaving)
        status.state = VmState::Alive;
    return true;
}

void Membership::heartbeatReceived(std::string_view vm, std::uint64_t configurationVersion,
                                   std::uint32_t freeSlots, std::uint32_t queuedTasks, bool leaving)
{
    const auto it = m_statuses.find(vm);
    if (it == m_statuses.end())
        return;
    it->second.configurationVersion = configurationVersion;
    it->second.freeSlots = freeSlots;
    it->second.queuedTasks = queuedTasks;
    if (leaving)
        it->second.state = VmState::Leaving;
}

std::vector<std::string> Membership::markSuspected(TimePoint now)
{
    std::vector<std::string> names;
    for (auto &[name, status] : m_statuses) {
        const bool wasReachable = status.state == VmState::Alive || status.state == VmState::Leaving;
        if (!wasReachable || now - status.lastMessageAt < m_suspicionTimeout)
            continue;
        status.state = VmState::Suspected;
        names.push_back(name);
    }
    return names;
}

bool Membership::isReachable(std::string_view vm) const
{
    const auto *status = findStatus(vm);
    return status != nullptr && (status->state == VmState::Alive || status->state == VmState::Leaving);
}

const VmStatus *Membership::findStatus(std::string_view vm) const
{
    const auto it = m_statuses.find(vm);
    return it == m_statuses.end() ? nullptr : &it->second;
}

const std::vector<VmIdentity> &Membership::peers() const
{
    return m_peers;
}

} // namespace Citronpitch
