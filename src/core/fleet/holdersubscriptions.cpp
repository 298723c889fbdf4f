#include "citronpitch/holdersubscriptions.h"

#include "citronpitch/upstreamgroup.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace Citronpitch {

std::set<std::string> subscribedHolders(const std::string &vm, const std::string &domain,
                                        const std::vector<GroupHolder> &holders,
                                        const std::vector<DomainPartition> &partitions)
{
    std::set<std::string> vms;
    for (const auto &partition : partitions) {
        if (partition.groups == 0)
            continue;
        std::vector<std::pair<std::uint64_t, const GroupHolder *>> ranked;
        for (const auto &it : holders) {
            if (isGroupOfDomain(it.group, partition.domain))
                ranked.emplace_back(rendezvousHash(it.group, vm), &it);
        }
        const auto n =
            std::min(ranked.size(), partition.domain == domain ? subscribedOwnGroups : subscribedOtherGroups);
        std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(n), ranked.end());
        for (std::size_t i = 0; i < n; ++i)
            vms.insert(ranked[i].second->vm);
    }
    vms.erase(vm);
    return vms;
}

} // namespace Citronpitch
