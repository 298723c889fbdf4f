#pragma once

#include "citronpitch/dispatcher.h"
#include "core/dispatch/attempttable.h"
#include "core/dispatch/baseline.h"
#include "core/dispatch/capacityforecast.h"
#include "core/dispatch/capacityloans.h"
#include "core/dispatch/capacityshare.h"
#include "core/dispatch/classshares.h"
#include "core/dispatch/classtable.h"
#include "core/dispatch/contention.h"
#include "core/dispatch/placer.h"
#include "core/dispatch/retrybudget.h"
#include "core/dispatch/retryschedule.h"
#include "core/dispatch/taskqueue.h"
#include "core/dispatch/upstreamhealth.h"

#include <map>
#include <unordered_map>

namespace Citronpitch {

/**
 * @brief Connects the components of a Dispatcher and passes events between them.
 */
struct Dispatcher::State
{
    explicit State(const DispatcherOptions &options);

    bool isBaseline() const;

    /// Returns when a job is due, which orders the queue: from its target and unloaded time, and not after
    /// its deadline.
    TimePoint dueTime(const QueuedJob &job) const;

    /// Returns the latest time at which a job meets its target.
    TimePoint targetTime(const QueuedJob &job) const;

    /// Whether the target of a class scales with the size of the job, and there are enough upstreams. Only
    /// then do the rules of admission by target and of contention apply.
    bool scalesWithJob(ClassIndex classIndex) const;
    /// Recomputes whether the rules for contention apply, after upstreams or classes have changed. Returns
    /// whether that changed; updateAllUpstreams() must follow then.
    bool updateContentionRules();

    /// Returns the latest time at which the last task of a job has to start to end by latestExpectedEnd().
    TimePoint latestStart(const QueuedJob &job) const;

    /// Returns the time after which a protected job that is still queued misses its target.
    TimePoint lateTime(const QueuedJob &job) const;

    /// Returns when a job is due that has missed dueTime().
    TimePoint demotedDueTime(const QueuedJob &job) const;

    /// Returns the time after which an answer is of little use: that of the target if the target scales with
    /// the size of the job, otherwise the deadline.
    TimePoint usefulUntil(const QueuedJob &job) const;

    /// Returns the latest expected end with which admission accepts a job under load. The margin to
    /// usefulUntil() covers upstreams that are slower than expected.
    TimePoint latestExpectedEnd(const QueuedJob &job) const;

    /// Admission control of a job that the configuration allows: returns why it is refused, or nothing.
    std::optional<Refusal> refusalForLoad(TimePoint now, const Submission &submission);

    /// Returns why the upstreams in service can't run @p submission, whose estimates are those of @p job, or
    /// nothing if they can.
    std::optional<Refusal> refusalForConstraints(TimePoint now, const Submission &submission,
                                                 const QueuedJob &job) const;
    /// Returns how many tasks of typical need of a job with @p constraints can run concurrently.
    std::uint32_t parallelTasksFor(const PlacementConstraints &constraints) const;
    /// Calls @p visit with each upstream that has @p label and accepts tasks.
    void forEachServing(std::string_view label,
                        const std::function<void(const UpstreamEntry &)> &visit) const;
    /// Calls @p visit with each group of queued tasks that only a part of the upstreams can take, and how
    /// many of them can run concurrently.
    void forEachRestriction(
        const std::function<void(const RestrictedWork &work, std::uint32_t parallel)> &visit) const;
    /// Returns the expected run time of the queued tasks that are due before @p due and compete with a task
    /// that any upstream can take. Tasks that are restricted to some upstreams use only those.
    Duration competingWork(TimePoint due) const;
    /// Returns the number of queued tasks, without those that wait for upstreams which they are restricted
    /// to.
    std::uint32_t competingTasks() const;
    /// Remembers that a job requires @p label.
    void recordLabel(TimePoint now, const std::string &label);

    /// Returns a job with the estimates that determine its position in the queue.
    QueuedJob queuedJobOf(TimePoint now, ClassIndex classIndex, const Submission &submission) const;

    /// Result of expectedLateness().
    struct Lateness
    {
        /// Zero or less if the job can be accepted.
        Duration time{};
        /// An accepted job would be late; otherwise the new one.
        bool isOfAccepted = false;
    };

    /// Returns how late @p job, which has @p tasks tasks, or an accepted job that it would
    /// overtake, is expected to start its last task.
    Lateness expectedLateness(TimePoint now, const QueuedJob &job, std::size_t tasks);

    /// Returns how late @p job, which requires a label, is expected to start its last task behind the queued
    /// tasks that require the same label; zero or less if it is in time. It can run @p parallel tasks at
    /// once.
    Duration labelledLateness(TimePoint now, const QueuedJob &job, std::size_t tasks,
                              std::uint32_t parallel) const;

    /// Returns the number of tasks that can run concurrently, as observed when tasks wait: their needs don't
    /// fill the upstreams evenly.
    double usableSlots() const;
    /// Number of attempts that occupy capacity.
    std::size_t busySlots() const;
    void updateForecast(TimePoint now);
    /// Returns the expected ends of the attempts on the upstreams with @p label.
    std::vector<TimePoint> expectedEnds(std::string_view label) const;
    /// Returns the expected run time of the queued tasks up to bucket @p number of TaskQueue::protectedWork()
    /// minus the slot time that is available for them, in microseconds. @p work is that of the protected
    /// ones.
    double excessAt(std::int64_t number, Duration work) const;
    /// Sheds the protected jobs that can't meet their target any more since capacity fell, and that have not
    /// started.
    void shedUnreachable(TimePoint now);
    /// Records whether tasks wait for capacity at the end of place().
    void updateContention(TimePoint now);

    /// Updates the typical need of a task.
    void recordNeeds(TimePoint now, const Submission &submission);
    /// Returns how many tasks of typical need can run concurrently on @p usable.
    std::uint32_t parallelTasksOf(const Capacity &usable) const;

    /// Returns how many tasks of typical need fit into @p resources.
    std::uint32_t tasksWithin(const Resources &resources) const;
    /// Returns how many tasks of typical need can be started on @p entry.
    std::uint32_t freeTasksOf(const UpstreamEntry &entry) const;

    /// Recomputes whether a task can be started on an upstream, and updates the rankings.
    void updateUpstream(TimePoint now, UpstreamIndex upstream);
    void updateAllUpstreams(TimePoint now);

    /// Returns this VM's capacity of an upstream, including loans.
    Capacity usableCapacity(UpstreamIndex upstream) const;
    /// Returns this VM's share of an upstream without what it has lent.
    Capacity usableWithoutBorrowed(UpstreamIndex upstream) const;

    /// Converts loans of a message; leaves out unknown upstreams and other incarnations.
    std::vector<UpstreamCapacity> toUpstreamCapacities(const std::vector<LoanedCapacity> &from) const;
    /// Converts loans for a message.
    std::vector<LoanedCapacity> toLoanedCapacities(const std::vector<UpstreamCapacity> &from) const;

    /// Returns the capacity of an upstream that is in use beyond this VM's own share.
    Capacity borrowedInUse(UpstreamIndex upstream) const;
    /// Drops the idle part of recalled loans.
    void releaseRecalled(TimePoint now);

    /// Lends @p vm idle capacity for up to @p tasks tasks, on the fastest upstreams first.
    void lendIdle(const std::string &vm, std::uint32_t tasks, const Resources &need);

    /// Handles expired leases and backoffs, and overdue and stuck attempts.
    void processTimers(TimePoint now);

    /// Updates the priority boosts of classes that miss their targets.
    void updateBoosts(TimePoint now);

    /// Returns the ranking of a class, rebuilt if it is stale.
    const UpstreamRanking &rankingOf(TimePoint now, ClassIndex classIndex);

    /// Whether tasks of other jobs suffice to use every slot; false while this VM has no slots, as when all
    /// are lent.
    bool isContended(JobId job) const;

    /// Whether work of the expected @p time is of no use any more, as it would end well after @p deadline.
    static bool isOutOfReach(TimePoint now, Duration time, TimePoint deadline);

    /// Whether the deadline of a job has passed or, for a job without starts under load, usefulUntil() leaves
    /// too little time for a single task.
    bool isInfeasible(TimePoint now, const SubqueueHead &head) const;

    /// Removes the queued tasks of a job, which the owner answers.
    void shed(JobId job);

    /// Skips @p head, which could not be started, and those behind it that can't be started either.
    void skip(const SubqueueHead &head);
    /// Keeps the room that becomes free on @p upstream for @p head, so that smaller tasks which may run
    /// elsewhere don't take it.
    void reserveFor(const SubqueueHead &head, UpstreamIndex upstream);

    /// Starts the task of @p head or another one of its subqueue; nothing if the subqueue has to wait.
    std::optional<Placement> tryStart(TimePoint now, const SubqueueHead &head);
    /// Returns how many tasks of a class, arriving now, would start at once on upstreams that are fast
    /// enough.
    std::uint32_t headroomOf(TimePoint now, ClassIndex classIndex) const;
    /// Returns the longest service time that meets a target and a deadline in @p toTarget and @p toDeadline.
    Duration serviceTimeLimit(ClassIndex classIndex, Duration toTarget, Duration toDeadline) const;
    /// Returns the longest service time that is sufficient for a job. Returns nothing if its tasks take the
    /// fastest free upstream: while few slots are busy, for a class without learned service time, and for a
    /// target that does not scale with the size of the job.
    std::optional<Duration> sufficientServiceTime(TimePoint now, const SubqueueHead &head) const;
    std::optional<UpstreamIndex> chooseForBaseline(const SubqueueHead &head) const;
    Placement start(TimePoint now, const SubqueueHead &head, UpstreamIndex upstream);
    /// Returns the task that fills the room on @p upstream best, among those that are about as urgent as
    /// @p head; @p head itself if it @p fits there and none is larger.
    std::optional<SubqueueHead> bestFilling(TimePoint now, const SubqueueHead &head, UpstreamIndex upstream,
                                            bool fits) const;
    /// Starts @p head on @p upstream, where it fits, or under contention a task that fills the room better.
    Placement startFilling(TimePoint now, const SubqueueHead &head, UpstreamIndex upstream);

    /// Frees the capacity that an attempt occupies.
    void release(TimePoint now, const InFlightAttempt &attempt);
    /// Returns when the upstream is expected to have ended an abandoned attempt, with the margin of overdue
    /// attempts.
    TimePoint expectedEnd(TimePoint now, const InFlightAttempt &attempt) const;

    /// Updates health and service times from the result of an attempt.
    void learn(TimePoint now, const InFlightAttempt &attempt, const AttemptResult &result);
    void learnFromAnswer(TimePoint now, const InFlightAttempt &attempt, int status);
    void observe(TimePoint now, const InFlightAttempt &attempt, HealthSignal signal);

    DispatcherOptions options;
    BaselineSelector baseline;
    Configuration configuration;
    bool isConfigurationCurrent = true;
    ClassTable classes;
    UpstreamTable upstreams;
    CapacityShare share;
    CapacityLoans loans;
    ServiceTimeModel serviceTimes;
    UpstreamHealth health;
    TaskQueue queue;
    AttemptTable attempts;
    RetryBudget retryBudget;
    CapacityForecast forecast;
    Contention contention;
    AdmissionStatus admission;
    ClassShares classShares;
    RetrySchedule retrySchedule;
    Placer placer;
    std::unordered_map<JobId, JobPlacementState> jobs;
    /// Times at which the state of an upstream has to be updated.
    std::multimap<TimePoint, UpstreamIndex> wakeups;
    /// Abandoned attempts that the upstream may still run, by their expected end.
    std::multimap<TimePoint, InFlightAttempt> abandonedAttempts;
    /// Jobs that were shed since the last call of takeShedJobs().
    std::vector<JobId> shedJobs;
    /// Jobs that were shed since the last call of takeUnsuitableJobs().
    std::vector<JobId> unsuitableJobs;
    /// Labels that jobs required recently, with the times until which their headroom is reported.
    std::map<std::string, TimePoint> recentLabels;
    std::uint32_t freeUpstreams = 0;
    std::uint32_t parallelTasks = 0;
    /// Moving average of the need of recent tasks, and the value that parallel tasks are computed with.
    double meanMillicores = 0;
    std::uint32_t typicalMillicores = defaultMillicores;
    /// Incremented when the set of upstreams that accept tasks, or the number of their tasks, changes.
    std::uint64_t upstreamSetVersion = 1;
    TimePoint boostsUpdatedAt;
    TimePoint forecastAt;
    std::uint64_t forecastSetVersion = 0;
    /// Expected run time of the tasks that were started since the last forecast.
    Duration startedSinceForecast{};
    /// Sums, which decay, of the run times of succeeded tasks and of their expected times.
    double measuredTime = 1;
    double expectedTime = 1;
    /// Moving average of the attempts in flight while tasks wait, relative to parallelTasks.
    double usableShare = 1;
    /// Whether there are enough upstreams for the rules for contention.
    bool hasManyUpstreams = false;
    /// Whether scalesWithJob() holds for any declared class.
    bool hasScalingClass = false;
    /// parallelTasks was reduced since the last call of place().
    bool hasCapacityFallen = false;
    TimePoint expiredUpstreamsRemovedAt;
    /// Need of the most urgent task without capacity in the last call of place().
    std::optional<Resources> unmetNeed;
};

} // namespace Citronpitch
