#pragma once

#include "citronpitch/claimtable.h"
#include "citronpitch/configuration.h"
#include "citronpitch/resources.h"
#include "core/dispatch/upstreamtable.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Citronpitch {

/// What the order of a job depends on.
struct QueuedJob
{
    ClassIndex classIndex = 0;
    std::string team;
    TimePoint arrival;
    TimePoint deadline;
    /// Expected time of the job if nothing else waited.
    Duration unloadedTime{};
    /// Under load the job is given up when it can't end before this moment and nothing of it was started.
    TimePoint usefulUntil = TimePoint::max();
};

/// A waiting task and what it needs.
struct QueuedTask
{
    std::uint32_t task = 0;
    Resources need;
    /// Expected run time.
    Duration work{};
};

/// Tasks of one class with similar needs; they wait for the same upstreams.
struct SubqueueKey
{
    ClassIndex classIndex = 0;
    /// Needs in powers of two, so that there are few lanes.
    int millicores = 0;
    int memory = 0;
    int accelerators = 0;
    auto operator<=>(const SubqueueKey &) const = default;
};

/// The task that a lane would start next.
struct SubqueueHead
{
    SubqueueKey subqueue;
    JobId job = 0;
    Resources need;
    TimePoint deadline;
};

/**
 * @brief The waiting tasks, by class, need and team, in the order of the moments at which they are due.
 *
 * Teams below their quota go before the others. Removing a job costs no more than its own tasks. Used by
 * Dispatcher.
 */
class TaskQueue
{
public:
    /// Moment at which a job is due; the earliest is served first.
    using DueTime = std::function<TimePoint(const QueuedJob &job)>;

    /// @p dueTime orders jobs, and @p demotedDueTime those that are past it.
    TaskQueue(DueTime dueTime, DueTime demotedDueTime);

    /// Sets the quotas, in tasks in flight; a team that is not named has none and is never over it.
    void setQuotas(const std::vector<TeamDeclaration> &teams);

    /// Draws the tasks of class @p classIndex ahead by @p boost.
    void setBoost(ClassIndex classIndex, Duration boost);

    /// Computes again when the jobs of class @p classIndex are due.
    void reorder(ClassIndex classIndex);

    void addJob(JobId job, const QueuedJob &queued);

    /// Queues @p task of a job that was added; the task queued last is taken first. Ignored for a job that
    /// was removed.
    void addTask(JobId job, const QueuedTask &task);

    /// Drops the waiting tasks of a job, and takes no more of it.
    void dropTasks(JobId job);

    /// Drops the waiting tasks of a job, and the job.
    void removeJob(JobId job);

    /// Starts a round of next() in which no lane is held.
    void beginRound();

    /// Head of the most urgent lane that is not held.
    std::optional<SubqueueHead> next(TimePoint now);

    /// Leaves @p subqueue out for the rest of the round.
    void skip(const SubqueueKey &subqueue);

    /// Takes the task that @p subqueue would start next; the lane must not be empty.
    std::uint32_t take(const SubqueueHead &head);

    /// Head of the least urgent job of a lane.
    SubqueueHead leastUrgent(const SubqueueKey &subqueue) const;

    /// A task of @p team was started or has ended.
    void taskStarted(const std::string &team);
    void taskEnded(const std::string &team);

    const QueuedJob *findOpenJob(JobId job) const;

    std::uint32_t size() const;
    std::uint32_t queuedOfClass(ClassIndex classIndex) const;
    std::uint32_t queuedOfTeam(const std::string &team) const;
    bool isOverQuota(const std::string &team) const;

    /// Expected run time of the waiting tasks that are due before @p due.
    Duration workDueBefore(TimePoint due) const;

private:
    struct Flow;
    struct Team;

    /// The tasks of one job with one need.
    struct Batch
    {
        JobId job = 0;
        Resources need;
        Duration work{};
        std::uint64_t order = 0;
        TimePoint due;
        std::vector<std::uint32_t> tasks;
        Flow *flow = nullptr;
        /// The moment at which it was due has passed.
        bool isDemoted = false;
    };

    struct BatchKey
    {
        TimePoint due;
        std::uint64_t order = 0;
        auto operator<=>(const BatchKey &) const = default;
    };

    struct Subqueue
    {
        std::map<BatchKey, Flow *> withinQuota;
        std::map<BatchKey, Flow *> overQuota;
        std::uint64_t skippedInRound = 0;
    };

    /// The waiting batches of one team in one lane.
    struct Flow
    {
        SubqueueKey subqueue;
        Team *team = nullptr;
        std::map<BatchKey, Batch *> batches;
        /// Key under which the lane holds the flow, and on which side.
        std::optional<BatchKey> headKey;
        bool isOverQuota = false;
    };

    struct Team
    {
        std::string name;
        std::optional<std::uint32_t> quota;
        std::uint32_t running = 0;
        std::uint32_t queued = 0;
        std::map<SubqueueKey, Flow> flows;
    };

    struct Job
    {
        QueuedJob queued;
        TimePoint due;
        std::vector<std::unique_ptr<Batch>> batches;
        bool isDropped = false;
    };

    Flow *mostUrgent() const;
    void demote(Batch &batch);
    Batch &batchOf(JobId id, Job &job, const QueuedTask &task);
    Team &team(const std::string &name);
    void enqueue(const Job &job, Batch &batch);
    void dequeue(Batch &batch);
    void updateHead(Flow &flow);
    void updateHeads(Team &team);
    void removeTeamIfIdle(const std::string &name);
    void addWork(TimePoint due, Duration work);
    static bool hasReachedQuota(const Team &team);
    const std::map<BatchKey, Flow *> &headsOf(const Subqueue &subqueue) const;

    DueTime m_dueTime;
    DueTime m_demotedDueTime;
    std::unordered_map<JobId, Job> m_jobs;
    std::map<std::string, Team, std::less<>> m_teams;
    std::map<std::string, std::uint32_t, std::less<>> m_quotas;
    std::map<SubqueueKey, Subqueue> m_subqueues;
    std::vector<Duration> m_boosts;
    std::vector<std::uint32_t> m_queuedOfClass;
    /// Expected run time of waiting tasks, by the span of time in which they are due.
    std::map<std::int64_t, Duration> m_work;
    std::uint64_t m_nextOrder = 1;
    std::uint64_t m_round = 1;
    std::uint32_t m_size = 0;
};

} // namespace Citronpitch
