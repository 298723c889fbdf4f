#pragma once

#include "core/dispatch/taskqueue.h"
#include "core/dispatch/upstreamranking.h"

#include <optional>
#include <vector>

namespace Citronpitch {

/// Where the tasks of one job went and what became of them.
struct JobPlacementState
{
    std::uint32_t tasks = 0;
    std::uint32_t succeeded = 0;
    /// Declared time of each task.
    std::vector<Duration> declaredTimes;
    /// Tasks started in each rack, by its number.
    std::vector<std::uint32_t> startsPerRack;
    /// Upstreams on which an attempt did not come to an answer.
    std::vector<UpstreamIndex> avoidedUpstreams;
    /// Attempts in flight.
    std::vector<AttemptId> openAttempts;
};

/// What to do with the most urgent task of a lane.
enum class PlacementOutcome {
    Start,
    /// No free upstream fits.
    NoFreeUpstream,
    /// Only slow upstreams are free, and one of the fast ones is free soon enough.
    WaitForFaster,
};

/// Verdict on one task and, for Start, the upstream.
struct PlacementChoice
{
    PlacementOutcome outcome = PlacementOutcome::NoFreeUpstream;
    UpstreamIndex upstream = 0;
};

/**
 * @brief Chooses the upstream for one task: the one on which it is expected to end first.
 *
 * Among equals it spreads the tasks of a job over racks. Used by Dispatcher.
 */
class Placer
{
public:
    explicit Placer(const UpstreamTable &upstreams);

    /**
     * Chooses for a task that needs @p need.
     *
     * @p tasksAhead is the number of waiting tasks that would take the faster upstreams first, this one
     * included.
     */
    PlacementChoice choose(const UpstreamRanking &ranking, const Resources &need, const JobPlacementState &job,
                           std::uint32_t tasksAhead) const;

    /**
     * The slowest upstream on which a task is expected to take no more than @p longest, or nothing.
     *
     * Leaves the fast upstreams to work that needs them. Looks at a few candidates only.
     */
    std::optional<UpstreamIndex> chooseSufficient(const UpstreamRanking &ranking, const Resources &need,
                                                  const JobPlacementState &job, Duration longest) const;

private:
    bool fits(UpstreamIndex upstream, const Resources &need) const;
    bool isAvoided(UpstreamIndex upstream, const JobPlacementState &job) const;
    std::size_t bestOfTied(const UpstreamRanking &ranking, std::size_t first, const Resources &need,
                           const JobPlacementState &job) const;

    const UpstreamTable &m_upstreams;
};

} // namespace Citronpitch
