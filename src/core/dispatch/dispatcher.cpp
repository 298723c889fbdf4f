#include "citronpitch/dispatcher.h"

#include "core/dispatch/admission.h"
#include "core/dispatch/dispatcherstate.h"

#include <algorithm>

namespace Citronpitch {

namespace {

/// When to come back to an entry VM that does not know the upstreams yet.
constexpr Duration upstreamsUnknownRetry = std::chrono::seconds(1);

/// Quotas of @p teams as far as one of @p entryVms entry VMs keeps to them.
std::vector<TeamDeclaration> quotaParts(std::vector<TeamDeclaration> teams, std::uint32_t entryVms)
{
    for (auto &it : teams)
        it.quotaTasks = (it.quotaTasks + entryVms - 1) / entryVms;
    return teams;
}

/// First need among @p tasks that no upstream can ever meet, as a position in the list.
std::optional<std::size_t> firstUnfit(const UpstreamTable &upstreams, const std::vector<TaskSpec> &tasks)
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
    for (const auto of : changed)
        m_state->queue.reorder(of);
    if (!m_state->isBaseline())
        m_state->queue.setQuotas(quotaParts(configuration.teams, m_state->options.entryVms));
}

void Dispatcher::setShare(TimePoint now, std::uint32_t part, std::uint32_t parts)
{
    if (m_state->share.setParts(part, parts))
        m_state->refreshAll(now);
}

void Dispatcher::announce(TimePoint now, const UpstreamAnnouncement &announcement)
{
    const auto [upstream, effect] = m_state->upstreams.announce(announcement);
    if (effect == AnnouncementEffect::Ignored)
        return;
    if (effect == AnnouncementEffect::Added) {
        m_state->health.add(upstream);
        m_state->loans.forgetUpstream(upstream);
        ++m_state->upstreamSet;
    }
    auto &entry = m_state->upstreams.at(upstream);
    entry.own = m_state->ownCapacity(upstream);
    m_state->wakeups.emplace(entry.announcement.leaseDeadline, upstream);
    m_state->refresh(now, upstream);
}

void Dispatcher::setPaused(TimePoint now, const std::string &upstream, bool isPaused)
{
    const auto index = m_state->upstreams.find(upstream);
    if (!index)
        return;
    m_state->upstreams.at(*index).isPaused = isPaused;
    m_state->refresh(now, *index);
}

std::optional<Refusal> Dispatcher::refusal(TimePoint now, const Submission &submission) const
{
    const auto *declared = m_state->configuration.findClass(submission.className);
    if (declared == nullptr)
        return Refusal{Reason::UnknownClass, "no class named " + submission.className + " is declared", {}};
    if (declared->retired)
        return Refusal{Reason::RetiredClass, "class " + submission.className + " is retired", {}};
    const auto &configuration = m_state->configuration;
    if (!configuration.teams.empty() && configuration.findTeam(submission.team) == nullptr)
        return Refusal{Reason::UnknownTeam, "no team named " + submission.team + " is declared", {}};
    if (submission.deadline <= now)
        return Refusal{Reason::DeadlinePassed, "the deadline had passed when the job arrived", {}};
    return m_state->isBaseline() ? std::nullopt : m_state->refuseLoad(now, submission);
}

std::optional<Refusal> Dispatcher::State::refuseLoad(TimePoint now, const Submission &submission) const
{
    if (upstreams.byName().empty()) {
        const auto retryAt = spreadReturn(now + upstreamsUnknownRetry, upstreamsUnknownRetry, submission);
        return Refusal{Reason::Overloaded, "admission: no upstream has announced itself here yet", retryAt};
    }
    if (const auto unfit = firstUnfit(upstreams, submission.tasks)) {
        const auto text = "admission: task " + std::to_string(*unfit) + " needs "
            + needText(submission.tasks[*unfit].need) + ", and no upstream here offers that";
        return Refusal{Reason::NeverFits, text, {}};
    }
    const auto of = classes.find(submission.className).value_or(0);
    AdmissionLoad load;
    load.latestEnd = usefulUntil({of, {}, now, submission.deadline, aloneTime(of, submission)});
    const auto alone = aloneTime(of, submission);
    if (times.isLearned(of)) {
        load.alone = alone;
        load.workAhead = queue.workBefore(dueTime({of, {}, now, submission.deadline, alone}));
    }
    load.parallel = parallel;
    load.queuedOfClass = queue.queuedOfClass(of);
    load.queuedOfTeam = queue.queuedOfTeam(submission.team);
    load.queued = queue.size();
    load.isTeamOverQuota = queue.isOverQuota(submission.team);
    return refuseOverload(now, submission, load);
}

void Dispatcher::add(TimePoint now, JobId job, const Submission &submission)
{
    m_state->noteNeeds(now, submission);
    const auto of = m_state->classes.numberOf(submission.className);
    const auto alone = m_state->aloneTime(of, submission);
    m_state->classes.at(of).usualPatience = submission.deadline - now;
    JobTrace trace;
    trace.tasks = static_cast<std::uint32_t>(submission.tasks.size());
    for (const auto &it : submission.tasks)
        trace.declared.push_back(it.declaredTime);
    m_state->jobs.insert_or_assign(job, std::move(trace));
    QueuedJob queued{of, submission.team, now, submission.deadline, alone};
    queued.usefulUntil = m_state->usefulUntil(queued);
    m_state->queue.addJob(job, queued);
    for (auto i = static_cast<std::uint32_t>(submission.tasks.size()); i > 0; --i)
        requeue(now, job, submission, i - 1);
}

void Dispatcher::requeue(TimePoint, JobId job, const Submission &submission, std::uint32_t task)
{
    const auto *queued = m_state->queue.findOpenJob(job);
    if (queued == nullptr)
        return;
    const auto &spec = submission.tasks[task];
    m_state->queue.addTask(job, {task, spec.need, m_state->times.expected(queued->of, spec.declaredTime)});
}

bool Dispatcher::takeRetry()
{
    return m_state->isBaseline() || m_state->retries.take();
}

void Dispatcher::remove(TimePoint now, JobId job)
{
    const auto trace = m_state->jobs.find(job);
    if (trace == m_state->jobs.end())
        return;
    for (const auto it : trace->second.open)
        m_state->attempts.abandon(it);
    if (const auto *queued = m_state->queue.findOpenJob(job)) {
        auto &entry = m_state->classes.at(queued->of);
        const bool isComplete = trace->second.succeeded == trace->second.tasks;
        const bool isLate = now - queued->arrival > entry.declaration.targetTime;
        if (entry.hasTarget() && (isComplete || isLate))
            entry.burn.note(now, isComplete && !isLate);
    }
    m_state->queue.removeJob(job);
    m_state->jobs.erase(trace);
}

std::vector<Placement> Dispatcher::place(TimePoint now)
{
    m_state->passTime(now);
    std::vector<Placement> placements;
    m_state->unmetNeed.reset();
    if (m_state->queue.size() == 0)
        return placements;
    m_state->updateAdvances(now);
    m_state->queue.beginRound();
    while (true) {
        const auto head = m_state->queue.next(now);
        if (!head)
            break;
        if (m_state->isHopeless(now, *head)) {
            m_state->queue.dropTasks(head->job);
            m_state->givenUp.push_back(head->job);
            continue;
        }
        if (m_state->freeUpstreams == 0) {
            m_state->unmetNeed = m_state->unmetNeed.value_or(head->need);
            break;
        }
        if (auto placement = m_state->startFrom(now, *head))
            placements.push_back(std::move(*placement));
        else {
            m_state->unmetNeed = m_state->unmetNeed.value_or(head->need);
            m_state->queue.hold(head->lane);
        }
    }
    return placements;
}

std::vector<JobId> Dispatcher::takeGivenUp()
{
    return std::exchange(m_state->givenUp, {});
}

void Dispatcher::setNeighbours(const std::vector<std::string> &vms)
{
    m_state->loans.setNeighbours(m_state->isBaseline() ? std::vector<std::string>() : vms);
}

std::vector<AddressedCapacityRequest> Dispatcher::capacityRequests(TimePoint now)
{
    const auto inUse = [this](UpstreamIndex upstream) { return m_state->borrowedInUse(upstream); };
    const auto &need = m_state->unmetNeed;
    std::vector<AddressedCapacityRequest> requests;
    for (const auto &it : m_state->loans.dueRequests(now, need.has_value(), inUse)) {
        CapacityRequest request{it.leaseDeadline, it.seenGrant, 0, {}, m_state->loansTo(it.held)};
        if (it.isAsking) {
            request.tasks = std::min(m_state->queue.size(), static_cast<std::uint32_t>(maximumTasksPerJob));
            request.need = need.value_or(Resources());
        }
        requests.push_back({it.vm, std::move(request)});
    }
    if (!requests.empty())
        m_state->refreshAll(now);
    return requests;
}

std::optional<CapacityGrant> Dispatcher::lend(TimePoint now, const std::string &vm, std::uint64_t incarnation,
                                              const CapacityRequest &request)
{
    auto &loans = m_state->loans;
    if (!loans.renew(now, vm, incarnation, request.seenGrant, m_state->loansFrom(request.held)))
        return std::nullopt;
    m_state->refreshAll(now);
    if (request.tasks > 0) {
        loans.recall(vm);
        m_state->releaseRecalled(now);
    }
    const bool isIdle = m_state->queue.size() == 0;
    if (isIdle && request.tasks > 0)
        m_state->lendIdle(vm, request.tasks, request.need);
    m_state->refreshAll(now);
    const auto number = loans.nextGrant(vm);
    return CapacityGrant{number, request.leaseDeadline, !isIdle, m_state->loansTo(loans.lentTo(vm))};
}

void Dispatcher::borrow(TimePoint now, const std::string &vm, std::uint64_t incarnation,
                        const CapacityGrant &grant)
{
    if (m_state->loans.borrow(now, vm, incarnation, grant, m_state->loansFrom(grant.lent)))
        m_state->refreshAll(now);
    m_state->releaseRecalled(now);
}

void Dispatcher::finish(TimePoint now, AttemptId attempt, const AttemptResult &result)
{
    const auto ended = m_state->attempts.remove(attempt);
    if (!ended)
        return;
    m_state->queue.ended(ended->team);
    const auto job = m_state->jobs.find(ended->job);
    if (job != m_state->jobs.end())
        std::erase(job->second.open, attempt);
    const bool mayGoOn = ended->isAbandoned && result.end == AttemptEnd::Broken;
    const auto goesOnUntil = m_state->expectedEnd(now, *ended);
    if (mayGoOn && goesOnUntil > now) {
        m_state->lingering.emplace(goesOnUntil, *ended);
        return;
    }
    m_state->release(now, *ended);
    if (m_state->upstreams.at(ended->upstream).announcement.incarnation != ended->incarnation)
        return;
    m_state->learn(now, *ended, result);
    m_state->releaseRecalled(now);
    m_state->refresh(now, ended->upstream);
}

std::vector<UpstreamStatus> Dispatcher::upstreams() const
{
    std::vector<UpstreamStatus> list;
    for (const auto &[name, upstream] : m_state->upstreams.byName()) {
        const auto &entry = m_state->upstreams.at(upstream);
        const auto state = nameIn(upstreamStateNames, m_state->health.state(upstream));
        list.push_back({entry.announcement, entry.own.slots, entry.busy, std::string(state)});
    }
    return list;
}

std::vector<ClassStatus> Dispatcher::classes(TimePoint now) const
{
    std::vector<ClassStatus> list;
    for (ClassIndex of = 0; of < m_state->classes.size(); ++of) {
        const auto &entry = m_state->classes.at(of);
        if (entry.isDeclared)
            list.push_back({entry.declaration.name, entry.burn.burn(now, entry.declaration),
                            m_state->queue.queuedOfClass(of)});
    }
    return list;
}

std::uint32_t Dispatcher::freeSlots(TimePoint now) const
{
    std::uint32_t n = 0;
    for (const auto &[name, upstream] : m_state->upstreams.byName()) {
        const auto &entry = m_state->upstreams.at(upstream);
        if (entry.isFree && entry.announcement.leaseDeadline > now)
            n += entry.parallel - std::min(entry.parallel, entry.busy);
    }
    return n;
}

std::uint32_t Dispatcher::parallelTasks() const
{
    return m_state->parallel;
}

std::vector<SufficientPlaces> Dispatcher::sufficientTasks(TimePoint now) const
{
    std::vector<SufficientPlaces> list;
    for (ClassIndex of = 0; of < m_state->classes.size(); ++of) {
        const auto &entry = m_state->classes.at(of);
        if (entry.isDeclared && m_state->times.isLearned(of))
            list.push_back({entry.declaration.name, m_state->sufficientPlaces(now, of)});
    }
    return list;
}

Duration Dispatcher::waitingWork() const
{
    return m_state->queue.workBefore(TimePoint::max());
}

std::uint32_t Dispatcher::queuedTasks() const
{
    return m_state->queue.size();
}

} // namespace Citronpitch
