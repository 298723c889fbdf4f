#include "citronpitch/groupdispatcher.h"

#include <algorithm>
#include <utility>

namespace Citronpitch {

namespace {

constexpr int statusDone = 200;
constexpr int statusFailed = 500;
constexpr int statusDeclined = 503;

/// When a caller may come back to a group that is being given to another holder.
constexpr Duration closedReturn = std::chrono::seconds(1);

/// What the end of a run says to the Dispatcher that placed it.
AttemptResult resultOf(const FinishedRun &run, bool isJobEnded)
{
    switch (run.outcome) {
    case RunOutcome::Done:
        return {AttemptEnd::Answered, statusDone, {}};
    case RunOutcome::Failed:
        return {AttemptEnd::Answered, statusFailed, {}};
    case RunOutcome::NotSent:
        return {AttemptEnd::NotSent, 0, {}};
    case RunOutcome::Declined:
        // A run number that is too low says nothing of the upstream.
        if (run.verdict == OrderVerdict::StaleRun)
            return {AttemptEnd::Stopped, 0, {}};
        return {AttemptEnd::Declined, statusDeclined, {}};
    case RunOutcome::Lost:
        return {isJobEnded ? AttemptEnd::Stopped : AttemptEnd::Broken, 0, {}};
    case RunOutcome::Stopped:
    case RunOutcome::TakenOver:
        break;
    }
    return {AttemptEnd::Stopped, 0, {}};
}

} // namespace

GroupDispatcher::GroupDispatcher(GroupDispatcherOptions options)
    : m_options(std::move(options))
{
}

GroupDispatcher::~GroupDispatcher() = default;

void GroupDispatcher::setClasses(const std::vector<ClassDeclaration> &classes)
{
    m_classes = classes;
    for (auto &[name, it] : m_pools)
        it.setConfiguration({0, m_classes, {}, {}, {}});
}

void GroupDispatcher::announce(TimePoint now, const FleetAnnouncement &announcement)
{
    const auto &name = announcement.upstream.name;
    auto &it = m_upstreams[name];
    if (!it.runs) {
        if (announcement.isGone) {
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
    } else {
        it.runs->announced(now, announcement);
    }
    it.leaseDeadline = announcement.upstream.leaseDeadline;
    if (announcement.isGone)
        it.runs->left();
    auto offered = it.runs->announcement().upstream;
    offered.leaving = announcement.upstream.leaving || announcement.isGone;
    offered.leaseDeadline = it.leaseDeadline;
    auto &dispatcher = pool(announcement.pool);
    dispatcher.announce(now, offered);
    it.isPaused = !it.runs->isReady();
    dispatcher.setPaused(now, name, it.isPaused);
    settle(now);
}

void GroupDispatcher::submit(TimePoint now, const HeldJob &job)
{
    // A job that was answered must not start again because its message came twice.
    if (const auto it = m_answers.find(job.owner); it != m_answers.end()) {
        m_actions.emplace_back(FinishedJob{job.owner, it->second});
        return;
    }
    const auto byKey = m_byKey.find(job.submission.key);
    if (byKey == m_byKey.end()) {
        add(now, job);
        settle(now);
        return;
    }
    auto &known = m_jobs.at(byKey->second);
    if (known.isEnded) {
        known.successor = std::make_unique<HeldJob>(job);
        return;
    }
    if (known.held.owner == job.owner)
        return;
    m_byOwner.erase(known.held.owner);
    known.held.owner = job.owner;
    m_byOwner[job.owner] = byKey->second;
}

void GroupDispatcher::cancel(TimePoint now, const JobOwner &owner)
{
    if (const auto it = m_answers.find(owner); it != m_answers.end()) {
        m_actions.emplace_back(FinishedJob{owner, it->second});
        return;
    }
    Answer cancelled;
    cancelled.outcome = Outcome::Failed;
    cancelled.reason = Reason::Cancelled;
    reply(now, owner, std::move(cancelled));
    const auto it = m_byOwner.find(owner);
    if (it != m_byOwner.end()) {
        end(now, it->second);
        settle(now);
        return;
    }
    for (auto &[id, job] : m_jobs) {
        if (job.successor && job.successor->owner == owner)
            job.successor.reset();
    }
}

void GroupDispatcher::endOthers(TimePoint now, const std::string &vm, std::uint64_t incarnation,
                                std::uint64_t lowestOpen)
{
    std::vector<JobId> over;
    for (auto it = m_byOwner.lower_bound({vm, 0, 0}); it != m_byOwner.end() && it->first.vm == vm; ++it) {
        if (it->first.incarnation != incarnation || it->first.number < lowestOpen)
            over.push_back(it->second);
    }
    for (const auto id : over)
        end(now, id);
    if (!over.empty())
        settle(now);
}

void GroupDispatcher::ownerGone(TimePoint now, const std::string &vm)
{
    endOthers(now, vm, 0, 0);
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
    it->second.runs->orderEnded(now, id, result);
    updatePause(now, it->second);
    settle(now);
}

void GroupDispatcher::tick(TimePoint now)
{
    for (auto &[name, it] : m_upstreams) {
        it.runs->tick(now);
        updatePause(now, it);
    }
    while (!m_keptAnswers.empty() && m_keptAnswers.front().forgetAt <= now) {
        m_answers.erase(m_keptAnswers.front().owner);
        m_keptAnswers.pop_front();
    }
    std::vector<JobId> late;
    for (const auto &[id, job] : m_jobs) {
        if (!job.isEnded && job.held.submission.deadline <= now)
            late.push_back(id);
    }
    for (const auto id : late)
        answer(now, id, Outcome::Failed, Reason::DeadlinePassed, "dispatch: the deadline passed");
    settle(now);
    // A silent upstream is no longer polled once nothing can run there; its next announcement adds it again.
    std::erase_if(m_upstreams,
                  [&](const auto &it) { return it.second.leaseDeadline <= now && it.second.runs->isIdle(); });
}

void GroupDispatcher::close(TimePoint now)
{
    if (std::exchange(m_isClosed, true))
        return;
    std::vector<JobId> waiting;
    for (const auto &[id, job] : m_jobs) {
        if (!job.hasStarted && !job.isEnded)
            waiting.push_back(id);
    }
    for (const auto id : waiting) {
        refuse(now, m_jobs.at(id).held.owner,
               {Reason::ShuttingDown, "dispatch: the group changes its holder", now});
        end(now, id);
    }
    settle(now);
}

std::vector<GroupAction> GroupDispatcher::takeActions()
{
    return std::exchange(m_actions, {});
}

GroupLoad GroupDispatcher::load(TimePoint now) const
{
    GroupLoad load{m_options.group, m_options.runs.fence, !m_isClosed, 0, 0, {}};
    for (const auto &[name, it] : m_pools) {
        load.freeTasks += it.freeSlots(now);
        load.parallel += it.parallelTasks();
        load.waiting += it.waitingWork();
        for (auto &of : it.classHeadroom(now))
            load.classes.push_back({std::move(of.className), of.tasks});
    }
    return load;
}

std::uint64_t GroupDispatcher::fence() const
{
    return m_options.runs.fence;
}

bool GroupDispatcher::isIdle() const
{
    return m_jobs.empty();
}

std::size_t GroupDispatcher::readyUpstreams() const
{
    return static_cast<std::size_t>(std::count_if(m_upstreams.begin(), m_upstreams.end(),
                                                  [](const auto &it) { return it.second.runs->isReady(); }));
}

std::size_t GroupDispatcher::upstreams() const
{
    return m_upstreams.size();
}

Dispatcher &GroupDispatcher::pool(const std::string &name)
{
    const auto [it, isNew] = m_pools.try_emplace(name);
    if (isNew)
        it->second.setConfiguration({0, m_classes, {}, {}, {}});
    return it->second;
}

void GroupDispatcher::add(TimePoint now, const HeldJob &held)
{
    if (m_isClosed) {
        refuse(now, held.owner,
               {Reason::ShuttingDown, "dispatch: the group changes its holder", now + closedReturn});
        return;
    }
    auto &dispatcher = pool(held.pool);
    if (const auto refusal = dispatcher.refusal(now, held.submission)) {
        refuse(now, held.owner, *refusal);
        return;
    }
    const auto id = m_nextJob++;
    auto &job = m_jobs[id];
    job.held = held;
    job.tasks.resize(held.submission.tasks.size());
    m_byKey[held.submission.key] = id;
    m_byOwner[held.owner] = id;
    dispatcher.add(now, id, held.submission);
}

void GroupDispatcher::place(TimePoint now)
{
    for (auto &[name, dispatcher] : m_pools) {
        for (const auto &it : dispatcher.place(now))
            start(now, name, it);
        for (const auto id : dispatcher.takeShedJobs()) {
            const auto job = m_jobs.find(id);
            if (job == m_jobs.end() || job->second.isEnded)
                continue;
            if (job->second.hasStarted) {
                answer(now, id, Outcome::Failed, Reason::DeadlineOutOfReach,
                       "dispatch: the deadline can't be met any more");
                continue;
            }
            refuse(now, job->second.held.owner,
                   {Reason::DeadlineOutOfReach,
                    "dispatch: the deadline can't be met with the work that waits", now + closedReturn});
            end(now, id);
        }
    }
}

void GroupDispatcher::start(TimePoint now, const std::string &pool, const Placement &placement)
{
    auto &job = m_jobs.at(placement.job);
    auto &task = job.tasks.at(placement.task);
    const auto attempt = m_nextAttempt++;
    m_attempts[attempt] = {placement.job, placement.task, pool, placement.upstream, placement.attempt};
    task.attempt = attempt;
    ++task.lastRun;
    ++job.open;
    job.hasStarted = true;
    const auto &key = job.held.submission.key;
    m_upstreams.at(placement.upstream)
        .runs->start(now, attempt, m_options.nameTask(key, job.held.firstTask + placement.task), task.lastRun,
                     job.held.submission.tasks[placement.task].payload);
}

void GroupDispatcher::settle(TimePoint now)
{
    for (bool hasChanged = true; hasChanged;) {
        hasChanged = false;
        for (auto &[name, it] : m_upstreams) {
            for (const auto &run : it.runs->takeFinished()) {
                runFinished(now, run);
                hasChanged = true;
            }
        }
        place(now);
    }
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
    --job.open;
    pool(attempt.pool).finish(now, attempt.placed, resultOf(run, job.isEnded));
    if (job.isEnded) {
        removeIfOver(now, attempt.job);
        return;
    }
    switch (run.outcome) {
    case RunOutcome::Done:
        task.isDone = true;
        if (++job.done == job.tasks.size())
            answer(now, attempt.job, Outcome::Complete, Reason::None, {});
        return;
    case RunOutcome::Failed:
        if (++task.failures >= job.held.attempts) {
            answer(now, attempt.job, Outcome::Failed, Reason::TaskFailed,
                   "task: failed on upstream " + attempt.upstream);
            return;
        }
        break;
    case RunOutcome::TakenOver:
        answer(now, attempt.job, Outcome::Unknown, Reason::TaskOutcomeUnknown,
               "dispatch: another holder took over upstream " + attempt.upstream);
        return;
    default:
        break;
    }
    pool(attempt.pool).requeue(now, attempt.job, job.held.submission, attempt.task);
}

void GroupDispatcher::answer(TimePoint now, JobId id, Outcome outcome, Reason reason,
                             const std::string &detail)
{
    const auto &job = m_jobs.at(id);
    Answer answer;
    answer.key = job.held.submission.key;
    answer.outcome = outcome;
    answer.reason = reason;
    answer.detail = detail;
    reply(now, job.held.owner, std::move(answer));
    end(now, id);
}

void GroupDispatcher::end(TimePoint now, JobId id)
{
    auto &job = m_jobs.at(id);
    if (std::exchange(job.isEnded, true))
        return;
    m_byOwner.erase(job.held.owner);
    pool(job.held.pool).remove(now, id);
    for (const auto &it : job.tasks) {
        const auto attempt = m_attempts.find(it.attempt);
        if (attempt != m_attempts.end())
            m_upstreams.at(attempt->second.upstream).runs->stop(now, it.attempt);
    }
    removeIfOver(now, id);
}

void GroupDispatcher::removeIfOver(TimePoint now, JobId id)
{
    const auto it = m_jobs.find(id);
    if (!it->second.isEnded || it->second.open > 0)
        return;
    const auto successor = std::move(it->second.successor);
    m_byKey.erase(it->second.held.submission.key);
    m_jobs.erase(it);
    if (successor)
        add(now, *successor);
}

void GroupDispatcher::updatePause(TimePoint now, Upstream &upstream)
{
    const bool isPaused = !upstream.runs->isReady();
    if (isPaused == upstream.isPaused)
        return;
    upstream.isPaused = isPaused;
    const auto &known = upstream.runs->announcement();
    pool(known.pool).setPaused(now, known.upstream.name, isPaused);
}

void GroupDispatcher::refuse(TimePoint now, const JobOwner &owner, const Refusal &refusal)
{
    Answer answer;
    answer.outcome = Outcome::Refused;
    answer.reason = refusal.reason;
    answer.detail = refusal.detail;
    answer.retryAt = refusal.retryAt;
    reply(now, owner, std::move(answer));
}

void GroupDispatcher::reply(TimePoint now, const JobOwner &owner, Answer answer)
{
    m_answers[owner] = answer;
    m_keptAnswers.push_back({now + m_options.answerMemory, owner});
    m_actions.emplace_back(FinishedJob{owner, std::move(answer)});
}

} // namespace Citronpitch
