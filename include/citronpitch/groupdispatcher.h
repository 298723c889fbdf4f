#pragma once

#include "citronpitch/dispatcher.h"
#include "citronpitch/fleetannouncement.h"
#include "citronpitch/runorder.h"
#include "citronpitch/upstreamruns.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace Citronpitch {

/// What a GroupDispatcher is told at its start.
struct GroupDispatcherOptions
{
    std::string group;
    UpstreamRunsOptions runs;
    /// Silence after which an upstream takes no new work.
    Duration upstreamLease = std::chrono::seconds(6);
    /// How long the answer to a job is kept for an entry VM that passes it on again.
    Duration answerRetention = std::chrono::seconds(10);
    /// Name of a task on its upstream.
    std::function<std::string(const std::string &key, std::uint32_t task)> nameTask;
};

/// The job of an entry VM, by the number that the entry VM gave it.
struct JobOrigin
{
    std::string vm;
    std::uint64_t incarnation = 0;
    std::uint64_t number = 0;

    auto operator<=>(const JobOrigin &) const = default;
};

/// A job that an entry VM passes to the holder of a group.
struct RoutedJob
{
    JobOrigin origin;
    std::string pool;
    /// Runs of one task that may fail before the job does.
    std::uint32_t attempts = 1;
    /// Number of the first task within the caller's job, of which this may be a part.
    std::uint32_t firstTask = 0;
    Submission submission;
};

/// The answer to a job, told once.
struct FinishedJob
{
    JobOrigin origin;
    Answer answer;
};

/// Places of a group for the work of one class.
struct ClassLoad
{
    std::string className;
    /// Tasks that would start at once on upstreams fast enough for the target and the usual deadline.
    std::uint32_t freeTasks = 0;
};

/// How much a group has to do, for choosing among groups.
struct GroupLoad
{
    std::string group;
    std::uint64_t fence = 0;
    /// Whether it takes new jobs.
    bool isOpen = false;
    /// Tasks of the usual need that would start at once.
    std::uint32_t freeTasks = 0;
    /// Tasks of the usual need that run side by side.
    std::uint32_t parallelTasks = 0;
    /// Expected run time of the waiting tasks.
    Duration waitingWork{};
    /// Classes of which jobs came lately.
    std::vector<ClassLoad> classes;
};

/// What the process around a GroupDispatcher has to do, in order.
using GroupAction = std::variant<RunOrder, FinishedJob>;

/**
 * @brief Dispatches jobs that need not be kept to the upstreams of one group, as their only holder.
 *
 * Which task runs next and where is decided by a Dispatcher for each pool; what is known of the runs by an
 * UpstreamRuns for each upstream. Does no I/O and reads no clock. Used by FleetControl.
 */
class GroupDispatcher
{
public:
    explicit GroupDispatcher(GroupDispatcherOptions options);
    ~GroupDispatcher();
    GroupDispatcher(const GroupDispatcher &) = delete;
    GroupDispatcher &operator=(const GroupDispatcher &) = delete;

    /// The classes of work and their targets.
    void setClasses(const std::vector<ClassDeclaration> &classes);

    /// An upstream of the group announced itself, or said that it is leaving or has left.
    void announce(TimePoint now, const FleetAnnouncement &announcement);

    /**
     * An entry VM passes on a job, possibly again.
     *
     * A job with the key of one in flight is the same job, and the answer goes to its new origin.
     */
    void submit(TimePoint now, const RoutedJob &job);

    /// The entry VM no longer waits for its job.
    void cancel(TimePoint now, const JobOrigin &origin);

    /// Jobs of @p vm are over whose number is below @p lowestOpen, or that are of another incarnation.
    void cancelAbandoned(TimePoint now, const std::string &vm, std::uint64_t incarnation,
                         std::uint64_t lowestOpen);

    /// @p vm is out of reach: its jobs are stopped.
    void entryVmUnreachable(TimePoint now, const std::string &vm);

    void orderEnded(TimePoint now, OrderId id, const OrderResult &result);
    void tick(TimePoint now);

    /// Takes no new jobs; those of which nothing was started are refused.
    void close(TimePoint now);

    std::vector<GroupAction> takeActions();

    GroupLoad load(TimePoint now) const;
    std::uint64_t fence() const;
    /// Whether no job is in flight.
    bool isIdle() const;
    /// Upstreams on which runs may be started, and all that are known.
    std::size_t readyUpstreams() const;
    std::size_t upstreams() const;

private:
    struct Task
    {
        bool isDone = false;
        std::uint32_t failures = 0;
        std::uint32_t lastRun = 0;
        /// Number of the attempt in flight; zero: none.
        std::uint64_t attempt = 0;
    };

    struct Job
    {
        RoutedJob routed;
        std::vector<Task> tasks;
        std::uint32_t doneTasks = 0;
        std::uint32_t openAttempts = 0;
        bool hasStarted = false;
        /// Answered or cancelled; it stays until its runs are over.
        bool isEnded = false;
        /// A job with the same key that waits for this one to be gone.
        std::unique_ptr<RoutedJob> successor;
    };

    struct Attempt
    {
        JobId job = 0;
        std::uint32_t task = 0;
        std::string pool;
        std::string upstream;
        AttemptId placementAttempt = 0;
    };

    struct Upstream
    {
        std::unique_ptr<UpstreamRuns> runs;
        /// Whether its Dispatcher lets no start pass.
        bool isPaused = false;
        TimePoint leaseDeadline;
    };

    struct AnswerExpiry
    {
        TimePoint expiresAt;
        JobOrigin origin;
    };

    Dispatcher &pool(const std::string &name);
    void reply(TimePoint now, const JobOrigin &origin, Answer answer);
    void addJob(TimePoint now, const RoutedJob &routed);
    void place(TimePoint now);
    void startRun(TimePoint now, const std::string &pool, const Placement &placement);
    void reschedule(TimePoint now);
    void runFinished(TimePoint now, const FinishedRun &run);
    void answerJob(TimePoint now, JobId id, Outcome outcome, Reason reason, const std::string &detail);
    void endJob(TimePoint now, JobId id);
    void removeIfFinished(TimePoint now, JobId id);
    void updatePause(TimePoint now, Upstream &upstream);
    void refuse(TimePoint now, const JobOrigin &origin, const Refusal &refusal);

    GroupDispatcherOptions m_options;
    std::vector<ClassDeclaration> m_classes;
    std::map<std::string, Dispatcher> m_pools;
    std::map<std::string, Upstream> m_upstreams;
    std::map<JobId, Job> m_jobs;
    std::map<std::string, JobId> m_byKey;
    std::map<JobOrigin, JobId> m_byOrigin;
    std::map<JobOrigin, Answer> m_answers;
    /// Kept answers, oldest first.
    std::deque<AnswerExpiry> m_answerExpiries;
    std::map<std::uint64_t, Attempt> m_attempts;
    std::map<OrderId, std::string> m_orders;
    std::vector<GroupAction> m_actions;
    JobId m_nextJob = 1;
    std::uint64_t m_nextAttempt = 1;
    OrderId m_nextOrder = 1;
    bool m_isClosed = false;
};

} // namespace Citronpitch
