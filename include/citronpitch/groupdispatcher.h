#pragma once

#include "citronpitch/crashledger.h"
#include "citronpitch/dispatcher.h"
#include "citronpitch/fleetannouncement.h"
#include "citronpitch/runorder.h"
#include "citronpitch/upstreamruns.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace Citronpitch {

/// Options of a GroupDispatcher.
struct GroupDispatcherOptions
{
    std::string group;
    /// Fencing token of this holder.
    std::uint64_t fence = 0;
    /// UpstreamRunsOptions::takeFence is set by the GroupDispatcher.
    UpstreamRunsOptions runs;
    /// Time without an announcement or the answer to an order after which an upstream gets no new work.
    Duration upstreamLease = std::chrono::seconds(6);
    /// How long the answer to a job is retained for an entry VM that resends the job.
    Duration answerRetention = std::chrono::seconds(10);
    /// Time after which a reserved job that was not started is refused.
    Duration reservationTimeout = std::chrono::milliseconds(100);
    /// Whether the end of each run is reported by a ConcludedRun.
    bool reportsRunEnds = false;
    /// Returns the name under which a task runs on its upstream.
    std::function<std::string(const std::string &key, std::uint32_t task)> nameTask;
};

/// Identifies a job by its entry VM and the number that this VM assigned to it.
struct JobOrigin
{
    std::string vm;
    std::uint64_t incarnation = 0;
    std::uint64_t number = 0;

    auto operator<=>(const JobOrigin &) const = default;
};

/// A job, or a part of one, that an entry VM routes to the holder of a group.
struct RoutedJob
{
    JobOrigin origin;
    std::string pool;
    /// Number of failed runs of one task after which the job fails.
    std::uint32_t attempts = 1;
    /// Index of the first task within the caller's job, as this may be only a part of it.
    std::uint32_t firstTask = 0;
    Submission submission;
    /// Whether the job is only reserved, and starts with GroupDispatcher::start().
    bool reserve = false;
    /// Fencing token of the holder that it was routed to.
    std::uint64_t fence = 0;
    /// Whether an earlier message with this job may have been delivered.
    bool isResent = false;
    /// How long the message with the job was on its way, in queues for example, beyond the usual time.
    Duration age{};
};

/// Returns the answer to a resent job that may have run under an earlier holder of the group.
Answer formerHolderAnswer();

/// The answer to a job; reported once.
struct FinishedJob
{
    JobOrigin origin;
    Answer answer;
};

/// A job was reserved; reported again when it is submitted again.
struct ReservedJob
{
    JobOrigin origin;
};

/// A run has ended without a result.
struct LostRun
{
    /// Name under which the task runs on its upstream.
    std::string task;
    std::uint32_t run = 0;
    std::string upstream;
    RunLoss loss = RunLoss::None;
    RunEndBasis basis;
};

/// A run has ended, with or without a result; see GroupDispatcherOptions::reportsRunEnds.
struct ConcludedRun
{
    FinishedRun run;
    std::string upstream;
};

/// An upstream gets no new tasks, as it has neither announced itself nor answered an order in time.
struct ExpiredUpstream
{
    std::string upstream;
};

/// Free capacity of a group for jobs of one class.
struct ClassLoad
{
    std::string className;
    /// Tasks that could start immediately on upstreams fast enough for the class's target and default
    /// deadline.
    std::uint32_t freeTasks = 0;
    /// Expected wait of a new job of the class.
    Duration expectedWait{};
    /// Wait above which the group refuses a new job of the class; nothing if there is no such limit.
    std::optional<Duration> longestWait;
};

/// Capacity of the upstreams of one pool that have a label.
struct LabelLoad
{
    std::string pool;
    std::string label;
    /// Tasks with the usual resource need that could start immediately.
    std::uint32_t freeTasks = 0;
    /// Tasks with the usual resource need that can run concurrently.
    std::uint32_t parallelTasks = 0;
    /// Number of the upstreams in service, also while starts are paused there.
    std::uint32_t upstreams = 0;
    /// Expected total run time of the waiting tasks that require the label.
    Duration waitingWork{};
};

/// Load of a group, by which entry VMs choose among groups.
struct GroupLoad
{
    std::string group;
    std::uint64_t fence = 0;
    /// Whether it accepts new jobs.
    bool isOpen = false;
    /// Tasks with the usual resource need that could start immediately.
    std::uint32_t freeTasks = 0;
    /// Tasks with the usual resource need that can run concurrently.
    std::uint32_t parallelTasks = 0;
    /// Expected total run time of the waiting tasks.
    Duration waitingWork{};
    /// Classes that had jobs recently.
    std::vector<ClassLoad> classes;
    /// Labels that jobs required recently, also those that no upstream has.
    std::vector<LabelLoad> labels;
    /// Number of upstreams that run tasks; zero if it is not known.
    std::uint32_t upstreams = 0;
};

/// An upstream has seen the fencing token of a later holder.
struct SupersededUpstream
{
    std::string upstream;
};

/// An action that the owner of a GroupDispatcher has to execute, in order.
using GroupAction = std::variant<RunOrder, FinishedJob, ReservedJob, LostRun, ExpiredUpstream,
                                 SupersededUpstream, ConcludedRun>;

/**
 * @brief Dispatches best-effort jobs to the upstreams of one group, as the only holder of the group.
 *
 * A Dispatcher per pool decides which task runs next and where; an UpstreamRuns per upstream tracks the runs
 * there. Does no I/O and reads no clock. Used by FleetControl.
 */
class GroupDispatcher
{
public:
    /// @p crashes must outlive this object.
    GroupDispatcher(GroupDispatcherOptions options, CrashLedger &crashes);
    ~GroupDispatcher();
    GroupDispatcher(const GroupDispatcher &) = delete;
    GroupDispatcher &operator=(const GroupDispatcher &) = delete;

    /// Replaces the classes of work and their targets.
    void setClasses(const std::vector<ClassDeclaration> &classes);

    /// Sets the pools whose upstreams accept tasks beyond their capacity. Only announcements renew the leases
    /// there, since an answer doesn't tell that the capacity has shrunk.
    void setUnguardedPools(std::set<std::string> pools);

    /// Handles an announcement of an upstream of the group, also that it is leaving or has left.
    void announce(TimePoint now, const FleetAnnouncement &announcement);

    /**
     * Accepts a job from an entry VM, which may resend it.
     *
     * A job with the same key and tasks as one in flight is the same job; its answer goes to all origins.
     * With other tasks, as of another part of the job, it starts once the one in flight has ended. A
     * new job is refused while the VM is overloaded, or if its message is too old to be of use.
     */
    void submit(TimePoint now, const RoutedJob &job);

    /**
     * Starts a reserved job; a repeated call has no effect.
     *
     * Returns false if @p origin is not known here. It is then not known either whether the job has run.
     */
    bool start(TimePoint now, const JobOrigin &origin);

    /// Stops a job whose entry VM no longer waits for it.
    void cancel(TimePoint now, const JobOrigin &origin);

    /// Cancels the jobs of @p vm with a number below @p lowestOpen or of another incarnation.
    void cancelAbandoned(TimePoint now, const std::string &vm, std::uint64_t incarnation,
                         std::uint64_t lowestOpen);

    /// Cancels all jobs of @p vm, which is unreachable.
    void entryVmUnreachable(TimePoint now, const std::string &vm);

    void orderEnded(TimePoint now, OrderId id, const OrderResult &result);
    /// @p lag is how long input may have been waiting to be read, see UpstreamRuns::tick().
    void tick(TimePoint now, Duration lag = {});

    /// Sets whether new jobs are refused because this VM is overloaded; load() reports the group as closed
    /// then.
    void setOverloaded(bool isOverloaded);

    /// Refuses new jobs from now on, and the waiting jobs of which no run has started.
    void close(TimePoint now);

    /// Accepts no new jobs from now on and reports no capacity. Queued tasks may start until @p
    /// startDeadline; then jobs of which no run has started are refused, and the other jobs with queued tasks
    /// fail. Runs in progress end normally. A repeated call can only move the deadline forward.
    void evacuate(TimePoint now, TimePoint startDeadline);

    /// Ends an evacuation. The upstreams are used again one after the other until @p warmUntil, as they may
    /// be slow at first and learned service times don't show it.
    void restore(TimePoint now, TimePoint warmUntil);

    std::vector<GroupAction> takeActions();

    GroupLoad load(TimePoint now) const;
    /// Returns the sums of the decisions of admission of all pools.
    AdmissionStatus admissionStatus() const;
    std::uint64_t fence() const;
    /// Whether no job is in flight.
    bool isIdle() const;
    /// Number of upstreams on which runs may be started, see UpstreamRuns::isReady().
    std::size_t readyUpstreams(TimePoint now) const;
    /// Number of all known upstreams.
    std::size_t upstreams() const;

private:
    struct Task
    {
        bool isDone = false;
        std::uint32_t failures = 0;
        std::uint32_t lastRun = 0;
        /// Number of the attempt in flight; zero for none.
        std::uint64_t attempt = 0;
        /// Not queued, as upstreams crashed or may have crashed under it; see releaseHeldTasks().
        bool isHeld = false;
    };

    struct Job
    {
        RoutedJob routed;
        /// Further submissions of the same job, which get the same answer.
        std::vector<JobOrigin> joinedOrigins;
        std::vector<Task> tasks;
        std::uint32_t doneTasks = 0;
        std::uint32_t openAttempts = 0;
        bool hasStarted = false;
        /// Upstreams that were lost while they ran tasks of the job.
        std::set<std::string> lostUpstreams;
        /// Whether tasks under which an upstream was lost run one at a time, as one of them may crash its
        /// upstream.
        bool runsSuspectsSingly = false;
        /// Answered or cancelled; the job is kept until its runs have ended.
        bool isEnded = false;
        /// Jobs with the same key that are submitted once this one is removed: repeats of it, or other parts.
        std::vector<RoutedJob> successors;
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
        /// Whether the pool's Dispatcher places no tasks on it.
        bool isPaused = false;
        TimePoint leaseDeadline;
        /// Place in the order in which upstreams are used again after an evacuation, in thousandths.
        std::int64_t warmUpPosition = 0;
    };

    /// An admitted job that starts with start(). It holds no slot, so that other work is not delayed.
    struct Reservation
    {
        RoutedJob routed;
        TimePoint expiresAt;
    };

    struct AnswerExpiry
    {
        TimePoint expiresAt;
        JobOrigin origin;
    };

    Dispatcher &pool(const std::string &name);
    void reply(TimePoint now, const JobOrigin &origin, Answer answer);
    /// Keeps the answer for an entry VM that resends the job.
    void retainAnswer(TimePoint now, const JobOrigin &origin, const Answer &answer);
    /// Whether a job is reserved or in flight, or waits for the end of one with the same key.
    bool isKnown(const JobOrigin &origin) const;
    static bool isSamePart(const RoutedJob &left, const RoutedJob &right);
    void reserve(TimePoint now, const RoutedJob &routed);
    void submitJob(TimePoint now, const RoutedJob &job, bool isAdmitted);
    /// Adds a job, or keeps it as a successor of the one with the same key.
    void enqueue(TimePoint now, const RoutedJob &job, bool isAdmitted);
    void addJob(TimePoint now, const RoutedJob &routed, bool isAdmitted);
    /// Why a job is refused, or nothing if it is accepted.
    std::optional<Refusal> refusalOf(TimePoint now, const RoutedJob &routed);
    void expireReservations(TimePoint now);
    void place(TimePoint now);
    void startRun(TimePoint now, const std::string &pool, const Placement &placement);
    void reschedule(TimePoint now);
    /// Adds to the ledger what the runs on @p upstream show.
    void recordCrashes(TimePoint now, UpstreamRuns &upstream);
    /// Ends the jobs with tasks that must not be started again, and queues held tasks that may.
    void applyCrashes(TimePoint now);
    /// Queues the held tasks of a job that may run.
    void releaseHeldTasks(TimePoint now, Job &job, JobId id);
    std::string taskName(const RoutedJob &routed, std::size_t task) const;
    /// Returns the first task of @p routed that must not be started again, or nothing.
    std::optional<std::size_t> findDeniedTask(const RoutedJob &routed) const;
    /// Answers a job with a task that must not be started again. Returns whether it has one.
    bool failIfDenied(TimePoint now, const RoutedJob &routed);
    static std::string crashDetail(const std::string &task);
    void runFinished(TimePoint now, const FinishedRun &run);
    void answerJob(TimePoint now, JobId id, Outcome outcome, Reason reason, const std::string &detail);
    /// Refuses a job of which no run has started.
    void refuseJob(TimePoint now, JobId id, const Refusal &refusal);
    /// Removes an origin that no longer waits for the job. Returns false, and removes nothing, if it is the
    /// only one.
    bool removeJoined(JobId id, const JobOrigin &origin);
    void endJob(TimePoint now, JobId id);
    void removeIfFinished(TimePoint now, JobId id);
    /// Tells the pool the lease of an upstream, and what it has announced.
    void offer(TimePoint now, const Upstream &upstream, bool isLeaving);
    /// Extends the lease of an upstream that has answered an order: its announcements may go to VMs that this
    /// one can't reach.
    void renewLease(TimePoint now, Upstream &upstream);
    /// Whether most upstreams have seen the fencing token of a later holder. A single one may be wrong.
    bool isSuperseded() const;
    /// Whether answers renew the lease of @p upstream.
    bool isRenewedByAnswers(const Upstream &upstream) const;
    /// Removes the idle upstreams whose lease has expired.
    void removeExpired(TimePoint now);
    void updatePause(TimePoint now, Upstream &upstream);
    /// Whether the pool's Dispatcher must place no tasks on @p upstream.
    bool mustPause(TimePoint now, const Upstream &upstream) const;
    bool areStartsForbidden(TimePoint now) const;
    /// Ends the jobs whose tasks can't all be started before the deadline of the evacuation.
    void endUnstartedJobs(TimePoint now);
    void endEvacuatedJob(TimePoint now, JobId id);
    void refuse(TimePoint now, const JobOrigin &origin, const Refusal &refusal);

    GroupDispatcherOptions m_options;
    CrashLedger &m_crashes;
    /// Version of the ledger that was applied last.
    std::uint64_t m_appliedCrashes = 0;
    std::vector<ClassDeclaration> m_classes;
    std::set<std::string> m_unguardedPools;
    std::map<std::string, Dispatcher> m_pools;
    std::map<std::string, Upstream> m_upstreams;
    std::map<JobId, Job> m_jobs;
    std::map<std::string, JobId> m_byKey;
    std::map<JobOrigin, JobId> m_byOrigin;
    std::map<JobOrigin, Reservation> m_reservations;
    std::map<JobOrigin, Answer> m_answers;
    /// When retained answers expire, oldest first.
    std::deque<AnswerExpiry> m_answerExpiries;
    std::map<std::uint64_t, Attempt> m_attempts;
    std::map<OrderId, std::string> m_orders;
    /// Upstreams of which runs may have finished since reschedule() was called.
    std::set<std::string> m_touched;
    std::vector<GroupAction> m_actions;
    JobId m_nextJob = 1;
    std::uint64_t m_nextAttempt = 1;
    OrderId m_nextOrder = 1;
    std::uint32_t m_nextFenceSequence = 0;
    bool m_isClosed = false;
    /// While the group is evacuated: when the last queued task may start.
    std::optional<TimePoint> m_startDeadline;
    bool m_hasEndedUnstartedJobs = false;
    /// After an evacuation: when the first and the last upstream are used again.
    TimePoint m_warmUpBegin;
    TimePoint m_warmUpEnd;
    bool m_isOverloaded = false;
    /// When tick() last looked at all deadlines; nothing before the first tick.
    std::optional<TimePoint> m_tickedAt;
};

} // namespace Citronpitch
