#include "citronpitch/holderassignment.h"

#include <algorithm>

namespace Citronpitch {

namespace {

const AssignmentVm *findVm(const std::vector<AssignmentVm> &vms, const std::string &name)
{
    const auto it =
        std::find_if(vms.begin(), vms.end(), [&](const auto &vm) { return vm.peer.name == name; });
    return it == vms.end() ? nullptr : &*it;
}

bool canHold(const AssignmentVm &vm)
{
    return vm.isAlive && !vm.isDraining && vm.peer.role == VmRole::Control;
}

/// Whether another VM of @p domain is reachable while @p holder sends nothing. Right after a partition heals,
/// messages of the other VMs may arrive before those of the holder, so one of these VMs must have been
/// reachable for the whole timeout. Returns true if @p holder is null, as for a VM that the leader doesn't
/// know.
bool isDomainReachableWithout(TimePoint now, const AssignmentPolicy &policy, const std::string &domain,
                              const AssignmentVm *holder, const std::vector<AssignmentVm> &vms,
                              const std::map<std::string, TimePoint> &aliveSince)
{
    if (holder == nullptr)
        return true;
    if (now - holder->lastMessageAt < policy.holderTimeout)
        return false;
    return std::any_of(vms.begin(), vms.end(), [&](const auto &it) {
        if (it.peer.domain != domain || it.peer.name == holder->peer.name || !it.isAlive)
            return false;
        const auto since = aliveSince.find(it.peer.name);
        return since == aliveSince.end() || now - since->second >= policy.holderTimeout;
    });
}

/// Returns the VM that should hold the group of @p domain, or null.
const AssignmentVm *chooseHolder(const std::string &domain, const std::vector<AssignmentVm> &vms,
                                 const std::vector<GroupHolder> &holders)
{
    const AssignmentVm *best = nullptr;
    std::ptrdiff_t bestRank = 0;
    for (const auto &it : vms) {
        if (!canHold(it))
            continue;
        const auto heldGroups = std::count_if(holders.begin(), holders.end(),
                                              [&](const auto &holder) { return holder.vm == it.peer.name; });
        const auto rank = it.peer.domain == domain ? -1 : heldGroups;
        if (best != nullptr && rank >= bestRank)
            continue;
        best = &it;
        bestRank = rank;
    }
    return best;
}

} // namespace

std::vector<GroupHolder> assignHolders(TimePoint now, const AssignmentPolicy &policy,
                                       const std::vector<std::string> &domains,
                                       const std::vector<GroupHolder> &holders,
                                       const std::vector<AssignmentVm> &vms,
                                       const std::map<std::string, TimePoint> &aliveSince)
{
    std::vector<GroupHolder> changes;
    auto planned = holders;
    for (const auto &domain : domains) {
        const auto it = std::find_if(planned.begin(), planned.end(),
                                     [&](const auto &holder) { return holder.group == domain; });
        const bool isHeld = it != planned.end();
        const auto *current = isHeld ? findVm(vms, it->vm) : nullptr;
        const auto *wanted = chooseHolder(domain, vms, planned);
        if (wanted == nullptr)
            continue;
        bool isDue = !isHeld;
        if (isHeld && current != nullptr && current->isAlive) {
            const bool isRestarted = current->peer.incarnation != it->incarnation;
            const auto since = aliveSince.find(wanted->peer.name);
            const bool isStable = since != aliveSince.end() && now - since->second >= policy.failbackDelay;
            const bool isFailback =
                current->peer.domain != domain && wanted->peer.domain == domain && isStable;
            isDue = isRestarted || current->isDraining || isFailback;
            if (isRestarted && canHold(*current))
                wanted = current;
        } else if (isHeld) {
            isDue = isDomainReachableWithout(now, policy, domain, current, vms, aliveSince);
        }
        if (!isDue || (isHeld && wanted->peer.name == it->vm && wanted->peer.incarnation == it->incarnation))
            continue;
        const GroupHolder change{domain, wanted->peer.name, wanted->peer.incarnation, isHeld ? it->fence : 0};
        changes.push_back(change);
        if (isHeld)
            *it = change;
        else
            planned.push_back(change);
    }
    return changes;
}

} // namespace Citronpitch
