#include "core/dispatch/taskqueue.h"

#include <algorithm>
#include <bit>

namespace Citronpitch {

namespace {

/// Width of the buckets of due times in which queued work is summed up.
constexpr Duration workBucket = std::chrono::milliseconds(100);

/// Maximum number of tasks of one subqueue that are compared for the place that is left on an upstream.
constexpr std::size_t maximumComparedTasks = 16;

std::int64_t workBucketOf(TimePoint due)
{
    return due.time_since_epoch() / workBucket;
}

/// Order of the heads of subqueues.
struct Urgency
{
    bool hasReachedQuota = false;
    TimePoint due;
    std::uint64_t order = 0;
    auto operator<=>(const Urgency &) const = default;
};

SubqueueKey subqueueOf(const QueuedJob &job, const Resources &need)
{
    return {job.classIndex, static_cast<int>(std::bit_width(need.millicores)),
            static_cast<int>(std::bit_width(need.memoryBytes)),
            static_cast<int>(std::bit_width(need.accelerators)), job.constraints.requiredLabel};
}

/// Adds @p work, which may be negative, to a bucket, and removes it when it is empty.
void addToBucket(std::map<std::int64_t, Duration> &buckets, std::int64_t number, Duration work)
{
    const auto it = buckets.try_emplace(number).first;
    it->second += work;
    if (it->second <= Duration())
        buckets.erase(it);
}

/// Returns the sum of the buckets up to the one of @p due.
Duration sumUntil(const std::map<std::int64_t, Duration> &buckets, TimePoint due)
{
    Duration sum{};
    const auto last = workBucketOf(due);
    for (auto it = buckets.begin(); it != buckets.end() && it->first <= last; ++it)
        sum += it->second;
    return sum;
}

} // namespace

Duration RestrictedWork::dueBefore(TimePoint due) const
{
    return sumUntil(work, due);
}

TaskQueue::TaskQueue(DueTime dueTime, DueTime demotedDueTime, DueTime lateTime)
    : m_dueTime(std::move(dueTime))
    , m_demotedDueTime(std::move(demotedDueTime))
    , m_lateTime(std::move(lateTime))
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
        updateHeads(team);
    }
}

void TaskQueue::setBoost(ClassIndex classIndex, Duration boost)
{
    if (classIndex >= m_boosts.size())
        m_boosts.resize(classIndex + 1);
    m_boosts[classIndex] = boost;
}

void TaskQueue::reorder(ClassIndex classIndex)
{
    for (auto &[id, job] : m_jobs) {
        if (job.queued.classIndex != classIndex)
            continue;
        job.due = m_dueTime(job.queued);
        job.lateTime = job.queued.isProtected ? m_lateTime(job.queued) : job.due;
        for (const auto &it : job.batches) {
            if (it->tasks.empty())
                continue;
            dequeue(*it);
            it->isDemoted = false;
            enqueue(job, *it);
        }
    }
}

void TaskQueue::addJob(JobId job, const QueuedJob &queued)
{
    const auto due = m_dueTime(queued);
    m_jobs.insert_or_assign(job, Job{queued, due, queued.isProtected ? m_lateTime(queued) : due, {}});
}

void TaskQueue::addTask(JobId job, const QueuedTask &task)
{
    const auto it = m_jobs.find(job);
    if (it == m_jobs.end() || it->second.isDropped)
        return;
    auto &batch = batchOf(job, it->second, task);
    if (batch.tasks.empty()) {
        batch.tasks.push_back(task.task);
        enqueue(it->second, batch);
        return;
    }
    batch.tasks.push_back(task.task);
    addTasks(batch, 1);
}

void TaskQueue::dropTasks(JobId job)
{
    const auto it = m_jobs.find(job);
    if (it == m_jobs.end())
        return;
    it->second.isDropped = true;
    for (const auto &batch : it->second.batches) {
        if (!batch->tasks.empty())
            dequeue(*batch);
        batch->tasks.clear();
    }
    removeTeamIfIdle(it->second.queued.team);
}

void TaskQueue::removeJob(JobId job)
{
    dropTasks(job);
    m_jobs.erase(job);
}

void TaskQueue::beginRound()
{
    ++m_round;
    while (!m_skipped.empty()) {
        auto &batch = *m_skipped.back();
        unskip(batch);
        batch.flow->batches.emplace(BatchKey{batch.due, batch.order}, &batch);
        updateHead(*batch.flow);
    }
}

std::optional<SubqueueHead> TaskQueue::next(TimePoint now) const
{
    const auto *flow = mostUrgent();
    if (flow == nullptr)
        return std::nullopt;
    auto head = headOf(*flow, *flow->batches.begin()->second);
    const auto &batch = *flow->batches.begin()->second;
    head.isLate = batch.lateTime < now && !batch.isDemoted;
    return head;
}

SubqueueHead TaskQueue::headOf(const Flow &flow, const Batch &batch) const
{
    return {flow.subqueue, batch.job, batch.need, batch.deadline, batch.work, batch.due, false};
}

TaskQueue::Flow *TaskQueue::mostUrgent() const
{
    Flow *best = nullptr;
    Urgency bestUrgency;
    for (const auto &[key, subqueue] : m_subqueues) {
        if (subqueue.skippedInRound == m_round)
            continue;
        const auto &heads = headsOf(subqueue);
        const bool hasReachedQuota = subqueue.withinQuota.empty();
        const auto boost = key.classIndex < m_boosts.size() ? m_boosts[key.classIndex] : Duration();
        const Urgency urgency{hasReachedQuota, heads.begin()->first.due - boost, heads.begin()->first.order};
        if (best != nullptr && !(urgency < bestUrgency))
            continue;
        best = heads.begin()->second;
        bestUrgency = urgency;
    }
    return best;
}

void TaskQueue::demote(const SubqueueHead &head)
{
    const auto &job = m_jobs.at(head.job);
    for (const auto &it : job.batches) {
        if (it->need != head.need || it->tasks.empty())
            continue;
        dequeue(*it);
        it->isDemoted = true;
        enqueue(job, *it);
    }
}

void TaskQueue::skip(const SubqueueKey &subqueue)
{
    m_subqueues.at(subqueue).skippedInRound = m_round;
}

void TaskQueue::skipTasks(const SubqueueHead &head)
{
    auto &batch = queuedBatch(head);
    auto &flow = *batch.flow;
    flow.batches.erase({batch.due, batch.order});
    batch.isSkipped = true;
    ++flow.skipped;
    m_skipped.push_back(&batch);
    updateHead(flow);
}

void TaskQueue::unskip(Batch &batch)
{
    std::erase(m_skipped, &batch);
    batch.isSkipped = false;
    --batch.flow->skipped;
}

std::uint32_t TaskQueue::take(const SubqueueHead &head)
{
    auto &batch = queuedBatch(head);
    const auto task = batch.tasks.back();
    if (batch.tasks.size() == 1) {
        dequeue(batch);
        batch.tasks.clear();
        return task;
    }
    batch.tasks.pop_back();
    addTasks(batch, -1);
    return task;
}

SubqueueHead TaskQueue::leastUrgent(const SubqueueKey &key) const
{
    const auto &subqueue = m_subqueues.at(key);
    const auto &heads = headsOf(subqueue);
    const auto &flow = *heads.rbegin()->second;
    return headOf(flow, *flow.batches.rbegin()->second);
}

std::optional<SubqueueHead> TaskQueue::largest(const SubqueueHead &head, std::uint32_t maximumMillicores,
                                               TimePoint dueBy,
                                               const std::function<bool(const SubqueueHead &)> &fits) const
{
    std::optional<SubqueueHead> best;
    const auto examine = [&](const SubqueueKey &key) {
        const auto subqueue = m_subqueues.find(key);
        if (subqueue == m_subqueues.end())
            return;
        const auto &flow = *headsOf(subqueue->second).begin()->second;
        std::size_t examined = 0;
        for (const auto &[batchKey, batch] : flow.batches) {
            if (++examined > maximumComparedTasks || batchKey.due > dueBy)
                return;
            const auto least = best ? best->need.millicores : 0;
            const bool isLarger =
                batch->need.millicores > least && batch->need.millicores <= maximumMillicores;
            if (!isLarger || batch->need == head.need || batch->isDemoted)
                continue;
            const auto candidate = headOf(flow, *batch);
            if (fits(candidate))
                best = candidate;
        }
    };
    examine(head.subqueue);
    // Needs of up to twice as much are in the next subqueue.
    auto larger = head.subqueue;
    ++larger.millicores;
    if (std::bit_width(maximumMillicores) >= static_cast<std::uint32_t>(larger.millicores))
        examine(larger);
    return best;
}

void TaskQueue::taskStarted(const std::string &name)
{
    auto &it = team(name);
    const bool hadReachedQuota = hasReachedQuota(it);
    ++it.running;
    if (hasReachedQuota(it) != hadReachedQuota)
        updateHeads(it);
}

void TaskQueue::taskEnded(const std::string &name)
{
    auto &it = team(name);
    const bool hadReachedQuota = hasReachedQuota(it);
    it.running -= it.running > 0 ? 1 : 0;
    if (hasReachedQuota(it) != hadReachedQuota)
        updateHeads(it);
    removeTeamIfIdle(name);
}

const QueuedJob *TaskQueue::findJob(JobId job) const
{
    const auto it = m_jobs.find(job);
    return it == m_jobs.end() ? nullptr : &it->second.queued;
}

std::uint32_t TaskQueue::size() const
{
    return m_size;
}

std::uint32_t TaskQueue::queuedOfClass(ClassIndex classIndex) const
{
    return classIndex < m_queuedOfClass.size() ? m_queuedOfClass[classIndex] : 0;
}

std::uint32_t TaskQueue::queuedOfTeam(const std::string &name) const
{
    const auto it = m_teams.find(name);
    return it == m_teams.end() ? 0 : it->second.queued;
}

bool TaskQueue::hasTeamReachedQuota(const std::string &name) const
{
    const auto it = m_teams.find(name);
    if (it != m_teams.end())
        return hasReachedQuota(it->second);
    const auto quota = m_quotas.find(name);
    return quota != m_quotas.end() && quota->second == 0;
}

Duration TaskQueue::workDueBefore(TimePoint due) const
{
    auto work = unprotectedWorkDueBefore(due);
    const auto last = workBucketOf(due);
    for (const auto &it : m_protectedWork.buckets()) {
        if (workBucketOf(WorkTable::middleOf(it.number)) <= last)
            work += it.work;
    }
    return work;
}

Duration TaskQueue::unprotectedWorkDueBefore(TimePoint due) const
{
    return sumUntil(m_work, due);
}

Duration TaskQueue::labelledWorkDueBefore(const std::string &label, TimePoint due) const
{
    Duration sum{};
    for (auto it = m_restrictedWork.lower_bound({{label, 0}, 0});
         it != m_restrictedWork.end() && it->first.constraints.requiredLabel == label; ++it)
        sum += it->second.dueBefore(due);
    return sum;
}

std::uint32_t TaskQueue::labelledTasks(const std::string &label) const
{
    std::uint32_t n = 0;
    for (auto it = m_restrictedWork.lower_bound({{label, 0}, 0});
         it != m_restrictedWork.end() && it->first.constraints.requiredLabel == label; ++it)
        n += it->second.tasks;
    return n;
}

const std::map<RestrictionKey, RestrictedWork> &TaskQueue::restrictedWork() const
{
    return m_restrictedWork;
}

const WorkTable &TaskQueue::protectedWork() const
{
    return m_protectedWork;
}

std::vector<WaitingJob> TaskQueue::protectedJobs(std::int64_t number) const
{
    std::vector<WaitingJob> list;
    for (const auto &[id, job] : m_jobs) {
        if (!job.queued.isProtected || job.isDropped || WorkTable::bucketOf(job.due) > number)
            continue;
        WaitingJob waiting{id, job.queued.classIndex, job.due, job.queued.arrival, {}};
        for (const auto &it : job.batches) {
            if (!it->isDemoted)
                waiting.work += it->work * static_cast<std::int64_t>(it->tasks.size());
        }
        if (waiting.work > Duration())
            list.push_back(waiting);
    }
    return list;
}

TaskQueue::Batch &TaskQueue::batchOf(JobId id, Job &job, const QueuedTask &task)
{
    const auto it = std::find_if(job.batches.begin(), job.batches.end(),
                                 [&](const auto &batch) { return batch->need == task.need; });
    if (it != job.batches.end())
        return **it;
    job.batches.push_back(std::make_unique<Batch>());
    auto &batch = *job.batches.back();
    batch.job = id;
    batch.need = task.need;
    batch.work = task.work;
    batch.order = m_nextOrder++;
    batch.deadline = job.queued.deadline;
    batch.isProtected = job.queued.isProtected;
    const auto &constraints = job.queued.constraints;
    if (!constraints.isEmpty())
        batch.restriction = {constraints, constraints.maximumPerUpstream > 0 ? id : 0};
    return batch;
}

TaskQueue::Batch &TaskQueue::queuedBatch(const SubqueueHead &head)
{
    auto &job = m_jobs.at(head.job);
    const auto it = std::find_if(job.batches.begin(), job.batches.end(), [&](const auto &batch) {
        return batch->need == head.need && !batch->tasks.empty();
    });
    return **it;
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

void TaskQueue::enqueue(const Job &job, Batch &batch)
{
    auto &team = this->team(job.queued.team);
    const auto subqueue = subqueueOf(job.queued, batch.need);
    auto &flow = team.flows[subqueue];
    flow.subqueue = subqueue;
    flow.team = &team;
    batch.flow = &flow;
    batch.due = batch.isDemoted ? m_demotedDueTime(job.queued) : job.due;
    batch.lateTime = job.lateTime;
    flow.batches.emplace(BatchKey{batch.due, batch.order}, &batch);
    if (subqueue.classIndex >= m_queuedOfClass.size())
        m_queuedOfClass.resize(subqueue.classIndex + 1);
    addTasks(batch, static_cast<std::int64_t>(batch.tasks.size()));
    updateHead(flow);
}

void TaskQueue::dequeue(Batch &batch)
{
    auto &flow = *batch.flow;
    if (batch.isSkipped)
        unskip(batch);
    flow.batches.erase({batch.due, batch.order});
    addTasks(batch, -static_cast<std::int64_t>(batch.tasks.size()));
    batch.flow = nullptr;
    updateHead(flow);
}

void TaskQueue::updateHead(Flow &flow)
{
    auto &subqueue = m_subqueues[flow.subqueue];
    if (flow.headKey)
        (flow.hasReachedQuota ? subqueue.atQuota : subqueue.withinQuota).erase(*flow.headKey);
    flow.headKey.reset();
    if (!flow.batches.empty()) {
        flow.headKey = flow.batches.begin()->first;
        flow.hasReachedQuota = hasReachedQuota(*flow.team);
        (flow.hasReachedQuota ? subqueue.atQuota : subqueue.withinQuota).emplace(*flow.headKey, &flow);
    }
    if (subqueue.withinQuota.empty() && subqueue.atQuota.empty())
        m_subqueues.erase(flow.subqueue);
    if (flow.batches.empty() && flow.skipped == 0)
        flow.team->flows.erase(SubqueueKey(flow.subqueue));
}

void TaskQueue::updateHeads(Team &team)
{
    for (auto &[key, flow] : team.flows)
        updateHead(flow);
}

void TaskQueue::removeTeamIfIdle(const std::string &name)
{
    const auto it = m_teams.find(name);
    if (it != m_teams.end() && it->second.running == 0 && it->second.flows.empty())
        m_teams.erase(it);
}

void TaskQueue::addTasks(const Batch &batch, std::int64_t tasks)
{
    const auto &key = batch.flow->subqueue;
    // Unsigned sums wrap around, so that a negative number subtracts.
    const auto n = static_cast<std::uint32_t>(tasks);
    const auto work = batch.work * tasks;
    m_size += n;
    m_queuedOfClass[key.classIndex] += n;
    batch.flow->team->queued += n;
    if (batch.restriction) {
        const auto it = m_restrictedWork.try_emplace(*batch.restriction).first;
        it->second.tasks += n;
        addToBucket(it->second.work, workBucketOf(batch.due), work);
        if (it->second.tasks == 0)
            m_restrictedWork.erase(it);
    }
    if (batch.isProtected && !batch.isDemoted)
        m_protectedWork.add(batch.due, work);
    else
        addToBucket(m_work, workBucketOf(batch.due), work);
}

bool TaskQueue::hasReachedQuota(const Team &team)
{
    return team.quota && team.running >= *team.quota;
}

const std::map<TaskQueue::BatchKey, TaskQueue::Flow *> &TaskQueue::headsOf(const Subqueue &subqueue) const
{
    return subqueue.withinQuota.empty() ? subqueue.atQuota : subqueue.withinQuota;
}

} // namespace Citronpitch
