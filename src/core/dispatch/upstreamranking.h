#pragma once

#include "core/dispatch/upstreamtable.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace Citronpitch {

/// An upstream as one class sees it.
struct RankedUpstream
{
    UpstreamIndex upstream = 0;
    /// Expected time of a task.
    Duration time{};
    RackIndex rack = 0;
    /// Tasks side by side.
    std::uint32_t parallelTasks = 0;
    bool isFree = false;
    /// Takes single tasks alone: a failure would cost a job of many tasks the work of all of them.
    bool isSingleTaskOnly = false;
};

/**
 * @brief The upstreams in the order in which one class prefers them, with those that are free marked.
 *
 * Times that differ little count as equal, and among equals neighbours are on different racks. Finding the
 * best free one looks at one bit per upstream. Used by Dispatcher, which rebuilds it when estimates have
 * changed.
 */
class UpstreamRanking
{
public:
    /// Orders @p upstreams anew.
    void rebuild(std::vector<RankedUpstream> upstreams);

    /// Marks @p upstream; ignored for one that is not ranked.
    void setFree(UpstreamIndex upstream, bool isFree);

    /// First free rank from @p rank on.
    std::optional<std::size_t> nextFree(std::size_t rank) const;

    /// Last free rank before @p rank.
    std::optional<std::size_t> previousFree(std::size_t rank) const;

    const RankedUpstream &at(std::size_t rank) const;
    std::size_t size() const;

    /// Whether the times at two ranks count as equal.
    bool areTied(std::size_t left, std::size_t right) const;

    /// Number of the leading ranks whose time is below @p time.
    std::size_t countFasterThan(Duration time) const;

    /// Tasks per microsecond that the first @p ranks ranks end when they are all busy.
    double throughputOf(std::size_t ranks) const;

private:
    std::vector<RankedUpstream> m_ranked;
    std::vector<int> m_timeBuckets;
    std::vector<double> m_throughputs;
    std::vector<std::uint64_t> m_free;
    std::vector<std::size_t> m_rankOf;
};

} // namespace Citronpitch
