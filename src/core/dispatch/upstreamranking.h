#pragma once

#include "core/dispatch/upstreamtable.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace Citronpitch {

/// An upstream in the ranking of one class.
struct RankedUpstream
{
    UpstreamIndex upstream = 0;
    /// Expected time of a task; zero while the upstream is on trial, so that it is chosen first.
    Duration time{};
    RackIndex rack = 0;
    /// Number of tasks that it runs concurrently for this entry VM.
    std::uint32_t parallelTasks = 0;
    bool isFree = false;
    /// Accepts only jobs of a single task: in a larger job, one failure wastes the work of all tasks.
    bool isSingleTaskOnly = false;
};

/**
 * @brief Keeps the upstreams sorted by their expected time for one class, and which of them are free.
 *
 * Upstreams with similar times are tied; their order alternates between racks. Searches for a free upstream
 * use a bitmap.
 */
class UpstreamRanking
{
public:
    /// Replaces the ranked upstreams with @p upstreams, in any order.
    void rebuild(std::vector<RankedUpstream> upstreams);

    /// Sets whether @p upstream is free; ignored if it is not ranked.
    void setFree(UpstreamIndex upstream, bool isFree);

    /// Returns the first free rank that is not below @p rank.
    std::optional<std::size_t> nextFree(std::size_t rank) const;

    /// Returns the last free rank below @p rank.
    std::optional<std::size_t> previousFree(std::size_t rank) const;

    const RankedUpstream &at(std::size_t rank) const;
    /// Returns the expected time of a task on @p upstream; zero if it is not ranked.
    Duration timeOn(UpstreamIndex upstream) const;
    std::size_t size() const;

    /// Whether the upstreams at two ranks are tied.
    bool areTied(std::size_t left, std::size_t right) const;

    /// Returns the number of leading ranks with times in a bucket below that of @p time.
    std::size_t countFasterThan(Duration time) const;

    /// Returns the throughput of the first @p ranks ranks at full load, in tasks per microsecond. Upstreams
    /// on trial add nothing, since no job may wait for them.
    double throughputOf(std::size_t ranks) const;

private:
    std::vector<RankedUpstream> m_ranked;
    std::vector<int> m_timeBuckets;
    std::vector<double> m_throughputs;
    std::vector<std::uint64_t> m_free;
    std::vector<std::size_t> m_rankOf;
};

} // namespace Citronpitch
