#pragma once

#include "citronpitch/dispatcher.h"
#include "core/dispatch/attempttable.h"
#include "core/dispatch/baseline.h"
#include "core/dispatch/capacityloans.h"
#include "core/dispatch/capacityshare.h"
#include "core/dispatch/classtable.h"
#include "core/dispatch/placer.h"
#include "core/dispatch/retrybudget.h"
#include "core/dispatch/taskqueue.h"
#include "core/dispatch/upstreamhealth.h"

#include <map>
#include <unordered_map>

namespace Citronpitch {

/**
 * @brief The parts of a Dispatcher and what joins them.
 *
 * Each part knows one matter; this class passes events between them. Used by Dispatcher alone.
 */
struct Dispatcher::State
{
    explicit State(const DispatcherOptions &options);

    bool isBaseline() const;

    /// Moment at which a job is due: its target or its deadline, whichever is earlier.
    TimePoint dueTime(const QueuedJob &job) const;

    /// Moment at which a job meets its target.
    TimePoint targetTime(const QueuedJob &job) const;

    /// Moment at which a job is due that has missed its target.
    TimePoint demotedDueTime(const QueuedJob &job) const;

    /// Moment after which an answer is of little use: several times the target, or the deadline.
    TimePoint usefulUntil(const QueuedJob &job) const;

    /// Work of a job if nothing else waited.
    Duration unloadedTimeOf(ClassIndex classIndex, const Submission &submission) const;

    /// Why a job is refused that the configuration allows, or nothing.
    std::optional<Refusal> refusalForLoad(TimePoint now, const Submission &submission) const;

    /// Learns what a task usually needs of an upstream.
    void recordNeeds(TimePoint now, const Submission &submission);
    /// Tasks of the usual need that run side by side within @p usable.
    std::uint32_t parallelTasksOf(const Capacity &usable) const;

    /// Computes again whether an upstream can take a start, and tells the rankings.
    void updateUpstream(TimePoint now, UpstreamIndex upstream);
    void updateAllUpstreams(TimePoint now);

    /// This VM's capacity of an upstream, with the loans.
    Capacity usableCapacity(UpstreamIndex upstream) const;
    /// The same without what is borrowed.
    Capacity usableWithoutBorrowed(UpstreamIndex upstream) const;

    /// Loans in numbers of upstreams; those on unknown upstreams or ended incarnations are left out.
    std::vector<UpstreamCapacity> toUpstreamCapacities(const std::vector<LoanedCapacity> &from) const;
    std::vector<LoanedCapacity> toLoanedCapacities(const std::vector<UpstreamCapacity> &from) const;

    /// Part of the capacity of an upstream that is in use beyond this VM's own part.
    Capacity borrowedInUse(UpstreamIndex upstream) const;
    /// Gives up the idle part of recalled loans.
    void releaseRecalled(TimePoint now);

    /// Lends idle capacity for @p tasks tasks, on the fastest upstreams first.
    void lendIdle(const std::string &vm, std::uint32_t tasks, const Resources &need);

    /// Handles leases, backoffs and stuck attempts that came due.
    void processTimers(TimePoint now);

    /// Draws classes that are behind their target ahead.
    void updateBoosts(TimePoint now);

    /// Ranking of a class, built anew when it is out of date.
    const UpstreamRanking &rankingOf(TimePoint now, ClassIndex classIndex);

    /// Whether the work of others takes every slot that @p job could have; not so while all slots are lent
    /// out.
    bool isContended(JobId job) const;

    /// Whether not even one task of a job of which nothing has started would end before its deadline.
    bool isInfeasible(TimePoint now, const SubqueueHead &head) const;

    /// Starts the task that @p head names, or another one of its lane; nothing when the lane has to wait.
    std::optional<Placement> tryStart(TimePoint now, const SubqueueHead &head);
    /// Tasks of class @p classIndex that would start at once on upstreams fast enough for a job that comes
    /// now.
    std::uint32_t headroomOf(TimePoint now, ClassIndex classIndex) const;
    /// Time that a task of class @p classIndex may take for its target and deadline, which are @p toTarget
    /// and @p toDeadline away.
    Duration serviceTimeLimit(ClassIndex classIndex, Duration toTarget, Duration toDeadline) const;
    /// Time that a task of a job may take on an upstream that is just fast enough; nothing where the fastest
    /// one is to be taken.
    std::optional<Duration> sufficientServiceTime(TimePoint now, const SubqueueHead &head) const;
    std::optional<UpstreamIndex> chooseForBaseline(const Resources &need) const;
    Placement start(TimePoint now, const SubqueueHead &head, UpstreamIndex upstream);

    /// Frees what an attempt took of its upstream.
    void release(TimePoint now, const InFlightAttempt &attempt);
    /// When the upstream is expected to have ended a task whose connection was given up.
    TimePoint expectedEnd(TimePoint now, const InFlightAttempt &attempt) const;

    /// Learns from the end of an attempt.
    void learn(TimePoint now, const InFlightAttempt &attempt, const AttemptResult &result);
    void learnFromAnswer(TimePoint now, const InFlightAttempt &attempt, int status);
    void observe(TimePoint now, const InFlightAttempt &attempt, HealthSignal signal);

    DispatcherOptions options;
    BaselineSelector baseline;
    Configuration configuration;
    ClassTable classes;
    UpstreamTable upstreams;
    CapacityShare share;
    CapacityLoans loans;
    ServiceTimeModel serviceTimes;
    UpstreamHealth health;
    TaskQueue queue;
    AttemptTable attempts;
    RetryBudget retryBudget;
    Placer placer;
    std::unordered_map<JobId, JobPlacementState> jobs;
    /// When the state of an upstream has to be examined at again.
    std::multimap<TimePoint, UpstreamIndex> wakeups;
    /// Attempts that were given up while the upstream may go on with the task, by its expected end.
    std::multimap<TimePoint, InFlightAttempt> abandonedAttempts;
    /// Jobs whose tasks were dropped since their deadline can't be met, until they are taken.
    std::vector<JobId> shedJobs;
    std::uint32_t freeUpstreams = 0;
    std::uint32_t parallelTasks = 0;
    /// Mean need of the tasks that came lately, and the one by which parallel work is counted.
    double meanMillicores = 0;
    std::uint32_t typicalMillicores = defaultMillicores;
    /// Counts the changes in which upstreams take work, and how much.
    std::uint64_t upstreamSetVersion = 1;
    TimePoint boostsUpdatedAt;
    TimePoint expiredUpstreamsRemovedAt;
    /// Need of the most urgent task that found no room when tasks were last placed.
    std::optional<Resources> unmetNeed;
};

} // namespace Citronpitch
