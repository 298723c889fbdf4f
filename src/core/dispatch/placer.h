#pragma once

#include "core/dispatch/taskqueue.h"
#include "core/dispatch/upstreamranking.h"

#include <map>
#include <optional>
#include <vector>

namespace Citronpitch {

/// Placement state of the tasks of one job.
struct JobPlacementState
{
    std::uint32_t tasks = 0;
    std::uint32_t succeeded = 0;
    /// Declared time of each task.
    std::vector<Duration> declaredTimes;
    /// Number of tasks started in each rack, by RackIndex.
    std::vector<std::uint32_t> startsPerRack;
    /// Upstreams on which an attempt ended without an answer.
    std::vector<UpstreamIndex> avoidedUpstreams;
    /// Attempts in flight.
    std::vector<AttemptId> openAttempts;
    PlacementConstraints constraints;
    /// Number of attempts in flight on each upstream; only kept if the constraints limit it.
    std::map<UpstreamIndex, std::uint32_t> attemptsPerUpstream;
};

/// Result of choosing an upstream for a task.
enum class PlacementOutcome {
    Start,
    /// No free upstream has the capacity for the task.
    NoFreeUpstream,
    /// Only slow upstreams are free, and the task is expected to end sooner by waiting for a faster one.
    WaitForFaster,
};

/// Outcome for one task and, for PlacementOutcome::Start, the upstream.
struct PlacementChoice
{
    PlacementOutcome outcome = PlacementOutcome::NoFreeUpstream;
    /// For PlacementOutcome::NoFreeUpstream the one with the most free processor time, if hasRoom.
    UpstreamIndex upstream = 0;
    /// An upstream has some free processor time, although less than the task needs.
    bool hasRoom = false;
};

/**
 * @brief Chooses the upstream for one task: the one on which it is expected to end first.
 *
 * Among tied upstreams it spreads the tasks of a job over racks. Avoids upstreams on which attempts of the
 * job ended without an answer, while there is another.
 */
class Placer
{
public:
    explicit Placer(const UpstreamTable &upstreams);

    /**
     * Chooses an upstream for a task with @p need.
     *
     * @p tasksAhead is the number of queued tasks that get a faster upstream first, including this one.
     */
    PlacementChoice choose(const UpstreamRanking &ranking, const Resources &need,
                           const JobPlacementState &job, std::uint32_t tasksAhead) const;

    /**
     * Returns the slowest free upstream with an expected time below @p maximumTime, or nothing.
     *
     * Leaves the fast upstreams to tasks that need them. Examines a limited number of candidates.
     */
    std::optional<UpstreamIndex> chooseSufficient(const UpstreamRanking &ranking, const Resources &need,
                                                  const JobPlacementState &job, Duration maximumTime) const;

    /// Whether a task of @p job with @p need can be started on @p upstream, and was not tried there before.
    bool isSuitable(UpstreamIndex upstream, const Resources &need, const JobPlacementState &job) const;

    /// Whether @p upstream may take a task of @p job with @p need now: it has the capacity, and the
    /// constraints of the job allow it.
    bool mayTake(UpstreamIndex upstream, const Resources &need, const JobPlacementState &job) const;

    /// Whether only the limit of tasks per upstream keeps a task of @p job from a free upstream.
    bool isHeldByLimit(const Resources &need, const JobPlacementState &job) const;

    /// Reserves @p upstream until the next call of releaseReserved(): mayTake() returns false for it.
    void reserve(UpstreamIndex upstream);
    void releaseReserved();

private:
    bool hasRoom(UpstreamIndex upstream, const Resources &need) const;
    /// Whether the constraints of @p job allow one more task on @p upstream.
    bool isAllowed(UpstreamIndex upstream, const JobPlacementState &job) const;
    bool hasReachedLimit(UpstreamIndex upstream, const JobPlacementState &job) const;
    bool isAvoided(UpstreamIndex upstream, const JobPlacementState &job) const;
    /// Whether a task is expected to end sooner by waiting for an upstream that is faster than @p rank by a
    /// fixed ratio.
    bool isWaitingBetter(const UpstreamRanking &ranking, std::size_t rank, std::uint32_t tasksAhead,
                         const JobPlacementState &job) const;
    std::size_t bestOfTied(const UpstreamRanking &ranking, std::size_t first, const Resources &need,
                           const JobPlacementState &job) const;

    const UpstreamTable &m_upstreams;
    std::vector<UpstreamIndex> m_reserved;
};

} // namespace Citronpitch
