#include "citronpitch/groupdispatcher.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace Citronpitch {

namespace {

constexpr int statusDone = 200;
constexpr int statusFailed = 500;
constexpr int statusDeclined = 503;

/// Retry delay for new jobs that are refused because the group is moving to another holder, and for shed
/// jobs.
constexpr Duration closedRetryDelay = std::chrono::seconds(1);

/// An answer renews a lease of which at least one part in this many has passed.
constexpr int leaseRenewalDivisor = 4;
/// An idle upstream is probed for an answer when less than one part in this many of its lease is left.
constexpr int probeDivisor = 2;

/// Unit of Upstream::warmUpPosition.
constexpr std::int64_t thousand = 1000;
/// Retry delay for jobs that are refused because this VM is overloaded; load reports reach entry VMs sooner.
constexpr Duration overloadedRetryDelay = std::chrono::milliseconds(300);

/// Callers retry after 1,300 ms, and entry VMs resend after 250 ms: a job whose message took longer than this
/// is late already, and dispatching it delays those that are not.
constexpr Duration maximumMessageAge = std::chrono::milliseconds(300);

/// Nothing is placed when the last tick is longer ago. A VM with 0.4 of a core is paused for up to 60 ms by
/// its processor limit; after longer pauses the runs of an unreachable entry VM could outlast the time after
/// which its callers retry.
constexpr Duration maximumTickAge = std::chrono::milliseconds(80);

/// Translates the end of a run for the Dispatcher that placed it.
AttemptResult resultOf(const FinishedRun &run, bool isJobEnded)
{
    switch (run.outcome) {
    case RunOutcome::Done:
        return {AttemptOutcome::Answered, statusDone, {}};
    case RunOutcome::Failed:
        return {AttemptOutcome::Answered, statusFailed, {}};
    case RunOutcome::NotSent:
        // A limit of this VM says nothing about the upstream's health.
        if (run.verdict == OrderVerdict::Limited)
            return {AttemptOutcome::Stopped, 0, {}};
        return {AttemptOutcome::NotSent, 0, {}};
    case RunOutcome::Declined:
        // A run number that is too low says nothing about the upstream's health.
        if (run.verdict == OrderVerdict::StaleRun)
            return {AttemptOutcome::Stopped, 0, {}};
        return {AttemptOutcome::Declined, statusDeclined, {}};
    case RunOutcome::Lost:
        return {isJobEnded ? AttemptOutcome::Stopped : AttemptOutcome::Broken, 0, {}};
    case RunOutcome::Stopped:
    case RunOutcome::TakenOver:
        break;
    }
    return {AttemptOutcome::Stopped, 0, {}};
}

Refusal movingRefusal(TimePoint retryAt)
{
    return {Reason::ShuttingDown, "dispatch: the group is moving to another holder", retryAt};
}

Refusal evacuatedRefusal(TimePoint now)
{
    return {Reason::DomainEvacuated, "dispatch: the failure domain is evacuated", now + closedRetryDelay};
}

/// Answer to a job that was cancelled after a start, as its entry VM was unreachable.
Answer abandonedAnswer()
{
    Answer answer;
    answer.outcome = Outcome::Unknown;
    answer.reason = Reason::TaskOutcomeUnknown;
    answer.detail = "dispatch: the job was cancelled after a start, as its entry VM was unreachable";
    return answer;
}

} // namespace

Answer formerHolderAnswer()
{
    Answer answer;
    answer.outcome = Outcome::Unknown;
    answer.reason = Reason::TaskOutcomeUnknown;
    answer.detail = "dispatch: the job may have run before the group moved to another holder";
    return answer;
}

GroupDispatcher::GroupDispatcher(GroupDispatcherOptions options, CrashLedger &crashes)
    : m_options(std::move(options))
    , m_crashes(crashes)
{
    m_options.runs.takeFence = [this] { return orderFence(m_options.fence, m_nextFenceSequence++); };
}

GroupDispatcher::~GroupDispatcher() = default;

void GroupDispatcher::setClasses(const std::vector<ClassDeclaration> &classes)
{
    m_classes = classes;
    for (auto &[name, it] : m_pools)
        it.setConfiguration({0, m_classes, {}, {}, {}, {}});
}

void GroupDispatcher::setUnguardedPools(std::set<std::string> pools)
{
    m_unguardedPools = std::move(pools);
}

void GroupDispatcher::announce(TimePoint now, const FleetAnnouncement &announcement)
{
    const auto &name = announcement.upstream.name;
    auto &it = m_upstreams[name];
    if (!it.runs) {
        if (announcement.hasLeft) {
            m_upstreams.erase(name);
            return;
        }
        it.runs =
            std::make_unique<UpstreamRuns>(now, m_options.runs, announcement, [this, name](RunOrder order) {
                order.id = m_nextOrder++;
                m_orders.emplace(order.id, name);
                const auto id = order.id;
                m_actions.emplace_back(std::move(order));
                return id;
            });
        it.warmUpPosition = static_cast<std::int64_t>(XXH3_64bits(name.data(), name.size()) % thousand);
    } else {
        it.runs->announced(now, announcement);
    }
    // An announcement that another VM relays may carry an earlier arrival than the one before it. The pool's
    // Dispatcher keeps the later deadline and may start tasks until then.
    it.leaseDeadline = std::max(it.leaseDeadline, announcement.upstream.leaseDeadline);
    // UpstreamRuns ignores the announcement of an earlier incarnation.
    const auto &known = it.runs->announcement();
    offer(now, it, known.upstream.leaving || known.hasLeft);
    it.isPaused = mustPause(now, it);
    pool(announcement.pool).setPaused(now, name, it.isPaused);
    recordCrashes(now, *it.runs);
    m_crashes.upstreamEnded(now, name, it.runs->announcement().upstream.incarnation);
    if (it.runs->hasFinished())
        m_touched.insert(name);
    reschedule(now);
}

void GroupDispatcher::submit(TimePoint now, const RoutedJob &job)
{
    // A duplicate message must not start a job again that was already answered.
    if (const auto it = m_answers.find(job.origin); it != m_answers.end()) {
        m_actions.emplace_back(FinishedJob{job.origin, it->second});
        return;
    }
    if (job.isResent && job.fence < m_options.fence && !isKnown(job.origin)) {
        reply(now, job.origin, formerHolderAnswer());
        return;
    }
    if (!isKnown(job.origin) && failIfDenied(now, job))
        return;
    if (job.reserve)
        reserve(now, job);
    else
        submitJob(now, job, false);
}

void GroupDispatcher::reserve(TimePoint now, const RoutedJob &routed)
{
    if (!isKnown(routed.origin)) {
        if (const auto refusal = refusalOf(now, routed)) {
            refuse(now, routed.origin, *refusal);
            return;
        }
        m_reservations[routed.origin] = {routed, now + m_options.reservationTimeout};
    }
    m_actions.emplace_back(ReservedJob{routed.origin});
}

bool GroupDispatcher::start(TimePoint now, const JobOrigin &origin)
{
    if (const auto it = m_answers.find(origin); it != m_answers.end()) {
        m_actions.emplace_back(FinishedJob{origin, it->second});
        return true;
    }
    const auto it = m_reservations.find(origin);
    if (it == m_reservations.end())
        return isKnown(origin);
    // tick() may be late.
    if (it->second.expiresAt <= now) {
        expireReservations(now);
        return true;
    }
    const auto routed = std::move(it->second.routed);
    m_reservations.erase(it);
    submitJob(now, routed, true);
    return true;
}

void GroupDispatcher::submitJob(TimePoint now, const RoutedJob &job, bool isAdmitted)
{
    const bool isNew = !m_byKey.contains(job.submission.key);
    enqueue(now, job, isAdmitted);
    if (isNew)
        reschedule(now);
}

void GroupDispatcher::enqueue(TimePoint now, const RoutedJob &job, bool isAdmitted)
{
    const auto byKey = m_byKey.find(job.submission.key);
    if (byKey == m_byKey.end()) {
        addJob(now, job, isAdmitted);
        return;
    }
    auto &known = m_jobs.at(byKey->second);
    if (known.isEnded || !isSamePart(known.routed, job)) {
        const auto it = std::find_if(known.successors.begin(), known.successors.end(),
                                     [&](const auto &other) { return isSamePart(other, job); });
        if (it != known.successors.end())
            *it = job;
        else
            known.successors.push_back(job);
        return;
    }
    if (m_byOrigin.try_emplace(job.origin, byKey->second).second)
        known.joinedOrigins.push_back(job.origin);
}

bool GroupDispatcher::isSamePart(const RoutedJob &left, const RoutedJob &right)
{
    // Another entry VM may have divided the job into other parts, whose answer says nothing about this one.
    return left.firstTask == right.firstTask && left.submission.tasks.size() == right.submission.tasks.size();
}

bool GroupDispatcher::isKnown(const JobOrigin &origin) const
{
    return m_reservations.contains(origin) || m_byOrigin.contains(origin)
        || std::any_of(m_jobs.begin(), m_jobs.end(), [&](const auto &it) {
               const auto &successors = it.second.successors;
               return std::any_of(successors.begin(), successors.end(),
                                  [&](const auto &job) { return job.origin == origin; });
           });
}

void GroupDispatcher::cancel(TimePoint now, const JobOrigin &origin)
{
    if (const auto it = m_answers.find(origin); it != m_answers.end()) {
        m_actions.emplace_back(FinishedJob{origin, it->second});
        return;
    }
    Answer cancelled;
    cancelled.outcome = Outcome::Failed;
    cancelled.reason = Reason::Cancelled;
    reply(now, origin, std::move(cancelled));
    m_reservations.erase(origin);
    const auto it = m_byOrigin.find(origin);
    if (it != m_byOrigin.end()) {
        if (!removeJoined(it->second, origin))
            endJob(now, it->second);
        reschedule(now);
        return;
    }
    for (auto &[id, job] : m_jobs)
        std::erase_if(job.successors, [&](const auto &it) { return it.origin == origin; });
}

void GroupDispatcher::cancelAbandoned(TimePoint now, const std::string &vm, std::uint64_t incarnation,
                                      std::uint64_t lowestOpen)
{
    const auto isAbandoned = [&](const JobOrigin &origin) {
        return origin.vm == vm && (origin.incarnation != incarnation || origin.number < lowestOpen);
    };
    std::erase_if(m_reservations, [&](const auto &it) { return isAbandoned(it.first); });
    for (auto &[id, job] : m_jobs)
        std::erase_if(job.successors, [&](const auto &it) { return isAbandoned(it.origin); });
    std::vector<std::pair<JobOrigin, JobId>> abandoned;
    for (auto it = m_byOrigin.lower_bound({vm, 0, 0}); it != m_byOrigin.end() && it->first.vm == vm; ++it) {
        if (isAbandoned(it->first))
            abandoned.emplace_back(*it);
    }
    for (const auto &[origin, id] : abandoned) {
        // The entry VM may only have been unreachable for a while, and resend the job.
        if (m_jobs.at(id).hasStarted)
            retainAnswer(now, origin, abandonedAnswer());
        if (!removeJoined(id, origin))
            endJob(now, id);
    }
    if (!abandoned.empty())
        reschedule(now);
}

void GroupDispatcher::entryVmUnreachable(TimePoint now, const std::string &vm)
{
    cancelAbandoned(now, vm, 0, 0);
}

void GroupDispatcher::orderEnded(TimePoint now, OrderId id, const OrderResult &result)
{
    const auto order = m_orders.find(id);
    if (order == m_orders.end())
        return;
    const auto it = m_upstreams.find(order->second);
    m_orders.erase(order);
    if (it == m_upstreams.end())
        return;
    auto &runs = *it->second.runs;
    const bool wasTakenOver = runs.isTakenOver();
    runs.orderEnded(now, id, result);
    if (runs.isTakenOver() && !wasTakenOver)
        m_actions.emplace_back(SupersededUpstream{it->first});
    recordCrashes(now, runs);
    const auto incarnation = runs.announcement().upstream.incarnation;
    if (result.verdict == OrderVerdict::OtherIncarnation) {
        if (runs.isReplaced())
            m_crashes.upstreamEnded(now, it->first, incarnation + 1);
    } else if (result.incarnation != 0) {
        m_crashes.upstreamEnded(now, it->first, incarnation);
        if (result.incarnation == incarnation)
            m_crashes.upstreamAnswered(now, it->first, incarnation);
    }
    renewLease(now, it->second);
    // This VM may be cut off from those that could tell it.
    if (result.verdict == OrderVerdict::StaleFence && isSuperseded())
        close(now);
    if (runs.hasFinished())
        m_touched.insert(it->first);
    updatePause(now, it->second);
    reschedule(now);
}

void GroupDispatcher::tick(TimePoint now, Duration lag)
{
    for (auto &[name, it] : m_upstreams) {
        it.runs->tick(now, lag);
        recordCrashes(now, *it.runs);
        if (it.runs->hasFinished())
            m_touched.insert(name);
        updatePause(now, it);
        if (it.leaseDeadline - now < m_options.upstreamLease / probeDivisor && isRenewedByAnswers(it))
            it.runs->probe(now);
    }
    while (!m_answerExpiries.empty() && m_answerExpiries.front().expiresAt <= now) {
        m_answers.erase(m_answerExpiries.front().origin);
        m_answerExpiries.pop_front();
    }
    expireReservations(now);
    std::vector<JobId> late;
    for (const auto &[id, job] : m_jobs) {
        if (!job.isEnded && job.routed.submission.deadline <= now)
            late.push_back(id);
    }
    for (const auto id : late)
        answerJob(now, id, Outcome::Failed, Reason::DeadlinePassed, "dispatch: the deadline passed");
    m_tickedAt = now;
    reschedule(now);
    applyCrashes(now);
    removeExpired(now);
}

void GroupDispatcher::setOverloaded(bool isOverloaded)
{
    m_isOverloaded = isOverloaded;
}

void GroupDispatcher::close(TimePoint now)
{
    if (std::exchange(m_isClosed, true))
        return;
    for (const auto &[origin, it] : std::exchange(m_reservations, {}))
        refuse(now, origin, movingRefusal(now));
    std::vector<JobId> waiting;
    for (const auto &[id, job] : m_jobs) {
        if (!job.hasStarted && !job.isEnded)
            waiting.push_back(id);
    }
    for (const auto id : waiting)
        refuseJob(now, id, movingRefusal(now));
    reschedule(now);
}

void GroupDispatcher::evacuate(TimePoint now, TimePoint startDeadline)
{
    m_startDeadline = std::min(startDeadline, m_startDeadline.value_or(startDeadline));
    m_warmUpEnd = {};
    // A reserved job could be started after the deadline, when the queued jobs have already been ended.
    for (const auto &[origin, it] : std::exchange(m_reservations, {}))
        refuse(now, origin, evacuatedRefusal(now));
    reschedule(now);
}

void GroupDispatcher::restore(TimePoint now, TimePoint warmUntil)
{
    m_startDeadline.reset();
    m_hasEndedUnstartedJobs = false;
    m_warmUpBegin = now;
    m_warmUpEnd = warmUntil;
    for (auto &[name, it] : m_upstreams)
        updatePause(now, it);
    reschedule(now);
}

std::vector<GroupAction> GroupDispatcher::takeActions()
{
    return std::exchange(m_actions, {});
}

GroupLoad GroupDispatcher::load(TimePoint now) const
{
    const bool isOpen = !m_isClosed && !m_startDeadline && !m_isOverloaded;
    GroupLoad load{m_options.group, m_options.fence, isOpen};
    if (m_startDeadline)
        return load;
    for (const auto &[name, it] : m_pools) {
        load.freeTasks += it.freeSlots(now);
        load.parallelTasks += it.parallelTasks();
        load.waitingWork += it.waitingWork();
        for (auto &of : it.classHeadroom(now))
            load.classes.push_back({std::move(of.className), of.tasks, of.expectedWait, of.longestWait});
        for (auto &of : it.labelHeadroom(now))
            load.labels.push_back(
                {name, std::move(of.label), of.freeTasks, of.parallelTasks, of.upstreams, of.waitingWork});
        load.upstreams += it.servingUpstreams();
    }
    std::uint32_t reservedTasks = 0;
    for (const auto &[origin, it] : m_reservations)
        reservedTasks += static_cast<std::uint32_t>(it.routed.submission.tasks.size());
    const auto subtractReserved = [=](std::uint32_t &tasks) { tasks -= std::min(tasks, reservedTasks); };
    subtractReserved(load.freeTasks);
    for (auto &it : load.classes)
        subtractReserved(it.freeTasks);
    for (auto &it : load.labels)
        subtractReserved(it.freeTasks);
    return load;
}

AdmissionStatus GroupDispatcher::admissionStatus() const
{
    AdmissionStatus sum;
    for (const auto &[name, it] : m_pools) {
        const auto status = it.admissionStatus();
        sum.isContended = sum.isContended || status.isContended;
        sum.accepted += status.accepted;
        sum.acceptedUnderContention += status.acceptedUnderContention;
        sum.refusedForTarget += status.refusedForTarget;
        sum.refusedForAccepted += status.refusedForAccepted;
        sum.shedForCapacity += status.shedForCapacity;
        sum.shedForTarget += status.shedForTarget;
    }
    return sum;
}

std::uint64_t GroupDispatcher::fence() const
{
    return m_options.fence;
}

bool GroupDispatcher::isIdle() const
{
    return m_jobs.empty();
}

std::size_t GroupDispatcher::readyUpstreams(TimePoint now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_upstreams.begin(), m_upstreams.end(),
                      [=](const auto &it) { return it.second.runs->isReady(now); }));
}

std::size_t GroupDispatcher::upstreams() const
{
    return m_upstreams.size();
}

Dispatcher &GroupDispatcher::pool(const std::string &name)
{
    const auto [it, isNew] = m_pools.try_emplace(name);
    if (isNew)
        it->second.setConfiguration({0, m_classes, {}, {}, {}, {}});
    return it->second;
}

std::optional<Refusal> GroupDispatcher::refusalOf(TimePoint now, const RoutedJob &routed)
{
    if (m_isClosed)
        return movingRefusal(now + closedRetryDelay);
    if (m_startDeadline)
        return evacuatedRefusal(now);
    if (m_isOverloaded || routed.age > maximumMessageAge)
        return Refusal{Reason::Overloaded, "dispatch: this VM can't handle its messages in time",
                       now + overloadedRetryDelay};
    return pool(routed.pool).refusal(now, routed.submission);
}

void GroupDispatcher::expireReservations(TimePoint now)
{
    std::vector<JobOrigin> expired;
    for (const auto &[origin, it] : m_reservations) {
        if (it.expiresAt <= now)
            expired.push_back(origin);
    }
    for (const auto &origin : expired) {
        m_reservations.erase(origin);
        refuse(now, origin,
               {Reason::Overloaded, "dispatch: the reserved job was not started in time",
                now + closedRetryDelay});
    }
}

void GroupDispatcher::addJob(TimePoint now, const RoutedJob &routed, bool isAdmitted)
{
    // The other parts of a job that was reserved may have started, so it is not refused any more.
    if (const auto refusal = isAdmitted ? std::nullopt : refusalOf(now, routed)) {
        refuse(now, routed.origin, *refusal);
        return;
    }
    // Upstreams may have crashed since the job was reserved.
    if (failIfDenied(now, routed))
        return;
    auto &dispatcher = pool(routed.pool);
    const auto id = m_nextJob++;
    auto &job = m_jobs[id];
    job.routed = routed;
    job.tasks.resize(routed.submission.tasks.size());
    m_byKey[routed.submission.key] = id;
    m_byOrigin[routed.origin] = id;
    if (m_crashes.size() > 0) {
        for (std::size_t i = 0; i < job.tasks.size(); ++i) {
            const bool isSuspect = m_crashes.isSuspect(taskName(routed, i));
            job.tasks[i].isHeld = isSuspect;
            job.runsSuspectsSingly = job.runsSuspectsSingly || isSuspect;
        }
    }
    dispatcher.add(now, id, routed.submission, [&](std::uint32_t task) { return !job.tasks[task].isHeld; });
    releaseHeldTasks(now, job, id);
}

void GroupDispatcher::place(TimePoint now)
{
    if (areStartsForbidden(now)) {
        endUnstartedJobs(now);
        return;
    }
    // After a pause of the process, answers may be read before the tick that ends the jobs nobody waits for.
    if (m_tickedAt && now - *m_tickedAt > maximumTickAge)
        return;
    const auto isOpen = [this](JobId id) {
        const auto it = m_jobs.find(id);
        return it != m_jobs.end() && !it->second.isEnded;
    };
    for (auto &[name, dispatcher] : m_pools) {
        for (const auto &it : dispatcher.place(now))
            startRun(now, name, it);
        for (const auto id : dispatcher.takeShedJobs()) {
            if (!isOpen(id))
                continue;
            if (m_jobs.at(id).hasStarted) {
                answerJob(now, id, Outcome::Failed, Reason::DeadlineOutOfReach,
                          "dispatch: the deadline can't be met any more");
                continue;
            }
            refuseJob(now, id,
                      {Reason::DeadlineOutOfReach,
                       "dispatch: the deadline can't be met with the tasks already waiting",
                       now + closedRetryDelay});
        }
        for (const auto id : dispatcher.takeUnsuitableJobs()) {
            if (!isOpen(id))
                continue;
            const auto &label = m_jobs.at(id).routed.submission.constraints.requiredLabel;
            refuseJob(now, id,
                      {Reason::NoSuitableUpstream,
                       "dispatch: the last upstream here with label \"" + label
                           + "\" and room for the task is no longer in service",
                       now + closedRetryDelay});
        }
    }
}

void GroupDispatcher::startRun(TimePoint now, const std::string &pool, const Placement &placement)
{
    auto &job = m_jobs.at(placement.job);
    auto &task = job.tasks.at(placement.task);
    const auto attempt = m_nextAttempt++;
    m_attempts[attempt] = {placement.job, placement.task, pool, placement.upstream, placement.attempt};
    task.attempt = attempt;
    ++task.lastRun;
    ++job.openAttempts;
    job.hasStarted = true;
    m_upstreams.at(placement.upstream)
        .runs->start(now, attempt, taskName(job.routed, placement.task), task.lastRun,
                     job.routed.submission.tasks[placement.task].payload);
}

void GroupDispatcher::reschedule(TimePoint now)
{
    // Placing tasks and stopping runs finishes no run.
    for (const auto &name : std::exchange(m_touched, {})) {
        for (const auto &run : m_upstreams.at(name).runs->takeFinished())
            runFinished(now, run);
    }
    place(now);
}

void GroupDispatcher::runFinished(TimePoint now, const FinishedRun &run)
{
    const auto it = m_attempts.find(run.attempt);
    if (it == m_attempts.end())
        return;
    const auto attempt = it->second;
    m_attempts.erase(it);
    auto &job = m_jobs.at(attempt.job);
    auto &task = job.tasks.at(attempt.task);
    task.attempt = 0;
    --job.openAttempts;
    pool(attempt.pool).finish(now, attempt.placementAttempt, resultOf(run, job.isEnded));
    if (m_options.reportsRunEnds)
        m_actions.emplace_back(ConcludedRun{run, attempt.upstream});
    if (run.outcome == RunOutcome::Lost)
        m_actions.emplace_back(LostRun{run.task, run.run, attempt.upstream, run.loss, run.basis});
    if (job.isEnded) {
        removeIfFinished(now, attempt.job);
        return;
    }
    switch (run.outcome) {
    case RunOutcome::Done:
        task.isDone = true;
        if (++job.doneTasks == job.tasks.size())
            answerJob(now, attempt.job, Outcome::Complete, Reason::None, {});
        else
            releaseHeldTasks(now, job, attempt.job);
        return;
    case RunOutcome::Failed:
        if (++task.failures >= job.routed.attempts) {
            answerJob(now, attempt.job, Outcome::Failed, Reason::TaskFailed,
                      "task: failed on upstream " + attempt.upstream);
            return;
        }
        break;
    case RunOutcome::TakenOver:
        answerJob(now, attempt.job, Outcome::Unknown, Reason::TaskOutcomeUnknown,
                  "dispatch: another holder took over upstream " + attempt.upstream);
        return;
    default:
        break;
    }
    if (areStartsForbidden(now)) {
        endEvacuatedJob(now, attempt.job);
        return;
    }
    if (m_crashes.permission(run.task) == StartPermission::Denied) {
        answerJob(now, attempt.job, Outcome::Failed, Reason::TaskFailed, crashDetail(run.task));
        return;
    }
    if (run.outcome == RunOutcome::Lost)
        job.lostUpstreams.insert(attempt.upstream);
    job.runsSuspectsSingly = job.runsSuspectsSingly || job.lostUpstreams.size() > 1;
    task.isHeld = m_crashes.isSuspect(run.task);
    if (task.isHeld)
        releaseHeldTasks(now, job, attempt.job);
    else
        pool(attempt.pool).requeue(now, attempt.job, job.routed.submission, attempt.task);
}

void GroupDispatcher::recordCrashes(TimePoint now, UpstreamRuns &upstream)
{
    for (auto &it : upstream.takeCrashes())
        m_crashes.observe(now, std::move(it));
}

void GroupDispatcher::applyCrashes(TimePoint now)
{
    if (std::exchange(m_appliedCrashes, m_crashes.version()) == m_crashes.version())
        return;
    std::vector<JobId> ids;
    for (const auto &[id, job] : m_jobs) {
        if (!job.isEnded)
            ids.push_back(id);
    }
    for (const auto id : ids) {
        auto &job = m_jobs.at(id);
        if (const auto denied = findDeniedTask(job.routed))
            answerJob(now, id, Outcome::Failed, Reason::TaskFailed,
                      crashDetail(taskName(job.routed, *denied)));
        else
            releaseHeldTasks(now, job, id);
    }
    place(now);
}

void GroupDispatcher::releaseHeldTasks(TimePoint now, Job &job, JobId id)
{
    const bool hasHeldTask =
        std::any_of(job.tasks.begin(), job.tasks.end(), [](const auto &it) { return it.isHeld; });
    if (!hasHeldTask || areStartsForbidden(now))
        return;
    const auto isSuspect = [&](std::size_t i) { return m_crashes.isSuspect(taskName(job.routed, i)); };
    std::size_t activeSuspects = 0;
    for (std::size_t i = 0; i < job.tasks.size(); ++i) {
        const auto &it = job.tasks[i];
        activeSuspects += !it.isDone && !it.isHeld && isSuspect(i) ? 1 : 0;
    }
    for (std::size_t i = 0; i < job.tasks.size(); ++i) {
        auto &it = job.tasks[i];
        if (!it.isHeld || m_crashes.permission(taskName(job.routed, i)) != StartPermission::Granted)
            continue;
        if (isSuspect(i)) {
            if (job.runsSuspectsSingly && activeSuspects > 0)
                continue;
            ++activeSuspects;
        }
        it.isHeld = false;
        pool(job.routed.pool).requeue(now, id, job.routed.submission, static_cast<std::uint32_t>(i));
    }
}

std::string GroupDispatcher::taskName(const RoutedJob &routed, std::size_t task) const
{
    return m_options.nameTask(routed.submission.key, routed.firstTask + static_cast<std::uint32_t>(task));
}

std::optional<std::size_t> GroupDispatcher::findDeniedTask(const RoutedJob &routed) const
{
    if (m_crashes.size() == 0)
        return std::nullopt;
    for (std::size_t i = 0; i < routed.submission.tasks.size(); ++i) {
        if (m_crashes.permission(taskName(routed, i)) == StartPermission::Denied)
            return i;
    }
    return std::nullopt;
}

bool GroupDispatcher::failIfDenied(TimePoint now, const RoutedJob &routed)
{
    const auto denied = findDeniedTask(routed);
    if (!denied)
        return false;
    Answer answer;
    answer.key = routed.submission.key;
    answer.outcome = Outcome::Failed;
    answer.reason = Reason::TaskFailed;
    answer.detail = crashDetail(taskName(routed, *denied));
    reply(now, routed.origin, std::move(answer));
    return true;
}

std::string GroupDispatcher::crashDetail(const std::string &task)
{
    return "task: upstreams crashed while they ran " + task;
}

void GroupDispatcher::answerJob(TimePoint now, JobId id, Outcome outcome, Reason reason,
                                const std::string &detail)
{
    const auto &job = m_jobs.at(id);
    Answer answer;
    answer.key = job.routed.submission.key;
    answer.outcome = outcome;
    answer.reason = reason;
    answer.detail = detail;
    for (const auto &it : job.joinedOrigins)
        reply(now, it, answer);
    reply(now, job.routed.origin, std::move(answer));
    endJob(now, id);
}

void GroupDispatcher::refuseJob(TimePoint now, JobId id, const Refusal &refusal)
{
    const auto &job = m_jobs.at(id);
    for (const auto &it : job.joinedOrigins)
        refuse(now, it, refusal);
    refuse(now, job.routed.origin, refusal);
    endJob(now, id);
}

bool GroupDispatcher::removeJoined(JobId id, const JobOrigin &origin)
{
    auto &job = m_jobs.at(id);
    if (job.joinedOrigins.empty())
        return false;
    if (job.routed.origin == origin) {
        job.routed.origin = job.joinedOrigins.back();
        job.joinedOrigins.pop_back();
    } else {
        std::erase(job.joinedOrigins, origin);
    }
    m_byOrigin.erase(origin);
    return true;
}

void GroupDispatcher::endJob(TimePoint now, JobId id)
{
    auto &job = m_jobs.at(id);
    if (std::exchange(job.isEnded, true))
        return;
    m_byOrigin.erase(job.routed.origin);
    for (const auto &it : job.joinedOrigins)
        m_byOrigin.erase(it);
    pool(job.routed.pool).remove(now, id);
    for (const auto &it : job.tasks) {
        const auto attempt = m_attempts.find(it.attempt);
        if (attempt != m_attempts.end())
            m_upstreams.at(attempt->second.upstream).runs->stop(now, it.attempt);
    }
    removeIfFinished(now, id);
}

void GroupDispatcher::removeIfFinished(TimePoint now, JobId id)
{
    const auto it = m_jobs.find(id);
    if (!it->second.isEnded || it->second.openAttempts > 0)
        return;
    const auto successors = std::move(it->second.successors);
    m_byKey.erase(it->second.routed.submission.key);
    m_jobs.erase(it);
    for (const auto &job : successors)
        enqueue(now, job, false);
}

void GroupDispatcher::offer(TimePoint now, const Upstream &upstream, bool isLeaving)
{
    const auto &known = upstream.runs->announcement();
    auto offered = known.upstream;
    offered.leaving = isLeaving;
    offered.leaseDeadline = upstream.leaseDeadline;
    pool(known.pool).announce(now, offered);
}

void GroupDispatcher::renewLease(TimePoint now, Upstream &upstream)
{
    // Counted from the order, as its answer may have waited to be read, in a process that was paused for
    // example.
    const auto leaseDeadline = upstream.runs->confirmedAt() + m_options.upstreamLease;
    if (leaseDeadline - upstream.leaseDeadline < m_options.upstreamLease / leaseRenewalDivisor
        || !isRenewedByAnswers(upstream))
        return;
    upstream.leaseDeadline = leaseDeadline;
    offer(now, upstream, false);
}

bool GroupDispatcher::isSuperseded() const
{
    const auto n = std::count_if(m_upstreams.begin(), m_upstreams.end(),
                                 [](const auto &it) { return it.second.runs->isTakenOver(); });
    return 2 * static_cast<std::size_t>(n) > m_upstreams.size();
}

bool GroupDispatcher::isRenewedByAnswers(const Upstream &upstream) const
{
    const auto &known = upstream.runs->announcement();
    return !known.upstream.leaving && !known.hasLeft && !m_unguardedPools.contains(known.pool);
}

void GroupDispatcher::removeExpired(TimePoint now)
{
    // An upstream is no longer polled once no run can be left there; its next announcement adds it again.
    std::erase_if(m_upstreams, [&](const auto &it) {
        const auto &[name, upstream] = it;
        if (upstream.leaseDeadline > now || !upstream.runs->isIdle() || upstream.runs->isStartOrderOut(now))
            return false;
        if (!upstream.runs->announcement().upstream.leaving)
            m_actions.emplace_back(ExpiredUpstream{name});
        return true;
    });
}

void GroupDispatcher::updatePause(TimePoint now, Upstream &upstream)
{
    const bool isPaused = mustPause(now, upstream);
    if (isPaused == upstream.isPaused)
        return;
    upstream.isPaused = isPaused;
    const auto &known = upstream.runs->announcement();
    pool(known.pool).setPaused(now, known.upstream.name, isPaused);
}

bool GroupDispatcher::mustPause(TimePoint now, const Upstream &upstream) const
{
    if (!upstream.runs->isReady(now))
        return true;
    if (now >= m_warmUpEnd)
        return false;
    const auto usedFrom = m_warmUpBegin + (m_warmUpEnd - m_warmUpBegin) * upstream.warmUpPosition / thousand;
    return now < usedFrom;
}

bool GroupDispatcher::areStartsForbidden(TimePoint now) const
{
    return m_startDeadline && now >= *m_startDeadline;
}

void GroupDispatcher::endUnstartedJobs(TimePoint now)
{
    if (std::exchange(m_hasEndedUnstartedJobs, true))
        return;
    std::vector<JobId> ids;
    for (const auto &[id, job] : m_jobs) {
        const bool hasQueuedTask = std::any_of(job.tasks.begin(), job.tasks.end(),
                                               [](const auto &it) { return !it.isDone && it.attempt == 0; });
        if (!job.isEnded && hasQueuedTask)
            ids.push_back(id);
    }
    for (const auto id : ids)
        endEvacuatedJob(now, id);
}

void GroupDispatcher::endEvacuatedJob(TimePoint now, JobId id)
{
    if (m_jobs.at(id).hasStarted) {
        answerJob(now, id, Outcome::Failed, Reason::DomainEvacuated,
                  "dispatch: the failure domain was evacuated before all tasks had started");
        return;
    }
    refuseJob(now, id,
              {Reason::DomainEvacuated, "dispatch: the failure domain was evacuated before the job started",
               now + closedRetryDelay});
}

void GroupDispatcher::refuse(TimePoint now, const JobOrigin &origin, const Refusal &refusal)
{
    Answer answer;
    answer.outcome = Outcome::Refused;
    answer.reason = refusal.reason;
    answer.detail = refusal.detail;
    answer.retryAt = refusal.retryAt;
    reply(now, origin, std::move(answer));
}

void GroupDispatcher::retainAnswer(TimePoint now, const JobOrigin &origin, const Answer &answer)
{
    m_answers[origin] = answer;
    m_answerExpiries.push_back({now + m_options.answerRetention, origin});
}

void GroupDispatcher::reply(TimePoint now, const JobOrigin &origin, Answer answer)
{
    retainAnswer(now, origin, answer);
    m_actions.emplace_back(FinishedJob{origin, std::move(answer)});
}

} // namespace Citronpitch
