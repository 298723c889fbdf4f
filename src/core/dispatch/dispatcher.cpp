#include "citronpitch/dispatcher.h"

#include "core/dispatch/admission.h"
#include "core/dispatch/dispatcherstate.h"

#include <algorithm>
#include <utility>

namespace Citronpitch {

namespace {

/// Minimum retry delay of jobs that are refused before any upstream has announced itself.
constexpr Duration noUpstreamsRetryDelay = std::chrono::seconds(1);
constexpr Duration outdatedConfigurationRetryDelay = std::chrono::seconds(1);

/// Minimum retry delay of jobs that fit no upstream since capacities have shrunk.
constexpr Duration shrunkCapacityRetryDelay = std::chrono::seconds(1);

/// Minimum retry delay of jobs whose constraints no upstream in service meets.
constexpr Duration unsuitableRetryDelay = std::chrono::seconds(1);

/// Returns @p teams with the quotas that one of @p entryVms entry VMs enforces, rounded up.
std::vector<TeamDeclaration> quotasPerEntryVm(std::vector<TeamDeclaration> teams, std::uint32_t entryVms)
{
    for (auto &it : teams)
        it.quotaTasks = (it.quotaTasks + entryVms - 1) / entryVms;
    return teams;
}

/// Returns the position of the first of @p tasks that fits no upstream, even an idle one.
std::optional<std::size_t> firstUnsatisfiableTask(const UpstreamTable &upstreams,
                                                  const std::vector<TaskSpec> &tasks)
{
    for (std::size_t i = 0; i < tasks.size(); ++i) {
        const bool isAsBefore = i > 0 && tasks[i].need == tasks[i - 1].need;
        if (!isAsBefore && !upstreams.canEverRun(tasks[i].need))
            return i;
    }
    return std::nullopt;
}

std::string needText(const Resources &need)
{
    return std::to_string(need.millicores) + " millicores, " + std::to_string(need.memoryBytes)
        + " bytes of memory and " + std::to_string(need.accelerators) + " accelerators";
}

} // namespace

Dispatcher::Dispatcher(const DispatcherOptions &options)
    : m_state(std::make_unique<State>(options))
{
}

Dispatcher::~Dispatcher() = default;
Dispatcher::Dispatcher(Dispatcher &&other) noexcept = default;
Dispatcher &Dispatcher::operator=(Dispatcher &&other) noexcept = default;

void Dispatcher::setConfiguration(const Configuration &configuration)
{
    m_state->configuration = configuration;
    const auto changed = m_state->classes.setDeclarations(configuration.classes);
    // The upstreams are updated with the next announcement.
    m_state->updateContentionRules();
    for (const auto classIndex : changed)
        m_state->queue.reorder(classIndex);
    for (const auto classIndex : changed)
        m_state->classShares.setPriority(classIndex, m_state->classes.at(classIndex).declaration.priority);
    if (!m_state->isBaseline())
        m_state->queue.setQuotas(quotasPerEntryVm(configuration.teams, m_state->options.entryVms));
}

void Dispatcher::setConfigurationCurrent(bool isCurrent)
{
    m_state->isConfigurationCurrent = isCurrent;
}

void Dispatcher::setShare(TimePoint now, std::uint32_t shareIndex, std::uint32_t shareCount)
{
    if (m_state->share.setShare(shareIndex, shareCount))
        m_state->updateAllUpstreams(now);
}

void Dispatcher::announce(TimePoint now, const UpstreamAnnouncement &announcement)
{
    const auto [upstream, effect] = m_state->upstreams.announce(announcement);
    if (effect == AnnouncementEffect::Ignored)
        return;
    if (effect == AnnouncementEffect::Added) {
        m_state->health.add(upstream);
        m_state->loans.removeUpstream(upstream);
        ++m_state->upstreamSetVersion;
        if (m_state->updateContentionRules())
            m_state->updateAllUpstreams(now);
    }
    auto &entry = m_state->upstreams.at(upstream);
    entry.usable = m_state->usableCapacity(upstream);
    m_state->wakeups.emplace(entry.announcement.leaseDeadline, upstream);
    m_state->updateUpstream(now, upstream);
}

void Dispatcher::setPaused(TimePoint now, const std::string &upstream, bool isPaused)
{
    const auto index = m_state->upstreams.find(upstream);
    if (!index)
        return;
    m_state->upstreams.at(*index).isPaused = isPaused;
    m_state->updateUpstream(now, *index);
}

std::optional<Refusal> Dispatcher::refusal(TimePoint now, const Submission &submission) const
{
    if (!submission.constraints.requiredLabel.empty())
        m_state->recordLabel(now, submission.constraints.requiredLabel);
    const auto &configuration = m_state->configuration;
    const auto undeclared = [&](Reason reason, const std::string &detail) {
        if (m_state->isConfigurationCurrent)
            return Refusal{reason, detail, {}};
        const auto retryAt = jitteredRetryTime(now + outdatedConfigurationRetryDelay,
                                               outdatedConfigurationRetryDelay, submission);
        return Refusal{Reason::ConfigurationOutdated,
                       detail + ", but this VM may have missed a change of the configuration", retryAt};
    };
    const auto *declared = configuration.findClass(submission.className);
    if (declared == nullptr)
        return undeclared(Reason::UnknownClass, "no class named " + submission.className + " is declared");
    if (declared->retired)
        return undeclared(Reason::RetiredClass, "class " + submission.className + " is retired");
    if (!configuration.teams.empty() && configuration.findTeam(submission.team) == nullptr)
        return undeclared(Reason::UnknownTeam, "no team named " + submission.team + " is declared");
    if (submission.deadline <= now)
        return Refusal{Reason::DeadlinePassed, "the deadline had passed when the job arrived", {}};
    return m_state->isBaseline() ? std::nullopt : m_state->refusalForLoad(now, submission);
}

std::optional<Refusal> Dispatcher::State::refusalForLoad(TimePoint now, const Submission &submission)
{
    if (upstreams.byName().empty()) {
        const auto retryAt =
            jitteredRetryTime(now + noUpstreamsRetryDelay, noUpstreamsRetryDelay, submission);
        return Refusal{Reason::Overloaded, "admission: no upstream has announced itself here yet", retryAt};
    }
    if (const auto unfit = firstUnsatisfiableTask(upstreams, submission.tasks)) {
        const auto &need = submission.tasks[*unfit].need;
        auto text = "admission: task " + std::to_string(*unfit) + " needs " + needText(need)
            + ", and no upstream here offers that";
        if (!upstreams.couldRunBefore(need))
            return Refusal{Reason::NeverFits, std::move(text), {}};
        // A capacity that has shrunk may grow again.
        const auto retryAt =
            jitteredRetryTime(now + shrunkCapacityRetryDelay, shrunkCapacityRetryDelay, submission);
        return Refusal{Reason::Overloaded, text + " at present", retryAt};
    }
    const auto classIndex = classes.find(submission.className).value_or(0);
    const auto job = queuedJobOf(now, classIndex, submission);
    if (auto refusal = refusalForConstraints(now, submission, job))
        return refusal;
    AdmissionLoad load;
    if (job.isProtected) {
        classShares.offered(now, classIndex, job.work);
        auto lateness = expectedLateness(now, job, submission.tasks.size());
        if (!job.constraints.requiredLabel.empty())
            lateness.time = std::max(lateness.time,
                                     labelledLateness(now, job, submission.tasks.size(),
                                                      parallelTasksFor(submission.constraints)));
        load.lateness = lateness.time;
        if (lateness.time > Duration())
            ++(lateness.isOfAccepted ? admission.refusedForAccepted : admission.refusedForTarget);
    } else if (serviceTimes.isLearned(classIndex)) {
        load.unloadedTime = job.unloadedTime;
        load.latestEnd = latestExpectedEnd(job);
        load.workAhead = competingWork(dueTime(job));
    }
    load.parallelTasks = std::max(parallelTasks, 1U);
    if (!job.constraints.requiredLabel.empty() && serviceTimes.isLearned(classIndex) && !job.isProtected) {
        const auto parallel = std::max(parallelTasksFor(submission.constraints), 1U);
        const auto ahead = queue.labelledWorkDueBefore(job.constraints.requiredLabel, dueTime(job));
        if (ahead / parallel > load.workAhead / load.parallelTasks) {
            load.workAhead = ahead;
            load.parallelTasks = parallel;
        }
    }
    load.queuedOfClass = queue.queuedOfClass(classIndex);
    load.queuedOfTeam = queue.queuedOfTeam(submission.team);
    load.queued = queue.size();
    load.isTeamOverQuota = queue.hasTeamReachedQuota(submission.team);
    auto refusal = checkAdmission(now, submission, load);
    if (refusal && load.lateness > Duration()) {
        const auto share =
            Duration(static_cast<std::int64_t>(static_cast<double>(job.work.count()) / usableSlots()));
        refusal->retryAt = retrySchedule.next(now, load.lateness, share);
    }
    return refusal;
}

std::optional<Refusal> Dispatcher::State::refusalForConstraints(TimePoint now, const Submission &submission,
                                                                const QueuedJob &job) const
{
    const auto &label = submission.constraints.requiredLabel;
    const auto retryAt = jitteredRetryTime(now + unsuitableRetryDelay, unsuitableRetryDelay, submission);
    for (std::size_t i = 0; i < submission.tasks.size() && !label.empty(); ++i) {
        const auto &need = submission.tasks[i].need;
        const bool isAsBefore = i > 0 && need == submission.tasks[i - 1].need;
        if (isAsBefore || upstreams.canRun(now, need, label))
            continue;
        return Refusal{Reason::NoSuitableUpstream,
                       "admission: task " + std::to_string(i) + " requires label \"" + label + "\" and "
                           + needText(need) + ", and no upstream in service here offers that",
                       retryAt};
    }
    // Without other work the job would already be late.
    const bool isLate = submission.constraints.maximumPerUpstream > 0
        && serviceTimes.isLearned(job.classIndex) && isOutOfReach(now, job.unloadedTime, submission.deadline);
    if (!isLate)
        return std::nullopt;
    return Refusal{
        Reason::DeadlineOutOfReach,
        "admission: at most " + std::to_string(submission.constraints.maximumPerUpstream)
            + " tasks per upstream, and the upstreams here need "
            + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(job.unloadedTime).count())
            + " ms for the job",
        retryAt};
}

void Dispatcher::add(TimePoint now, JobId job, const Submission &submission,
                     const std::function<bool(std::uint32_t task)> &isQueued)
{
    m_state->recordNeeds(now, submission);
    const auto classIndex = m_state->classes.findOrAdd(submission.className);
    m_state->classes.at(classIndex).lastTimeToDeadline = submission.deadline - now;
    JobPlacementState placement;
    placement.tasks = static_cast<std::uint32_t>(submission.tasks.size());
    for (const auto &it : submission.tasks)
        placement.declaredTimes.push_back(it.declaredTime);
    placement.constraints = submission.constraints;
    m_state->jobs.insert_or_assign(job, std::move(placement));
    const auto queued = m_state->queuedJobOf(now, classIndex, submission);
    if (queued.isProtected) {
        m_state->classShares.accepted(now, classIndex, queued.work);
        ++m_state->admission.accepted;
        m_state->admission.acceptedUnderContention += m_state->contention.isInEffect() ? 1 : 0;
    }
    m_state->queue.addJob(job, queued);
    for (auto i = static_cast<std::uint32_t>(submission.tasks.size()); i > 0; --i) {
        if (!isQueued || isQueued(i - 1))
            requeue(now, job, submission, i - 1);
    }
}

void Dispatcher::requeue(TimePoint, JobId job, const Submission &submission, std::uint32_t task)
{
    const auto *queued = m_state->queue.findJob(job);
    if (queued == nullptr)
        return;
    const auto &spec = submission.tasks[task];
    m_state->queue.addTask(
        job, {task, spec.need, m_state->serviceTimes.expected(queued->classIndex, spec.declaredTime)});
}

bool Dispatcher::takeRetry()
{
    return m_state->isBaseline() || m_state->retryBudget.take();
}

void Dispatcher::remove(TimePoint now, JobId job)
{
    const auto placement = m_state->jobs.find(job);
    if (placement == m_state->jobs.end())
        return;
    for (const auto it : placement->second.openAttempts)
        m_state->attempts.abandon(it);
    if (const auto *queued = m_state->queue.findJob(job)) {
        auto &entry = m_state->classes.at(queued->classIndex);
        const bool isComplete = placement->second.succeeded == placement->second.tasks;
        const bool isLate = now - queued->arrival > entry.declaration.targetTime;
        if (entry.hasTarget() && (isComplete || isLate))
            entry.burnRate.record(now, isComplete && !isLate);
    }
    m_state->queue.removeJob(job);
    m_state->jobs.erase(placement);
}

std::vector<Placement> Dispatcher::place(TimePoint now)
{
    m_state->processTimers(now);
    std::vector<Placement> placements;
    m_state->unmetNeed.reset();
    if (std::exchange(m_state->hasCapacityFallen, false) && !m_state->queue.protectedWork().buckets().empty())
        m_state->shedUnreachable(now);
    if (m_state->queue.size() == 0) {
        m_state->updateContention(now);
        return placements;
    }
    m_state->updateBoosts(now);
    m_state->queue.beginRound();
    m_state->placer.releaseReserved();
    while (true) {
        const auto head = m_state->queue.next(now);
        if (!head)
            break;
        if (head->isLate && !m_state->queue.findJob(head->job)->isProtected) {
            m_state->queue.demote(*head);
            continue;
        }
        if (m_state->isInfeasible(now, *head)) {
            if (m_state->queue.findJob(head->job)->isProtected)
                ++m_state->admission.shedForTarget;
            m_state->shed(head->job);
            continue;
        }
        if (head->isLate) {
            m_state->queue.demote(*head);
            continue;
        }
        const auto &label = head->subqueue.requiredLabel;
        if (!label.empty() && m_state->jobs.at(head->job).startsPerRack.empty()
            && !m_state->upstreams.canRun(now, head->need, label)) {
            m_state->queue.dropTasks(head->job);
            m_state->unsuitableJobs.push_back(head->job);
            continue;
        }
        if (m_state->freeUpstreams == 0) {
            m_state->unmetNeed = m_state->unmetNeed.value_or(head->need);
            break;
        }
        if (auto placement = m_state->tryStart(now, *head))
            placements.push_back(std::move(*placement));
        else {
            // A task that waits for some of the upstreams says nothing about the others.
            if (m_state->queue.findJob(head->job)->constraints.isEmpty())
                m_state->unmetNeed = m_state->unmetNeed.value_or(head->need);
            m_state->skip(*head);
        }
    }
    m_state->updateContention(now);
    return placements;
}

std::vector<JobId> Dispatcher::takeShedJobs()
{
    return std::exchange(m_state->shedJobs, {});
}

std::vector<JobId> Dispatcher::takeUnsuitableJobs()
{
    return std::exchange(m_state->unsuitableJobs, {});
}

void Dispatcher::setPeers(const std::vector<std::string> &vms)
{
    m_state->loans.setPeers(m_state->isBaseline() ? std::vector<std::string>() : vms);
}

std::vector<OutgoingCapacityRequest> Dispatcher::capacityRequests(TimePoint now)
{
    const auto inUse = [this](UpstreamIndex upstream) { return m_state->borrowedInUse(upstream); };
    const auto &need = m_state->unmetNeed;
    std::vector<OutgoingCapacityRequest> requests;
    for (const auto &it : m_state->loans.dueRequests(now, need.has_value(), inUse)) {
        CapacityRequest request{it.leaseDeadline, it.seenGrant, 0, {}, m_state->toLoanedCapacities(it.held)};
        if (it.isRequesting) {
            request.tasks = std::min(m_state->queue.size(), static_cast<std::uint32_t>(maximumTasksPerJob));
            request.need = need.value_or(Resources());
        }
        requests.push_back({it.vm, std::move(request)});
    }
    if (!requests.empty())
        m_state->updateAllUpstreams(now);
    return requests;
}

std::optional<CapacityGrant> Dispatcher::lend(TimePoint now, const std::string &vm, std::uint64_t incarnation,
                                              const CapacityRequest &request)
{
    auto &loans = m_state->loans;
    if (!loans.renew(now, vm, incarnation, request.seenGrant, m_state->toUpstreamCapacities(request.held)))
        return std::nullopt;
    m_state->updateAllUpstreams(now);
    if (request.tasks > 0) {
        loans.recall(vm);
        m_state->releaseRecalled(now);
    }
    const bool isIdle = m_state->queue.size() == 0;
    if (isIdle && request.tasks > 0)
        m_state->lendIdle(vm, request.tasks, request.need);
    m_state->updateAllUpstreams(now);
    const auto number = loans.nextGrant(vm);
    return CapacityGrant{number, request.leaseDeadline, !isIdle,
                         m_state->toLoanedCapacities(loans.lentTo(vm))};
}

void Dispatcher::borrow(TimePoint now, const std::string &vm, std::uint64_t incarnation,
                        const CapacityGrant &grant)
{
    if (m_state->loans.borrow(now, vm, incarnation, grant, m_state->toUpstreamCapacities(grant.lent)))
        m_state->updateAllUpstreams(now);
    m_state->releaseRecalled(now);
}

void Dispatcher::finish(TimePoint now, AttemptId attempt, const AttemptResult &result)
{
    const auto ended = m_state->attempts.remove(attempt);
    if (!ended)
        return;
    m_state->queue.taskEnded(ended->team);
    const auto job = m_state->jobs.find(ended->job);
    if (job != m_state->jobs.end()) {
        std::erase(job->second.openAttempts, attempt);
        auto &onUpstream = job->second.attemptsPerUpstream;
        if (const auto n = onUpstream.find(ended->upstream); n != onUpstream.end() && --n->second == 0)
            onUpstream.erase(n);
    }
    const bool mayStillRun = ended->isAbandoned && result.outcome == AttemptOutcome::Broken;
    const auto slotFreeAt = m_state->expectedEnd(now, *ended);
    if (mayStillRun && slotFreeAt > now) {
        m_state->abandonedAttempts.emplace(slotFreeAt, *ended);
        return;
    }
    m_state->release(now, *ended);
    if (m_state->upstreams.at(ended->upstream).announcement.incarnation != ended->incarnation)
        return;
    m_state->learn(now, *ended, result);
    m_state->releaseRecalled(now);
    m_state->updateUpstream(now, ended->upstream);
}

std::vector<UpstreamStatus> Dispatcher::upstreams() const
{
    std::vector<UpstreamStatus> list;
    for (const auto &[name, upstream] : m_state->upstreams.byName()) {
        const auto &entry = m_state->upstreams.at(upstream);
        const auto state = enumName(upstreamStateNames, m_state->health.state(upstream));
        list.push_back({entry.announcement, entry.usable.slots, entry.inFlight, std::string(state)});
    }
    return list;
}

std::vector<ClassStatus> Dispatcher::classes(TimePoint now) const
{
    std::vector<ClassStatus> list;
    for (ClassIndex classIndex = 0; classIndex < m_state->classes.size(); ++classIndex) {
        const auto &entry = m_state->classes.at(classIndex);
        if (entry.isDeclared)
            list.push_back({entry.declaration.name, entry.burnRate.rate(now, entry.declaration),
                            m_state->queue.queuedOfClass(classIndex)});
    }
    return list;
}

std::uint32_t Dispatcher::freeSlots(TimePoint now) const
{
    std::uint32_t n = 0;
    for (const auto &[name, upstream] : m_state->upstreams.byName()) {
        const auto &entry = m_state->upstreams.at(upstream);
        if (entry.isFree && entry.announcement.leaseDeadline > now)
            n += m_state->freeTasksOf(entry);
    }
    return n;
}

std::uint32_t Dispatcher::parallelTasks() const
{
    return m_state->parallelTasks;
}

std::vector<ClassHeadroom> Dispatcher::classHeadroom(TimePoint now) const
{
    std::vector<ClassHeadroom> list;
    for (ClassIndex classIndex = 0; classIndex < m_state->classes.size(); ++classIndex) {
        const auto &entry = m_state->classes.at(classIndex);
        if (!entry.isDeclared || !m_state->serviceTimes.isLearned(classIndex))
            continue;
        ClassHeadroom headroom{entry.declaration.name, m_state->headroomOf(now, classIndex), {}, {}};
        const auto unloadedTime = m_state->serviceTimes.expected(classIndex, {});
        const QueuedJob typical{classIndex, {}, now, now + entry.lastTimeToDeadline, unloadedTime};
        headroom.expectedWait =
            m_state->competingWork(m_state->dueTime(typical)) / std::max(m_state->parallelTasks, 1U);
        if (entry.declaration.targetStretch > 0)
            headroom.longestWait = m_state->latestExpectedEnd(typical) - unloadedTime - now;
        list.push_back(std::move(headroom));
    }
    return list;
}

std::vector<LabelHeadroom> Dispatcher::labelHeadroom(TimePoint now) const
{
    std::vector<LabelHeadroom> list;
    for (const auto &[label, until] : m_state->recentLabels) {
        if (until <= now)
            continue;
        LabelHeadroom headroom;
        headroom.label = label;
        for (const auto &[name, upstream] : m_state->upstreams.byName()) {
            const auto &entry = m_state->upstreams.at(upstream);
            if (!entry.hasLabel(label) || !entry.isInService(now))
                continue;
            headroom.freeTasks += entry.isFree ? m_state->freeTasksOf(entry) : 0;
            headroom.parallelTasks += entry.parallelTasks;
            ++headroom.upstreams;
        }
        headroom.waitingWork = m_state->queue.labelledWorkDueBefore(label, TimePoint::max());
        list.push_back(std::move(headroom));
    }
    return list;
}

std::uint32_t Dispatcher::servingUpstreams() const
{
    std::uint32_t n = 0;
    m_state->forEachServing({}, [&](const auto &) { ++n; });
    return n;
}

AdmissionStatus Dispatcher::admissionStatus() const
{
    auto status = m_state->admission;
    status.isContended = m_state->contention.isInEffect();
    return status;
}

Duration Dispatcher::waitingWork() const
{
    return m_state->competingWork(TimePoint::max());
}

std::uint32_t Dispatcher::queuedTasks() const
{
    return m_state->queue.size();
}

} // namespace Citronpitch
