#include "citronpitch/partitionassigner.h"

#include "citronpitch/upstreamgroup.h"

#include <algorithm>
#include <tuple>

namespace Citronpitch {

namespace {

/// Longer than a handover, so that the last group that was moved is in service before the next one moves.
constexpr Duration balancingInterval = std::chrono::milliseconds(2500);

} // namespace

PartitionAssigner::PartitionAssigner(AssignmentPolicy policy)
    : m_policy(policy)
{
}

std::vector<GroupHolder> PartitionAssigner::assign(TimePoint now,
                                                   const std::vector<DomainPartition> &partitions,
                                                   const std::vector<GroupHolder> &holders,
                                                   const std::vector<AssignmentVm> &vms,
                                                   const std::map<std::string, TimePoint> &aliveSince)
{
    std::vector<GroupHolder> changes;
    std::map<std::string, GroupHolder> byGroup;
    for (const auto &it : holders)
        byGroup[it.group] = it;
    for (const auto &it : partitions) {
        if (it.groups == 0)
            continue;
        const auto ofDomain = assignDomain(now, it, byGroup, vms, aliveSince);
        changes.insert(changes.end(), ofDomain.begin(), ofDomain.end());
    }
    return changes;
}

std::vector<GroupHolder> PartitionAssigner::assignDomain(TimePoint now, const DomainPartition &partition,
                                                         const std::map<std::string, GroupHolder> &holders,
                                                         const std::vector<AssignmentVm> &vms,
                                                         const std::map<std::string, TimePoint> &aliveSince)
{
    VmsByName byName;
    std::vector<Candidate> candidates;
    for (const auto &it : vms) {
        if (it.peer.domain != partition.domain || it.peer.role != VmRole::Entry)
            continue;
        byName[it.peer.name] = &it;
        const auto since = aliveSince.find(it.peer.name);
        const bool isStable = since != aliveSince.end() && now - since->second >= m_policy.failbackDelay;
        if (it.isAlive && !it.isDraining)
            candidates.push_back({&it, isStable, 0});
    }
    if (candidates.empty())
        return {};
    const auto candidateOf = [&](const std::string &vm) {
        return std::find_if(candidates.begin(), candidates.end(),
                            [&](const auto &it) { return it.vm->peer.name == vm; });
    };
    std::vector<GroupHolder> kept;
    std::vector<GroupHolder> due;
    std::vector<GroupHolder> changes;
    for (std::uint32_t i = 0; i < partition.groups; ++i) {
        const auto group = partitionGroupName(partition.domain, partition.groups, i);
        const auto known = holders.find(group);
        if (known == holders.end()) {
            due.push_back({group, {}, 0, 0});
            continue;
        }
        const auto &holder = known->second;
        const auto current = candidateOf(holder.vm);
        if (isReplacementDue(now, holder, byName, candidates, aliveSince)) {
            due.push_back(holder);
            continue;
        }
        if (current == candidates.end())
            continue;
        ++current->groups;
        if (current->vm->peer.incarnation == holder.incarnation)
            kept.push_back(holder);
        else
            changes.push_back({group, holder.vm, current->vm->peer.incarnation, holder.fence});
    }
    for (const auto &it : due) {
        auto *chosen = choose(candidates, it.group);
        ++chosen->groups;
        changes.push_back({it.group, chosen->vm->peer.name, chosen->vm->peer.incarnation, it.fence});
    }
    if (changes.empty())
        balance(now, partition.domain, kept, candidates, changes);
    else
        m_nextMoveAt[partition.domain] = now + balancingInterval;
    return changes;
}

bool PartitionAssigner::isReplacementDue(TimePoint now, const GroupHolder &holder, const VmsByName &vms,
                                         const std::vector<Candidate> &candidates,
                                         const std::map<std::string, TimePoint> &aliveSince) const
{
    const auto it = vms.find(holder.vm);
    if (it != vms.end() && it->second->isAlive)
        return it->second->isDraining;
    if (it != vms.end() && now - it->second->lastMessageAt < m_policy.holderTimeout)
        return false;
    // Right after a partition of the network heals, other VMs may be heard before the holder.
    return std::any_of(candidates.begin(), candidates.end(), [&](const auto &candidate) {
        const auto since = aliveSince.find(candidate.vm->peer.name);
        return since == aliveSince.end() || now - since->second >= m_policy.holderTimeout;
    });
}

PartitionAssigner::Candidate *PartitionAssigner::choose(std::vector<Candidate> &candidates,
                                                        const std::string &group)
{
    const auto rank = [&](const Candidate &it) {
        return std::tuple(!it.isStable, it.vm->isOverloaded, it.groups,
                          rendezvousHash(group, it.vm->peer.name));
    };
    return &*std::min_element(candidates.begin(), candidates.end(),
                              [&](const auto &left, const auto &right) { return rank(left) < rank(right); });
}

void PartitionAssigner::balance(TimePoint now, const std::string &domain,
                                const std::vector<GroupHolder> &planned, std::vector<Candidate> &candidates,
                                std::vector<GroupHolder> &changes)
{
    if (now < m_nextMoveAt[domain])
        return;
    const auto fullest =
        std::max_element(candidates.begin(), candidates.end(),
                         [](const auto &left, const auto &right) { return left.groups < right.groups; });
    const auto moved = std::find_if(planned.begin(), planned.end(),
                                    [&](const auto &it) { return it.vm == fullest->vm->peer.name; });
    if (moved == planned.end())
        return;
    const auto *to = choose(candidates, moved->group);
    const bool isUneven = to->isStable && !to->vm->isOverloaded && fullest->groups >= to->groups + 2;
    if (!isUneven)
        return;
    changes.push_back({moved->group, to->vm->peer.name, to->vm->peer.incarnation, moved->fence});
    m_nextMoveAt[domain] = now + balancingInterval;
}

} // namespace Citronpitch
