#include "citronpitch/partitionplanner.h"

#include "citronpitch/upstreamgroup.h"

#include <algorithm>

namespace Citronpitch {

namespace {

/// With 24 upstreams per group, a partition is kept while the mean size is between 8 and 48.
constexpr std::uint32_t minimumSizeDivisor = 3;
constexpr std::uint32_t maximumSizeFactor = 2;

/// A single holder would get all upstreams of a large domain, for which one entry VM is too weak.
constexpr std::uint32_t minimumGroups = 2;

/// A partition that is limited by the number of entry VMs grows only by this factor, in percent. Otherwise
/// each VM that joins would move all groups.
constexpr std::uint32_t minimumGrowthPercent = 125;
constexpr std::uint32_t percent = 100;

} // namespace

std::uint32_t PartitionPolicy::minimumMeanSize() const
{
    return upstreamsPerGroup / minimumSizeDivisor;
}

std::uint32_t PartitionPolicy::maximumMeanSize() const
{
    return upstreamsPerGroup * maximumSizeFactor;
}

PartitionPlanner::PartitionPlanner(PartitionPolicy policy)
    : m_policy(policy)
{
}

std::vector<DomainPartition> PartitionPlanner::plan(TimePoint now, const std::vector<DomainSize> &domains,
                                                    const std::vector<DomainPartition> &partitions)
{
    std::vector<DomainPartition> changes;
    for (const auto &it : domains) {
        if (!isChangeWanted(it, partitionGroups(partitions, it.domain))) {
            m_wantedSince.erase(it.domain);
            continue;
        }
        const auto since = m_wantedSince.try_emplace(it.domain, now).first->second;
        if (now - since >= m_policy.settleTime)
            changes.push_back({it.domain, wantedGroups(it)});
    }
    return changes;
}

void PartitionPlanner::reset()
{
    m_wantedSince.clear();
}

std::uint32_t PartitionPlanner::wantedGroups(const DomainSize &domain) const
{
    if (domain.upstreams <= m_policy.partitionAbove)
        return 0;
    const auto groups = (domain.upstreams + m_policy.upstreamsPerGroup - 1) / m_policy.upstreamsPerGroup;
    const auto limited = std::min(groups, domain.entryVms);
    return limited < minimumGroups ? 0 : limited;
}

bool PartitionPlanner::isChangeWanted(const DomainSize &domain, std::uint32_t current) const
{
    if (domain.entryVms == 0)
        return false;
    const auto wanted = wantedGroups(domain);
    if (current == 0 || wanted == current)
        return wanted != current;
    if (domain.upstreams < m_policy.minimumMeanSize() * current)
        return wanted < current;
    if (domain.upstreams <= m_policy.maximumMeanSize() * current)
        return false;
    if (wanted == 0)
        return domain.upstreams <= m_policy.partitionAbove / 2;
    return wanted * percent >= current * minimumGrowthPercent;
}

} // namespace Citronpitch
