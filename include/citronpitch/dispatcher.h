#pragma once

#include "citronpitch/claimbook.h"
#include "citronpitch/configuration.h"
#include "citronpitch/job.h"
#include "citronpitch/placementpolicy.h"
#include "citronpitch/upstream.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Citronpitch {

struct BaselineCandidate;

/// Decision to run one task on one upstream.
struct Placement
{
    JobId job = 0;
    std::uint32_t task = 0;
    AttemptId attempt = 0;
    std::string upstream;
    std::string address;
    std::uint16_t port = 0;
};

/// Why a job is not taken, and when to come back.
struct Refusal
{
    Reason reason = Reason::None;
    std::string detail;
    std::optional<TimePoint> retryAt;
};

/// One upstream as operators see it.
struct UpstreamStatus
{
    UpstreamAnnouncement announcement;
    /// Slots that this entry VM may use.
    std::uint32_t ownSlots = 0;
    std::uint32_t busySlots = 0;
};

/// How a Dispatcher decides.
struct DispatcherOptions
{
    PlacementPolicy placement = PlacementPolicy::Target;
    /// Seed of PlacementPolicy::Random.
    std::uint64_t seed = 0;
};

/**
 * @brief Decides which waiting task runs next and on which upstream.
 *
 * Holds the upstreams of the failure domain, the queue of waiting tasks and the attempts in flight. Used by
 * EntryVm, which turns placements into start messages and reports how the attempts ended.
 */
class Dispatcher
{
public:
    explicit Dispatcher(const DispatcherOptions &options = {});

    /// Takes over the declared classes and teams; takes effect on queued tasks at once.
    void setConfiguration(const Configuration &configuration);

    /**
     * Sets this VM's part of every upstream's slots: part number @p part of @p parts, counted from zero.
     *
     * The entry VMs of a failure domain hold different numbers, so that together they use each slot once.
     */
    void setShare(std::uint32_t part, std::uint32_t parts);

    /// Adds an upstream, renews its lease, or notes that it is leaving. An older incarnation is ignored.
    void announce(TimePoint now, const UpstreamAnnouncement &announcement);

    /// Why @p submission is refused at @p now, or nothing when it is taken.
    std::optional<Refusal> refusal(TimePoint now, const Submission &submission) const;

    /// Queues every task of a job.
    void add(TimePoint now, JobId job, const Submission &submission);

    /// Queues one task again after an attempt that did not start it.
    void requeue(TimePoint now, JobId job, std::uint32_t task);

    /// Drops the waiting tasks of a job; its attempts in flight keep their slots until they end.
    void remove(JobId job);

    /// Chooses upstreams for as many waiting tasks as there are usable slots.
    std::vector<Placement> place(TimePoint now);

    /// Frees the slot of an attempt and learns from how it ended.
    void finish(TimePoint now, AttemptId attempt, const AttemptResult &result);

    std::vector<UpstreamStatus> upstreams() const;
    std::uint32_t freeSlots(TimePoint now) const;
    std::uint32_t queuedTasks() const;

private:
    struct Upstream
    {
        UpstreamAnnouncement announcement;
        std::uint32_t busy = 0;
    };

    struct Waiting
    {
        TimePoint deadline;
        std::uint64_t order = 0;
        JobId job = 0;
        std::uint32_t task = 0;
        auto operator<=>(const Waiting &) const = default;
    };

    struct Attempt
    {
        std::string upstream;
        TimePoint startedAt;
    };

    struct QueuedJob
    {
        TimePoint deadline;
        std::uint32_t waiting = 0;
    };

    std::uint32_t ownSlots(const Upstream &upstream) const;
    bool isUsable(TimePoint now, const Upstream &upstream) const;
    Upstream *choose(TimePoint now);
    Upstream *chooseForBaseline(TimePoint now);

    DispatcherOptions m_options;
    std::function<std::size_t(const std::vector<BaselineCandidate> &)> m_baseline;
    Configuration m_configuration;
    std::uint32_t m_part = 0;
    std::uint32_t m_parts = 1;
    std::map<std::string, Upstream, std::less<>> m_upstreams;
    std::map<JobId, QueuedJob> m_jobs;
    std::set<Waiting> m_waiting;
    std::map<AttemptId, Attempt> m_attempts;
    std::uint64_t m_nextOrder = 1;
    AttemptId m_nextAttempt = 1;
};

} // namespace Citronpitch
