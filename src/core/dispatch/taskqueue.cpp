#include "core/dispatch/taskqueue.h"

#include <algorithm>
#include <bit>

namespace Citronpitch {

namespace {

/// Span of time by which waiting work is summed up.
constexpr Duration workSpan = std::chrono::milliseconds(100);

std::int64_t spanOf(TimePoint due)
{
    return due.time_since_epoch() / workSpan;
}

/// Order of the heads of lanes.
struct Urgency
{
    bool isOverQuota = false;
    TimePoint due;
    std::uint64_t order = 0;
    auto operator<=>(const Urgency &) const = default;
};

LaneKey laneOf(ClassIndex of, const Resources &need)
{
    return {of, static_cast<int>(std::bit_width(need.millicores)),
            static_cast<int>(std::bit_width(need.memoryBytes)),
            static_cast<int>(std::bit_width(need.accelerators))};
}

} // namespace

TaskQueue::TaskQueue(DueTime dueTime, DueTime lateDueTime)
    : m_dueTime(std::move(dueTime))
    , m_lateDueTime(std::move(lateDueTime))
{
}

void TaskQueue::setQuotas(const std::vector<TeamDeclaration> &teams)
{
    m_quotas.clear();
    for (const auto &it : teams)
        m_quotas.emplace(it.name, it.quotaTasks);
    for (auto &[name, team] : m_teams) {
        const auto quota = m_quotas.find(name);
        team.quota = quota == m_quotas.end() ? std::nullopt : std::optional(quota->second);
        reindex(team);
    }
}

void TaskQueue::setAdvance(ClassIndex of, Duration advance)
{
    if (of >= m_advances.size())
        m_advances.resize(of + 1);
    m_advances[of] = advance;
}

void TaskQueue::reorder(ClassIndex of)
{
    for (auto &[id, job] : m_jobs) {
        if (job.queued.of != of)
            continue;
        job.due = m_dueTime(job.queued);
        for (const auto &it : job.batches) {
            if (it->tasks.empty())
                continue;
            leave(*it);
            it->isLate = false;
            enter(job, *it);
        }
    }
}

void TaskQueue::addJob(JobId job, const QueuedJob &queued)
{
    m_jobs.insert_or_assign(job, Job{queued, m_dueTime(queued), {}});
}

void TaskQueue::addTask(JobId job, const QueuedTask &task)
{
    const auto it = m_jobs.find(job);
    if (it == m_jobs.end() || it->second.isDropped)
        return;
    auto &batch = batchOf(job, it->second, task);
    if (batch.tasks.empty()) {
        batch.tasks.push_back(task.task);
        enter(it->second, batch);
        return;
    }
    batch.tasks.push_back(task.task);
    ++m_size;
    ++m_queuedOfClass[it->second.queued.of];
    ++batch.flow->team->queued;
    countWork(batch.due, batch.work);
}

void TaskQueue::dropTasks(JobId job)
{
    const auto it = m_jobs.find(job);
    if (it == m_jobs.end())
        return;
    it->second.isDropped = true;
    for (const auto &batch : it->second.batches) {
        if (!batch->tasks.empty())
            leave(*batch);
        batch->tasks.clear();
    }
    dropIfIdle(it->second.queued.team);
}

void TaskQueue::removeJob(JobId job)
{
    dropTasks(job);
    m_jobs.erase(job);
}

void TaskQueue::beginRound()
{
    ++m_round;
}

std::optional<LaneHead> TaskQueue::next(TimePoint now)
{
    while (const auto *flow = mostUrgent()) {
        auto &batch = *flow->batches.begin()->second;
        if (batch.due >= now || batch.isLate)
            return LaneHead{flow->lane, batch.job, batch.need, m_jobs.at(batch.job).queued.deadline};
        demote(batch);
    }
    return std::nullopt;
}

TaskQueue::Flow *TaskQueue::mostUrgent() const
{
    Flow *best = nullptr;
    Urgency bestUrgency;
    for (const auto &[key, lane] : m_lanes) {
        if (lane.heldInRound == m_round)
            continue;
        const auto &heads = side(lane);
        const bool isOver = lane.withinQuota.empty();
        const auto advance = key.of < m_advances.size() ? m_advances[key.of] : Duration();
        const Urgency urgency{isOver, heads.begin()->first.due - advance, heads.begin()->first.order};
        if (best != nullptr && !(urgency < bestUrgency))
            continue;
        best = heads.begin()->second;
        bestUrgency = urgency;
    }
    return best;
}

void TaskQueue::demote(Batch &batch)
{
    const auto &job = m_jobs.at(batch.job);
    leave(batch);
    batch.isLate = true;
    enter(job, batch);
}

void TaskQueue::hold(const LaneKey &lane)
{
    m_lanes.at(lane).heldInRound = m_round;
}

std::uint32_t TaskQueue::take(const LaneHead &head)
{
    auto &job = m_jobs.at(head.job);
    const auto it = std::find_if(job.batches.begin(), job.batches.end(), [&](const auto &batch) {
        return batch->need == head.need && !batch->tasks.empty();
    });
    auto &batch = **it;
    const auto task = batch.tasks.back();
    if (batch.tasks.size() == 1) {
        leave(batch);
        batch.tasks.clear();
        return task;
    }
    batch.tasks.pop_back();
    --m_size;
    --m_queuedOfClass[head.lane.of];
    --batch.flow->team->queued;
    countWork(batch.due, -batch.work);
    return task;
}

LaneHead TaskQueue::last(const LaneKey &key) const
{
    const auto &lane = m_lanes.at(key);
    const auto &heads = side(lane);
    const auto &batch = *heads.rbegin()->second->batches.rbegin()->second;
    return {key, batch.job, batch.need, m_jobs.at(batch.job).queued.deadline};
}

void TaskQueue::started(const std::string &name)
{
    auto &it = team(name);
    const bool wasOver = isOver(it);
    ++it.running;
    if (isOver(it) != wasOver)
        reindex(it);
}

void TaskQueue::ended(const std::string &name)
{
    auto &it = team(name);
    const bool wasOver = isOver(it);
    it.running -= it.running > 0 ? 1 : 0;
    if (isOver(it) != wasOver)
        reindex(it);
    dropIfIdle(name);
}

const QueuedJob *TaskQueue::findOpenJob(JobId job) const
{
    const auto it = m_jobs.find(job);
    return it == m_jobs.end() ? nullptr : &it->second.queued;
}

std::uint32_t TaskQueue::size() const
{
    return m_size;
}

std::uint32_t TaskQueue::queuedOfClass(ClassIndex of) const
{
    return of < m_queuedOfClass.size() ? m_queuedOfClass[of] : 0;
}

std::uint32_t TaskQueue::queuedOfTeam(const std::string &name) const
{
    const auto it = m_teams.find(name);
    return it == m_teams.end() ? 0 : it->second.queued;
}

bool TaskQueue::isOverQuota(const std::string &name) const
{
    const auto it = m_teams.find(name);
    if (it != m_teams.end())
        return isOver(it->second);
    const auto quota = m_quotas.find(name);
    return quota != m_quotas.end() && quota->second == 0;
}

Duration TaskQueue::workBefore(TimePoint due) const
{
    Duration work{};
    const auto last = spanOf(due);
    for (auto it = m_work.begin(); it != m_work.end() && it->first <= last; ++it)
        work += it->second;
    return work;
}

TaskQueue::Batch &TaskQueue::batchOf(JobId id, Job &job, const QueuedTask &task)
{
    const auto it = std::find_if(job.batches.begin(), job.batches.end(),
                                 [&](const auto &batch) { return batch->need == task.need; });
    if (it != job.batches.end())
        return **it;
    job.batches.push_back(
        std::make_unique<Batch>(Batch{id, task.need, task.work, m_nextOrder++, {}, {}, nullptr}));
    return *job.batches.back();
}

TaskQueue::Team &TaskQueue::team(const std::string &name)
{
    const auto [it, isNew] = m_teams.try_emplace(name);
    if (isNew) {
        it->second.name = name;
        const auto quota = m_quotas.find(name);
        if (quota != m_quotas.end())
            it->second.quota = quota->second;
    }
    return it->second;
}

void TaskQueue::enter(const Job &job, Batch &batch)
{
    auto &team = this->team(job.queued.team);
    const auto lane = laneOf(job.queued.of, batch.need);
    const auto n = static_cast<std::uint32_t>(batch.tasks.size());
    auto &flow = team.flows[lane];
    flow.lane = lane;
    flow.team = &team;
    batch.flow = &flow;
    batch.due = batch.isLate ? m_lateDueTime(job.queued) : job.due;
    flow.batches.emplace(BatchKey{batch.due, batch.order}, &batch);
    if (lane.of >= m_queuedOfClass.size())
        m_queuedOfClass.resize(lane.of + 1);
    m_size += n;
    m_queuedOfClass[lane.of] += n;
    team.queued += n;
    countWork(batch.due, batch.work * n);
    index(flow);
}

void TaskQueue::leave(Batch &batch)
{
    auto &flow = *batch.flow;
    const auto n = static_cast<std::uint32_t>(batch.tasks.size());
    flow.batches.erase({batch.due, batch.order});
    m_size -= n;
    m_queuedOfClass[flow.lane.of] -= n;
    flow.team->queued -= n;
    countWork(batch.due, -batch.work * n);
    batch.flow = nullptr;
    index(flow);
}

void TaskQueue::index(Flow &flow)
{
    auto &lane = m_lanes[flow.lane];
    if (flow.headKey)
        (flow.isOverQuota ? lane.overQuota : lane.withinQuota).erase(*flow.headKey);
    flow.headKey.reset();
    if (!flow.batches.empty()) {
        flow.headKey = flow.batches.begin()->first;
        flow.isOverQuota = isOver(*flow.team);
        (flow.isOverQuota ? lane.overQuota : lane.withinQuota).emplace(*flow.headKey, &flow);
    }
    if (lane.withinQuota.empty() && lane.overQuota.empty())
        m_lanes.erase(flow.lane);
    if (flow.batches.empty())
        flow.team->flows.erase(LaneKey(flow.lane));
}

void TaskQueue::reindex(Team &team)
{
    for (auto &[key, flow] : team.flows)
        index(flow);
}

void TaskQueue::dropIfIdle(const std::string &name)
{
    const auto it = m_teams.find(name);
    if (it != m_teams.end() && it->second.running == 0 && it->second.flows.empty())
        m_teams.erase(it);
}

void TaskQueue::countWork(TimePoint due, Duration work)
{
    const auto it = m_work.try_emplace(spanOf(due)).first;
    it->second += work;
    if (it->second <= Duration())
        m_work.erase(it);
}

bool TaskQueue::isOver(const Team &team)
{
    return team.quota && team.running >= *team.quota;
}

const std::map<TaskQueue::BatchKey, TaskQueue::Flow *> &TaskQueue::side(const Lane &lane) const
{
    return lane.withinQuota.empty() ? lane.overQuota : lane.withinQuota;
}

} // namespace Citronpitch
