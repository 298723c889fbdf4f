#include "citronpitch/jobrelay.h"

#include <algorithm>
#include <utility>

namespace Citronpitch {

namespace {

/// When to come back while no group is in reach.
constexpr Duration noGroupReturn = std::chrono::seconds(1);

/// Time that a task is taken to last for work that was passed on since the last report.
constexpr Duration assumedTaskTime = std::chrono::milliseconds(150);

Answer refusalWithoutGroup(TimePoint now)
{
    Answer answer;
    answer.outcome = Outcome::Refused;
    answer.reason = Reason::Overloaded;
    answer.detail = "relay: no VM that dispatches is in reach";
    answer.retryAt = now + noGroupReturn;
    return answer;
}

Answer unknownAfterLossOf(const std::string &vm)
{
    Answer answer;
    answer.outcome = Outcome::Unknown;
    answer.reason = Reason::HomeUnreachable;
    answer.detail = "relay: the VM " + vm + ", which dispatches the job, is out of reach";
    return answer;
}

} // namespace

JobRelay::JobRelay(JobRelayOptions options)
    : m_options(std::move(options))
{
}

void JobRelay::setHolders(TimePoint, const std::vector<GroupHolder> &holders)
{
    m_holders = holders;
}

void JobRelay::holderAlive(const std::string &vm, std::uint64_t incarnation, bool isDraining)
{
    auto &it = m_vms[vm];
    if (it.incarnation != incarnation)
        it = {};
    it.incarnation = incarnation;
    it.isDraining = isDraining;
}

void JobRelay::holderGone(TimePoint, const std::string &vm)
{
    m_vms.erase(vm);
    std::vector<std::uint64_t> lost;
    for (const auto &[number, job] : m_jobs) {
        if (job.vm == vm)
            lost.push_back(number);
    }
    for (const auto it : lost)
        answer(it, unknownAfterLossOf(vm));
}

void JobRelay::loadReported(const std::string &vm, const std::vector<GroupLoad> &loads)
{
    const auto it = m_vms.find(vm);
    if (it == m_vms.end())
        return;
    it->second.loads.clear();
    it->second.sent.clear();
    for (const auto &load : loads)
        it->second.loads[load.group] = load;
}

void JobRelay::submit(TimePoint now, CallerId caller, HeldJob job)
{
    const auto known = m_byKey.find(job.submission.key);
    if (known != m_byKey.end() && !m_jobs.at(known->second).isCancelled) {
        m_jobs.at(known->second).callers.push_back(caller);
        m_byCaller[caller] = known->second;
        return;
    }
    const auto number = m_nextNumber++;
    job.owner.number = number;
    auto &open = m_jobs[number];
    open.job = std::move(job);
    open.callers.push_back(caller);
    m_byKey[open.job.submission.key] = number;
    m_byCaller[caller] = number;
    if (!pass(now, number, open))
        answer(number, refusalWithoutGroup(now));
}

void JobRelay::callerGone(TimePoint now, CallerId caller)
{
    const auto it = m_byCaller.find(caller);
    if (it == m_byCaller.end())
        return;
    const auto number = it->second;
    m_byCaller.erase(it);
    auto &job = m_jobs.at(number);
    std::erase(job.callers, caller);
    if (!job.callers.empty())
        return;
    job.isCancelled = true;
    job.resendAt = now + m_options.cancelPeriod;
    m_actions.emplace_back(SendCancel{job.vm, number});
}

void JobRelay::ended(TimePoint now, const std::string &vm, std::uint64_t number, Answer answer)
{
    const auto it = m_jobs.find(number);
    if (it == m_jobs.end() || it->second.vm != vm)
        return;
    auto &job = it->second;
    const bool isRefused = answer.outcome == Outcome::Refused && !job.isCancelled;
    if (isRefused && job.refusedBy.empty()) {
        job.refusedBy = job.group;
        if (pass(now, number, job))
            return;
    }
    this->answer(number, answer);
}

void JobRelay::tick(TimePoint now)
{
    std::vector<std::uint64_t> late;
    for (auto &[number, job] : m_jobs) {
        if (job.job.submission.deadline <= now) {
            late.push_back(number);
            continue;
        }
        if (now < job.resendAt)
            continue;
        job.resendAt = now + (job.isCancelled ? m_options.cancelPeriod : m_options.resendPeriod);
        if (job.isCancelled)
            m_actions.emplace_back(SendCancel{job.vm, number});
        else
            m_actions.emplace_back(SendJob{job.vm, job.group, job.job});
    }
    for (const auto number : late) {
        m_actions.emplace_back(SendCancel{m_jobs.at(number).vm, number});
        Answer failed;
        failed.outcome = Outcome::Failed;
        failed.reason = Reason::DeadlinePassed;
        failed.detail = "relay: the deadline passed";
        answer(number, failed);
    }
}

std::vector<RelayAction> JobRelay::takeActions()
{
    return std::exchange(m_actions, {});
}

std::uint64_t JobRelay::lowestOpen() const
{
    return m_jobs.empty() ? m_nextNumber : m_jobs.begin()->first;
}

std::size_t JobRelay::openJobs() const
{
    return m_byCaller.size();
}

bool JobRelay::canServe() const
{
    return choose({}).has_value();
}

std::optional<JobRelay::Choice> JobRelay::choose(const OpenJob &job) const
{
    const auto tasks = static_cast<std::uint32_t>(job.job.submission.tasks.size());
    std::optional<Choice> best;
    Duration bestCost{};
    for (const auto &it : m_holders) {
        const auto vm = m_vms.find(it.vm);
        if (vm == m_vms.end() || vm->second.incarnation != it.incarnation || vm->second.isDraining)
            continue;
        const auto load = vm->second.loads.find(it.group);
        const bool isOpen = load != vm->second.loads.end() && load->second.isOpen
            && load->second.fence == it.fence && load->second.parallel > 0;
        if (!isOpen || it.group == job.refusedBy)
            continue;
        const auto sent = vm->second.sent.find(it.group);
        auto cost = expectedWait(load->second, sent == vm->second.sent.end() ? 0 : sent->second, tasks);
        if (it.group != m_options.domain)
            cost += m_options.remoteCost;
        if (best && cost >= bestCost)
            continue;
        best = Choice{it.group, it.vm};
        bestCost = cost;
    }
    return best;
}

Duration JobRelay::expectedWait(const GroupLoad &load, std::uint32_t sent, std::uint32_t tasks) const
{
    if (load.freeTasks >= sent + tasks)
        return Duration::zero();
    const auto missing = sent + tasks - load.freeTasks;
    return (load.waiting + assumedTaskTime * missing) / load.parallel;
}

bool JobRelay::pass(TimePoint now, std::uint64_t, OpenJob &job)
{
    const auto choice = choose(job);
    if (!choice)
        return false;
    auto &vm = m_vms.at(choice->vm);
    vm.sent[choice->group] += static_cast<std::uint32_t>(job.job.submission.tasks.size());
    job.vm = choice->vm;
    job.vmIncarnation = vm.incarnation;
    job.group = choice->group;
    job.resendAt = now + m_options.resendPeriod;
    m_actions.emplace_back(SendJob{job.vm, job.group, job.job});
    return true;
}

void JobRelay::answer(std::uint64_t number, const Answer &answer)
{
    const auto it = m_jobs.find(number);
    for (const auto caller : it->second.callers) {
        m_byCaller.erase(caller);
        m_actions.emplace_back(AnswerCaller{caller, answer});
    }
    const auto byKey = m_byKey.find(it->second.job.submission.key);
    if (byKey != m_byKey.end() && byKey->second == number)
        m_byKey.erase(byKey);
    m_jobs.erase(it);
}

} // namespace Citronpitch
