#pragma once

#include "citronpitch/claimtable.h"
#include "citronpitch/configuration.h"
#include "citronpitch/job.h"
#include "citronpitch/resources.h"
#include "core/dispatch/upstreamtable.h"
#include "core/dispatch/worktable.h"

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

/// Properties of a job that determine its position in the queue.
struct QueuedJob
{
    ClassIndex classIndex = 0;
    std::string team;
    TimePoint arrival;
    TimePoint deadline;
    /// Expected time of the job on an unloaded system.
    Duration unloadedTime{};
    /// Under load the job is shed if it can't end before this time and none of its tasks was started.
    TimePoint usefulUntil = TimePoint::max();
    /// Expected run time of all tasks.
    Duration work{};
    /// Expected time of the longest task.
    Duration longestTask{};
    /// Whether admission has promised the target: the job is due at the latest time at which its last task
    /// has to start.
    bool isProtected = false;
    PlacementConstraints constraints;
};

/// A queued task and its need.
struct QueuedTask
{
    std::uint32_t task = 0;
    Resources need;
    /// Expected run time.
    Duration work{};
};

/// Key of the tasks of one class with similar needs and the same label, which fit the same upstreams.
struct SubqueueKey
{
    ClassIndex classIndex = 0;
    /// Needs as binary logarithms, which limits the number of subqueues.
    int millicores = 0;
    int memory = 0;
    int accelerators = 0;
    std::string requiredLabel;
    auto operator<=>(const SubqueueKey &) const = default;
};

/// Key of queued tasks that only a part of the upstreams can take: those that require a label, or those of
/// one job with a limit per upstream.
struct RestrictionKey
{
    PlacementConstraints constraints;
    /// Job that the limit applies to; zero without a limit.
    JobId job = 0;
    auto operator<=>(const RestrictionKey &) const = default;
};

/// Queued tasks with one RestrictionKey.
struct RestrictedWork
{
    std::uint32_t tasks = 0;
    /// Expected run time by bucket of due times.
    std::map<std::int64_t, Duration> work;

    /// Returns the part of the work that is due before @p due, rounded up to a bucket.
    Duration dueBefore(TimePoint due) const;
};

/// The next task of a subqueue.
struct SubqueueHead
{
    SubqueueKey subqueue;
    JobId job = 0;
    Resources need;
    TimePoint deadline;
    /// Expected run time.
    Duration work{};
    TimePoint due;
    /// The job has missed its due time and is not demoted yet; see TaskQueue::demote().
    bool isLate = false;
};

/// A protected job of which no task was taken, with the expected run time of its tasks.
struct WaitingJob
{
    JobId job = 0;
    ClassIndex classIndex = 0;
    TimePoint due;
    TimePoint arrival;
    Duration work{};
};

/**
 * @brief Keeps the queued tasks by class, need and team, in the order of their due times.
 *
 * Teams below their quota come before the others. The cost of removing a job depends on its own tasks only.
 */
class TaskQueue
{
public:
    /// Returns when a job is due; the earliest is served first.
    using DueTime = std::function<TimePoint(const QueuedJob &job)>;

    /// @p dueTime orders the jobs, and @p demotedDueTime those that were demoted because @p lateTime has
    /// passed.
    TaskQueue(DueTime dueTime, DueTime demotedDueTime, DueTime lateTime);

    /// Sets the quotas in tasks in flight; a team that is not listed has no limit.
    void setQuotas(const std::vector<TeamDeclaration> &teams);

    /// Orders the tasks of a class as if they were due earlier by @p boost.
    void setBoost(ClassIndex classIndex, Duration boost);

    /// Recomputes the due times of the jobs of a class.
    void reorder(ClassIndex classIndex);

    void addJob(JobId job, const QueuedJob &queued);

    /// Queues @p task of a job; the tasks of a job are taken in last-in, first-out order. Ignored for an
    /// unknown job and after dropTasks().
    void addTask(JobId job, const QueuedTask &task);

    /// Removes the queued tasks of a job, and ignores further ones.
    void dropTasks(JobId job);

    /// Removes a job and its queued tasks.
    void removeJob(JobId job);

    /// Starts a round of calls of next(), with no subqueue skipped.
    void beginRound();

    /// Returns the head of the most urgent subqueue that is not skipped. A head that is late has to be
    /// dropped or demoted.
    std::optional<SubqueueHead> next(TimePoint now) const;

    /// Places the tasks of @p head, which must be late, behind the others.
    void demote(const SubqueueHead &head);

    /// Skips @p subqueue for the rest of the round.
    void skip(const SubqueueKey &subqueue);

    /// Skips the tasks with the job and need of @p head for the rest of the round, but not those behind them.
    void skipTasks(const SubqueueHead &head);

    /// Removes and returns the next task with the job and need of @p head, which must be queued.
    std::uint32_t take(const SubqueueHead &head);

    /// Returns a task of @p subqueue, which must not be empty: of the least urgent job of the team whose head
    /// is the least urgent.
    SubqueueHead leastUrgent(const SubqueueKey &subqueue) const;

    /**
     * Returns a task of @p head's flow whose need is the largest up to @p maximumMillicores, among those that
     * are due by @p dueBy and that @p fits accepts.
     *
     * Examines a limited number of tasks; returns nothing if there is none besides that of @p head.
     */
    std::optional<SubqueueHead> largest(const SubqueueHead &head, std::uint32_t maximumMillicores,
                                        TimePoint dueBy,
                                        const std::function<bool(const SubqueueHead &)> &fits) const;

    /// Adds a task to the tasks in flight of @p team, which its quota limits.
    void taskStarted(const std::string &team);
    /// Subtracts a task from the tasks in flight of @p team.
    void taskEnded(const std::string &team);

    /// Returns a job that was added and not removed yet, also after dropTasks(); null if there is none.
    const QueuedJob *findJob(JobId job) const;

    std::uint32_t size() const;
    std::uint32_t queuedOfClass(ClassIndex classIndex) const;
    std::uint32_t queuedOfTeam(const std::string &team) const;
    bool hasTeamReachedQuota(const std::string &team) const;

    /// Returns the expected run time of the queued tasks that are due before @p due, rounded up to a bucket
    /// of due times.
    Duration workDueBefore(TimePoint due) const;

    /// Returns the part of workDueBefore() that belongs to no protected job, or to demoted ones.
    Duration unprotectedWorkDueBefore(TimePoint due) const;

    /// Returns the part of workDueBefore() that requires @p label.
    Duration labelledWorkDueBefore(const std::string &label, TimePoint due) const;
    /// Returns the number of queued tasks that require @p label.
    std::uint32_t labelledTasks(const std::string &label) const;
    /// Returns the queued tasks that are restricted to a part of the upstreams, sorted by label.
    const std::map<RestrictionKey, RestrictedWork> &restrictedWork() const;

    /// Returns the expected run time of the queued tasks of protected jobs that are not demoted.
    const WorkTable &protectedWork() const;

    /// Returns the protected jobs that are due by the end of bucket @p number of protectedWork().
    std::vector<WaitingJob> protectedJobs(std::int64_t number) const;

private:
    struct Flow;
    struct Team;

    /// The queued tasks of one job with the same need.
    struct Batch
    {
        JobId job = 0;
        Resources need;
        Duration work{};
        std::uint64_t order = 0;
        TimePoint due;
        TimePoint deadline;
        std::vector<std::uint32_t> tasks;
        Flow *flow = nullptr;
        /// Its due time has passed.
        bool isDemoted = false;
        /// In m_skipped instead of its flow until the next round.
        bool isSkipped = false;
        bool isProtected = false;
        /// Nothing if any upstream can take its tasks.
        std::optional<RestrictionKey> restriction;
        /// Time after which the batch is demoted.
        TimePoint lateTime;
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
        std::map<BatchKey, Flow *> atQuota;
        std::uint64_t skippedInRound = 0;
    };

    /// The queued batches of one team in one subqueue.
    struct Flow
    {
        SubqueueKey subqueue;
        Team *team = nullptr;
        std::map<BatchKey, Batch *> batches;
        /// Number of its batches in m_skipped.
        std::size_t skipped = 0;
        /// Key of the flow in the subqueue, in withinQuota or atQuota as hasReachedQuota selects.
        std::optional<BatchKey> headKey;
        bool hasReachedQuota = false;
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
        /// Time after which the queued tasks are demoted.
        TimePoint lateTime;
        std::vector<std::unique_ptr<Batch>> batches;
        bool isDropped = false;
    };

    Flow *mostUrgent() const;
    SubqueueHead headOf(const Flow &flow, const Batch &batch) const;
    Batch &batchOf(JobId id, Job &job, const QueuedTask &task);
    /// Returns the queued tasks with the job and need of @p head, of which there must be one.
    Batch &queuedBatch(const SubqueueHead &head);
    Team &team(const std::string &name);
    void enqueue(const Job &job, Batch &batch);
    void dequeue(Batch &batch);
    void updateHead(Flow &flow);
    void updateHeads(Team &team);
    void removeTeamIfIdle(const std::string &name);
    /// Adds @p tasks tasks of @p batch, which may be negative, to the sums of queued tasks and work.
    void addTasks(const Batch &batch, std::int64_t tasks);
    void unskip(Batch &batch);
    static bool hasReachedQuota(const Team &team);
    const std::map<BatchKey, Flow *> &headsOf(const Subqueue &subqueue) const;

    DueTime m_dueTime;
    DueTime m_demotedDueTime;
    DueTime m_lateTime;
    std::unordered_map<JobId, Job> m_jobs;
    std::map<std::string, Team, std::less<>> m_teams;
    std::map<std::string, std::uint32_t, std::less<>> m_quotas;
    std::map<SubqueueKey, Subqueue> m_subqueues;
    std::vector<Duration> m_boosts;
    std::vector<std::uint32_t> m_queuedOfClass;
    /// Expected run time of the queued tasks that m_protectedWork does not contain, by bucket of due times.
    std::map<std::int64_t, Duration> m_work;
    WorkTable m_protectedWork;
    std::map<RestrictionKey, RestrictedWork> m_restrictedWork;
    /// Batches that are skipped in this round.
    std::vector<Batch *> m_skipped;
    std::uint64_t m_nextOrder = 1;
    std::uint64_t m_round = 1;
    std::uint32_t m_size = 0;
};

} // namespace Citronpitch
