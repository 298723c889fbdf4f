#include "core/dispatch/dispatcherstate.h"

#include "core/dispatch/admission.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace Citronpitch {

namespace {

/// Number of target times by which a job that has missed its target is deferred, so that others can still
/// meet theirs.
constexpr int demotionFactor = 4;

/// Slack of a job in multiples of its unloaded time. Large jobs yield to small ones, which gain more than the
/// large ones lose.
constexpr int unloadedTimeFactor = 3;

/// The rules for contention end when the number of upstreams is below the limit by this fraction of it.
constexpr std::size_t contentionRulesHysteresis = 5;

/// Unit of ClassDeclaration::targetStretch.
constexpr int stretchUnit = 1000;

/// When at least one in this many slots is busy, tasks that can meet their target elsewhere leave the fast
/// upstreams free.
constexpr std::size_t busyDivisor = 2;
/// Fraction of the time to the target that the expected service time may take.
constexpr int targetMarginNumerator = 9;
constexpr int targetMarginDenominator = 10;

/// Minimum interval between rebuilds of a ranking for changed estimates.
constexpr Duration rankingInterval = std::chrono::milliseconds(20);
constexpr Duration boostUpdateInterval = std::chrono::milliseconds(100);

/// A job is shed when less than this fraction of the expected time of a task is left.
constexpr int infeasibleNumerator = 3;
constexpr int infeasibleDenominator = 4;

/// Multiple of the expected time at which an attempt on an upstream with few samples is overdue, and an
/// abandoned attempt counts as ended.
constexpr int overdueNumerator = 3;
constexpr int overdueDenominator = 2;

/// How long an upstream on trial accepts only jobs of a single task, since one failure wastes the work of a
/// whole job.
constexpr Duration singleTaskPeriod = std::chrono::seconds(5);

/// Idle upstreams are removed this long after their lease has expired.
constexpr Duration expiredUpstreamRetention = std::chrono::minutes(10);
constexpr Duration expiredUpstreamCheckInterval = std::chrono::minutes(1);

/// Backoff after a start that was declined or could not be sent; doubled for each consecutive one.
constexpr Duration firstDeclineBackoff = std::chrono::milliseconds(5);
constexpr std::uint32_t maximumBackoffDoublings = 7;

/// Smoothing factor of the moving average of needs.
constexpr double needSmoothing = 0.02;
/// Relative change of the average need above which the number of parallel tasks is recomputed.
constexpr double needChangeThreshold = 0.1;
/// One in this many parts of the typical need may be missing for a task to count as one that fits. Without it
/// an upstream of twice the need counts once or twice, as the average of recent needs varies.
constexpr std::uint32_t needSlackDivisor = 8;

/// Interval between updates of the forecast of capacity while the set of upstreams does not change.
constexpr Duration forecastInterval = std::chrono::milliseconds(10);
/// Accepted jobs may start this much later than planned before a new one is refused for their sake.
constexpr Duration startTolerance = std::chrono::milliseconds(5);

/// A task may be passed over by a larger one that is due at most this much later, so that less of an upstream
/// is left unused.
constexpr Duration packingWindow = std::chrono::milliseconds(40);
/// A task is not passed over from this time before it is due.
constexpr Duration packingAgeBound = std::chrono::milliseconds(10);

/// Factor by which the sums of measured and expected times decay with each task.
constexpr double timeDecay = 0.995;
/// Bounds of the ratio of measured to expected times.
constexpr double minimumTimeRatio = 0.8;
constexpr double maximumTimeRatio = 1.5;

/// Smoothing factor and lower bound of the share of the slots that can be used.
constexpr double usableSmoothing = 0.02;
constexpr double minimumUsableShare = 0.5;

/// How long after a job that requires a label the headroom for the label is reported.
constexpr Duration labelReportPeriod = std::chrono::seconds(10);
/// Limits the size of load reports, whatever labels callers require.
constexpr std::size_t maximumReportedLabels = 16;

/// Whether there is free capacity for any task.
bool hasFreeCapacity(const UpstreamEntry &entry)
{
    const auto free = entry.free();
    if (entry.total.slots > 0)
        return free.slots > 0;
    return free.resources.millicores > 0 || (entry.total.resources.millicores == 0 && !free.isEmpty());
}

void addAvoided(JobPlacementState &job, UpstreamIndex upstream)
{
    if (std::find(job.avoidedUpstreams.begin(), job.avoidedUpstreams.end(), upstream)
        == job.avoidedUpstreams.end())
        job.avoidedUpstreams.push_back(upstream);
}

} // namespace

Dispatcher::State::State(const DispatcherOptions &options)
    : options(options)
    , baseline(makeBaselineSelector(options.placement, options.seed))
    , queue([this](const QueuedJob &job) { return dueTime(job); },
            [this](const QueuedJob &job) { return demotedDueTime(job); },
            [this](const QueuedJob &job) { return lateTime(job); })
    , placer(upstreams)
{
}

bool Dispatcher::State::isBaseline() const
{
    return options.placement != PlacementPolicy::Target;
}

TimePoint Dispatcher::State::dueTime(const QueuedJob &job) const
{
    if (isBaseline())
        return {};
    if (job.isProtected)
        return latestStart(job);
    const auto &entry = classes.at(job.classIndex);
    if (!entry.hasTarget())
        return job.deadline;
    const auto target = targetTime(job);
    const auto unloadedTime = serviceTimes.isLearned(job.classIndex)
        ? job.unloadedTime
        : std::min(job.unloadedTime, entry.declaration.targetTime);
    const auto latest = std::max(target, job.deadline - unloadedTime);
    return std::min({target + unloadedTimeFactor * unloadedTime, latest, job.deadline});
}

TimePoint Dispatcher::State::targetTime(const QueuedJob &job) const
{
    const auto &declared = classes.at(job.classIndex).declaration;
    return job.arrival + declared.targetTime + job.unloadedTime * declared.targetStretch / stretchUnit;
}

bool Dispatcher::State::scalesWithJob(ClassIndex classIndex) const
{
    const auto &entry = classes.at(classIndex);
    return hasManyUpstreams && !isBaseline() && entry.isDeclared && !entry.declaration.retired
        && entry.declaration.targetStretch > 0;
}

bool Dispatcher::State::updateContentionRules()
{
    // Hysteresis keeps a few upstreams that come and go from switching the rules.
    const auto enter = options.contentionRulesUpstreams;
    const auto leave = enter - enter / contentionRulesHysteresis;
    hasManyUpstreams = upstreams.byName().size() >= (hasManyUpstreams ? leave : enter);
    const bool before = std::exchange(hasScalingClass, false);
    for (ClassIndex classIndex = 0; classIndex < classes.size(); ++classIndex)
        hasScalingClass = hasScalingClass || scalesWithJob(classIndex);
    return before != hasScalingClass;
}

TimePoint Dispatcher::State::latestStart(const QueuedJob &job) const
{
    return std::max(latestExpectedEnd(job) - job.longestTask, job.arrival);
}

TimePoint Dispatcher::State::lateTime(const QueuedJob &job) const
{
    return std::max(usefulUntil(job) - job.longestTask, job.arrival);
}

TimePoint Dispatcher::State::demotedDueTime(const QueuedJob &job) const
{
    if (job.isProtected)
        return job.deadline;
    const auto &entry = classes.at(job.classIndex);
    if (isBaseline() || !entry.hasTarget())
        return dueTime(job);
    const auto due = dueTime(job);
    const auto latest = std::max(due, job.deadline - job.unloadedTime);
    return std::min({due + demotionFactor * entry.declaration.targetTime, latest, job.deadline});
}

TimePoint Dispatcher::State::usefulUntil(const QueuedJob &job) const
{
    // Only a target that scales with the size of the job tells when an answer to that job is of little use.
    if (classes.at(job.classIndex).declaration.targetStretch == 0)
        return job.deadline;
    return std::min(job.deadline, targetTime(job));
}

TimePoint Dispatcher::State::latestExpectedEnd(const QueuedJob &job) const
{
    const auto until = usefulUntil(job);
    if (until == job.deadline)
        return until;
    return job.arrival + (until - job.arrival) * targetMarginNumerator / targetMarginDenominator;
}

QueuedJob Dispatcher::State::queuedJobOf(TimePoint now, ClassIndex classIndex,
                                         const Submission &submission) const
{
    QueuedJob job{classIndex, submission.team, now, submission.deadline};
    job.constraints = submission.constraints;
    Duration work{};
    for (const auto &it : submission.tasks) {
        const auto expected = serviceTimes.expected(classIndex, it.declaredTime);
        work += expected;
        job.longestTask = std::max(job.longestTask, expected);
    }
    job.work = work;
    const auto parallel = std::max(parallelTasksFor(submission.constraints), 1U);
    job.unloadedTime = std::max(job.longestTask, work / parallel);
    if (submission.constraints.maximumPerUpstream > 0) {
        const auto rounds = (submission.tasks.size() + parallel - 1) / parallel;
        job.unloadedTime = std::max(job.unloadedTime, job.longestTask * static_cast<std::int64_t>(rounds));
    }
    job.usefulUntil = usefulUntil(job);
    job.isProtected = scalesWithJob(classIndex) && serviceTimes.isLearned(classIndex);
    return job;
}

double Dispatcher::State::usableSlots() const
{
    return std::max(parallelTasks * usableShare, 1.0);
}

std::size_t Dispatcher::State::busySlots() const
{
    return attempts.size() + abandonedAttempts.size();
}

void Dispatcher::State::updateForecast(TimePoint now)
{
    if (now - forecastAt < forecastInterval && forecastSetVersion == upstreamSetVersion)
        return;
    forecastAt = now;
    forecastSetVersion = upstreamSetVersion;
    startedSinceForecast = {};
    forecast.rebuild(now, usableSlots(), expectedEnds({}));
}

std::vector<TimePoint> Dispatcher::State::expectedEnds(std::string_view label) const
{
    std::vector<TimePoint> ends;
    ends.reserve(busySlots());
    for (const auto &[id, it] : attempts.all()) {
        const auto &entry = upstreams.at(it.upstream);
        if (entry.parallelTasks > 0 && entry.announcement.incarnation == it.incarnation
            && entry.hasLabel(label))
            ends.push_back(it.expectedEnd);
    }
    for (const auto &[end, it] : abandonedAttempts) {
        const auto &entry = upstreams.at(it.upstream);
        if (entry.parallelTasks > 0 && entry.hasLabel(label))
            ends.push_back(end);
    }
    return ends;
}

void Dispatcher::State::forEachServing(std::string_view label,
                                       const std::function<void(const UpstreamEntry &)> &visit) const
{
    for (const auto &[name, upstream] : upstreams.byName()) {
        const auto &entry = upstreams.at(upstream);
        if (entry.parallelTasks > 0 && entry.hasLabel(label))
            visit(entry);
    }
}

std::uint32_t Dispatcher::State::parallelTasksFor(const PlacementConstraints &constraints) const
{
    if (constraints.isEmpty())
        return parallelTasks;
    std::uint32_t sum = 0;
    forEachServing(constraints.requiredLabel,
                   [&](const auto &it) { sum += constraints.limited(it.parallelTasks); });
    return sum;
}

void Dispatcher::State::forEachRestriction(
    const std::function<void(const RestrictedWork &work, std::uint32_t parallel)> &visit) const
{
    const std::string *label = nullptr;
    std::uint32_t parallelOfLabel = 0;
    std::uint64_t upstreamsOfLabel = 0;
    for (const auto &[key, it] : queue.restrictedWork()) {
        if (label == nullptr || *label != key.constraints.requiredLabel) {
            label = &key.constraints.requiredLabel;
            parallelOfLabel = 0;
            upstreamsOfLabel = 0;
            forEachServing(*label, [&](const auto &entry) {
                parallelOfLabel += entry.parallelTasks;
                ++upstreamsOfLabel;
            });
        }
        visit(it, key.constraints.limited(parallelOfLabel, upstreamsOfLabel));
    }
}

Duration Dispatcher::State::competingWork(TimePoint due) const
{
    const auto all = queue.workDueBefore(due);
    if (queue.restrictedWork().empty())
        return all;
    // How much restricted work competes depends on the wait, and the wait on that work.
    constexpr int iterations = 3;
    auto ahead = all;
    for (int i = 0; i < iterations; ++i) {
        const auto wait = ahead / std::max(parallelTasks, 1U);
        ahead = all;
        forEachRestriction([&](const RestrictedWork &it, std::uint32_t parallel) {
            ahead -= std::max(it.dueBefore(due) - wait * parallel, Duration());
        });
    }
    return ahead;
}

std::uint32_t Dispatcher::State::competingTasks() const
{
    auto n = queue.size();
    forEachRestriction([&](const RestrictedWork &it, std::uint32_t parallel) {
        n -= it.tasks - std::min(it.tasks, parallel);
    });
    return n;
}

void Dispatcher::State::recordLabel(TimePoint now, const std::string &label)
{
    std::erase_if(recentLabels, [&](const auto &it) { return it.second <= now; });
    if (recentLabels.size() >= maximumReportedLabels && !recentLabels.contains(label))
        recentLabels.erase(
            std::min_element(recentLabels.begin(), recentLabels.end(),
                             [](const auto &left, const auto &right) { return left.second < right.second; }));
    recentLabels[label] = now + labelReportPeriod;
}

Duration Dispatcher::State::labelledLateness(TimePoint now, const QueuedJob &job, std::size_t tasks,
                                             std::uint32_t parallel) const
{
    const double slots = std::max(parallel * usableShare, 1.0);
    const auto ends = expectedEnds(job.constraints.requiredLabel);
    const double idle =
        slots - static_cast<double>(ends.size() + queue.labelledTasks(job.constraints.requiredLabel));
    if (idle >= static_cast<double>(tasks))
        return {};
    CapacityForecast labelled;
    labelled.rebuild(now, slots, ends);
    const auto due = dueTime(job);
    const auto ahead =
        queue.labelledWorkDueBefore(job.constraints.requiredLabel, due) + job.work - job.longestTask / 2;
    const double timeRatio = std::clamp(measuredTime / expectedTime, minimumTimeRatio, maximumTimeRatio);
    const double excess =
        static_cast<double>(ahead.count()) * timeRatio - labelled.availableUntil(due + startTolerance);
    return Duration(static_cast<std::int64_t>(std::ceil(excess / slots)));
}

double Dispatcher::State::excessAt(std::int64_t number, Duration work) const
{
    const auto time = WorkTable::middleOf(number);
    const double timeRatio = std::clamp(measuredTime / expectedTime, minimumTimeRatio, maximumTimeRatio);
    auto ahead = work + queue.unprotectedWorkDueBefore(time) + startedSinceForecast;
    const auto length = std::max(time - forecastAt, Duration());
    forEachRestriction([&](const RestrictedWork &it, std::uint32_t parallel) {
        ahead -= std::max(it.dueBefore(time) - length * parallel, Duration());
    });
    return static_cast<double>(ahead.count()) * timeRatio - forecast.availableUntil(time + startTolerance);
}

Dispatcher::State::Lateness Dispatcher::State::expectedLateness(TimePoint now, const QueuedJob &job,
                                                                std::size_t tasks)
{
    const double idle = usableSlots() - static_cast<double>(busySlots() + competingTasks());
    if (idle >= static_cast<double>(tasks))
        return {};
    updateForecast(now);
    const auto own = WorkTable::bucketOf(dueTime(job));
    Duration ahead{};
    double excess = -1;
    bool isOwnChecked = false;
    bool isOfAccepted = false;
    // The last task of the job starts when the work before it has been started.
    const auto checkOwn = [&] {
        isOwnChecked = true;
        const auto start = WorkTable::middleOf(own);
        const double reserved = contention.isInEffect() ? classShares.slotsAhead(now, job.classIndex) : 0;
        excess = excessAt(own, ahead + job.work - job.longestTask / 2)
            + reserved * static_cast<double>((start - now).count());
    };
    for (const auto &it : queue.protectedWork().buckets()) {
        if (!isOwnChecked && it.number > own)
            checkOwn();
        if (excess > 0)
            break;
        ahead += it.work;
        if (it.number > own) {
            excess = excessAt(it.number, ahead + job.work);
            isOfAccepted = true;
        }
    }
    if (!isOwnChecked)
        checkOwn();
    return {Duration(static_cast<std::int64_t>(std::ceil(excess / usableSlots()))), isOfAccepted};
}

void Dispatcher::State::shedUnreachable(TimePoint now)
{
    forecastSetVersion = 0;
    updateForecast(now);
    while (true) {
        Duration ahead{};
        std::optional<std::int64_t> exceeded;
        double excess = 0;
        for (const auto &it : queue.protectedWork().buckets()) {
            ahead += it.work;
            excess = excessAt(it.number, ahead);
            if (excess > 0) {
                exceeded = it.number;
                break;
            }
        }
        if (!exceeded)
            return;
        auto waiting = queue.protectedJobs(*exceeded);
        std::erase_if(waiting, [&](const auto &it) { return !jobs.at(it.job).startsPerRack.empty(); });
        if (waiting.empty())
            return;
        // First those that yield to others, then those that have waited the shortest time.
        std::sort(waiting.begin(), waiting.end(), [&](const auto &left, const auto &right) {
            const bool isLeftFirst = classShares.yields(left.classIndex, right.classIndex);
            const bool isRightFirst = classShares.yields(right.classIndex, left.classIndex);
            return std::tuple(!isLeftFirst, right.arrival, right.job)
                < std::tuple(!isRightFirst, left.arrival, left.job);
        });
        for (const auto &it : waiting) {
            if (excess <= 0)
                break;
            excess -= static_cast<double>(it.work.count());
            ++admission.shedForCapacity;
            shed(it.job);
        }
    }
}

void Dispatcher::State::updateContention(TimePoint now)
{
    const bool isWaiting = queue.size() > 0 && unmetNeed.has_value();
    contention.update(now, isWaiting);
    if (parallelTasks == 0)
        return;
    const double share = static_cast<double>(busySlots()) / parallelTasks;
    if (!isWaiting && share <= usableShare)
        return;
    usableShare = std::clamp(usableShare + usableSmoothing * (share - usableShare), minimumUsableShare, 1.0);
}

void Dispatcher::State::recordNeeds(TimePoint now, const Submission &submission)
{
    for (const auto &it : submission.tasks) {
        const double millicores = it.need.millicores > 0 ? it.need.millicores : defaultMillicores;
        meanMillicores =
            meanMillicores > 0 ? meanMillicores + needSmoothing * (millicores - meanMillicores) : millicores;
    }
    const double typical = typicalMillicores;
    if (meanMillicores <= 0 || std::abs(meanMillicores - typical) <= needChangeThreshold * typical)
        return;
    typicalMillicores = static_cast<std::uint32_t>(meanMillicores);
    updateAllUpstreams(now);
}

std::uint32_t Dispatcher::State::parallelTasksOf(const Capacity &usable) const
{
    if (usable.slots > 0)
        return usable.slots;
    return std::max(tasksWithin(usable.resources), usable.isEmpty() ? 0U : 1U);
}

std::uint32_t Dispatcher::State::tasksWithin(const Resources &resources) const
{
    const auto slack = hasScalingClass ? typicalMillicores / needSlackDivisor : 0;
    return (resources.millicores + slack) / typicalMillicores;
}

std::uint32_t Dispatcher::State::freeTasksOf(const UpstreamEntry &entry) const
{
    const auto n = entry.parallelTasks - std::min(entry.parallelTasks, entry.inFlight);
    if (!hasScalingClass || entry.total.slots > 0 || entry.total.resources.millicores == 0)
        return n;
    return std::min(n, tasksWithin(entry.free().resources));
}

void Dispatcher::State::updateUpstream(TimePoint now, UpstreamIndex upstream)
{
    auto &entry = upstreams.at(upstream);
    const bool isInService = entry.isInService(now) && !entry.isPaused;
    const auto limit = isBaseline() ? std::nullopt : health.taskLimit(upstream);
    const auto usable = isInService ? parallelTasksOf(entry.usable) : 0;
    const auto newParallelTasks = limit ? std::min(usable, *limit) : usable;
    const bool isFree = newParallelTasks > 0 && entry.blockedUntil <= now && hasFreeCapacity(entry)
        && (!limit || entry.inFlight < *limit);
    if (newParallelTasks != entry.parallelTasks) {
        hasCapacityFallen = hasCapacityFallen || newParallelTasks < entry.parallelTasks;
        parallelTasks += newParallelTasks - entry.parallelTasks;
        entry.parallelTasks = newParallelTasks;
        ++upstreamSetVersion;
    }
    if (isFree == entry.isFree)
        return;
    entry.isFree = isFree;
    freeUpstreams += isFree ? 1 : -1;
    for (ClassIndex classIndex = 0; classIndex < classes.size(); ++classIndex)
        classes.at(classIndex).ranking.setFree(upstream, isFree);
}

void Dispatcher::State::updateAllUpstreams(TimePoint now)
{
    for (const auto &[name, upstream] : upstreams.byName()) {
        auto &entry = upstreams.at(upstream);
        entry.usable = usableCapacity(upstream);
        updateUpstream(now, upstream);
    }
}

Capacity Dispatcher::State::usableCapacity(UpstreamIndex upstream) const
{
    auto usable = usableWithoutBorrowed(upstream);
    usable += loans.borrowed(upstream);
    return usable;
}

Capacity Dispatcher::State::usableWithoutBorrowed(UpstreamIndex upstream) const
{
    auto usable = share.shareOf(upstreams.at(upstream));
    usable -= loans.lent(upstream);
    return usable;
}

Capacity Dispatcher::State::borrowedInUse(UpstreamIndex upstream) const
{
    auto used = upstreams.at(upstream).used;
    used -= usableWithoutBorrowed(upstream);
    return used;
}

void Dispatcher::State::releaseRecalled(TimePoint now)
{
    if (loans.releaseRecalled([this](UpstreamIndex upstream) { return borrowedInUse(upstream); }))
        updateAllUpstreams(now);
}

std::vector<UpstreamCapacity>
Dispatcher::State::toUpstreamCapacities(const std::vector<LoanedCapacity> &from) const
{
    std::vector<UpstreamCapacity> list;
    for (const auto &it : from) {
        const auto upstream = upstreams.find(it.upstream);
        if (upstream && upstreams.at(*upstream).announcement.incarnation == it.incarnation)
            list.push_back({*upstream, {it.slots, it.resources}});
    }
    return list;
}

std::vector<LoanedCapacity>
Dispatcher::State::toLoanedCapacities(const std::vector<UpstreamCapacity> &from) const
{
    std::vector<LoanedCapacity> list;
    for (const auto &it : from) {
        const auto &announcement = upstreams.at(it.upstream).announcement;
        list.push_back(
            {announcement.name, announcement.incarnation, it.capacity.slots, it.capacity.resources});
    }
    return list;
}

void Dispatcher::State::lendIdle(const std::string &vm, std::uint32_t tasks, const Resources &need)
{
    struct Offer
    {
        Duration time;
        UpstreamIndex upstream;
    };
    std::vector<Offer> offers;
    for (const auto &[name, upstream] : upstreams.byName()) {
        if (upstreams.at(upstream).isFree && !health.taskLimit(upstream))
            offers.push_back({serviceTimes.typicalTime(upstream), upstream});
    }
    std::sort(offers.begin(), offers.end(), [](const auto &left, const auto &right) {
        return std::tie(left.time, left.upstream) < std::tie(right.time, right.upstream);
    });
    for (const auto &it : offers) {
        const auto &entry = upstreams.at(it.upstream);
        const auto cost = costOf(need, entry.total);
        auto idle = usableWithoutBorrowed(it.upstream);
        idle -= entry.used;
        Capacity offered;
        for (; tasks > 0 && idle.contains(cost); --tasks) {
            idle -= cost;
            offered += cost;
        }
        if (!offered.isEmpty())
            loans.lend(vm, {it.upstream, offered});
    }
}

void Dispatcher::State::processTimers(TimePoint now)
{
    while (!wakeups.empty() && wakeups.begin()->first <= now) {
        const auto upstream = wakeups.begin()->second;
        wakeups.erase(wakeups.begin());
        if (health.endBackoff(now, upstream))
            wakeups.emplace(now + singleTaskPeriod, upstream);
        if (health.state(upstream) != UpstreamState::Serving)
            ++upstreamSetVersion;
        updateUpstream(now, upstream);
    }
    while (!abandonedAttempts.empty() && abandonedAttempts.begin()->first <= now) {
        release(now, abandonedAttempts.begin()->second);
        abandonedAttempts.erase(abandonedAttempts.begin());
    }
    if (loans.expire(now))
        updateAllUpstreams(now);
    for (const auto &it : attempts.takeOverdue(now)) {
        serviceTimes.recordStillRunning(now, it.classIndex, it.upstream, it.declared, now - it.startedAt);
        classes.at(it.classIndex).isRankingStale = true;
    }
    for (const auto &it : attempts.takeStuck(now))
        observe(now, it, HealthSignal::Stuck);
    if (now - expiredUpstreamsRemovedAt < expiredUpstreamCheckInterval)
        return;
    expiredUpstreamsRemovedAt = now;
    for (const auto it : upstreams.removeExpired(now - expiredUpstreamRetention)) {
        health.remove(it);
        loans.removeUpstream(it);
        serviceTimes.removeUpstream(it);
        ++upstreamSetVersion;
    }
    if (updateContentionRules())
        updateAllUpstreams(now);
}

void Dispatcher::State::updateBoosts(TimePoint now)
{
    if (now - boostsUpdatedAt < boostUpdateInterval)
        return;
    boostsUpdatedAt = now;
    for (ClassIndex classIndex = 0; classIndex < classes.size(); ++classIndex) {
        const auto &entry = classes.at(classIndex);
        const auto boost = entry.hasTarget() && !scalesWithJob(classIndex)
            ? entry.burnRate.priorityBoost(now, entry.declaration)
            : Duration();
        queue.setBoost(classIndex, boost);
    }
}

const UpstreamRanking &Dispatcher::State::rankingOf(TimePoint now, ClassIndex classIndex)
{
    auto &entry = classes.at(classIndex);
    const bool isStale = entry.isRankingStale && now - entry.rankedAt >= rankingInterval;
    if (!isStale && entry.rankedSetVersion == upstreamSetVersion)
        return entry.ranking;
    std::vector<RankedUpstream> ranked;
    ranked.reserve(upstreams.byName().size());
    for (const auto &[name, upstream] : upstreams.byName()) {
        const auto &it = upstreams.at(upstream);
        if (it.parallelTasks == 0)
            continue;
        const bool isOnTrial = health.state(upstream) != UpstreamState::Serving;
        const auto time = isOnTrial ? Duration() : serviceTimes.expected(now, classIndex, upstream, {});
        const bool isSingleTaskOnly = isOnTrial && now < health.backoffUntil(upstream) + singleTaskPeriod;
        ranked.push_back({upstream, time, it.rack, it.parallelTasks, it.isFree, isSingleTaskOnly});
    }
    entry.ranking.rebuild(std::move(ranked));
    entry.rankedAt = now;
    entry.isRankingStale = false;
    entry.rankedSetVersion = upstreamSetVersion;
    return entry.ranking;
}

bool Dispatcher::State::isContended(JobId job) const
{
    const std::size_t ownTasks = jobs.at(job).tasks;
    const auto &constraints = jobs.at(job).constraints;
    if (!constraints.requiredLabel.empty()) {
        const std::size_t queued = queue.labelledTasks(constraints.requiredLabel);
        const auto others = queued - std::min(queued, ownTasks);
        const auto parallel = parallelTasksFor(constraints);
        if (parallel > 0 && others + expectedEnds(constraints.requiredLabel).size() >= parallel)
            return true;
    }
    const std::size_t competing = competingTasks();
    const auto queuedOfOthers = competing - std::min(competing, ownTasks);
    return parallelTasks > 0
        && static_cast<double>(queuedOfOthers + busySlots())
        >= (hasScalingClass ? usableSlots() : static_cast<double>(parallelTasks));
}

bool Dispatcher::State::isInfeasible(TimePoint now, const SubqueueHead &head) const
{
    if (head.deadline <= now)
        return true;
    const auto &job = *queue.findJob(head.job);
    const bool isUnderContention =
        isContended(head.job) || (contention.isInEffect() && scalesWithJob(head.subqueue.classIndex));
    if (isBaseline() || !isUnderContention || !serviceTimes.isLearned(head.subqueue.classIndex)
        || !jobs.at(head.job).startsPerRack.empty())
        return false;
    if (head.isLate && scalesWithJob(head.subqueue.classIndex))
        return true;
    // The longest task decides when the job ends, and as at admission a margin covers slow upstreams.
    if (job.usefulUntil < head.deadline && now + job.longestTask > latestExpectedEnd(job))
        return true;
    return isOutOfReach(now, serviceTimes.expected(head.subqueue.classIndex, {}), head.deadline);
}

bool Dispatcher::State::isOutOfReach(TimePoint now, Duration time, TimePoint deadline)
{
    return now + time * infeasibleNumerator / infeasibleDenominator > deadline;
}

void Dispatcher::State::shed(JobId job)
{
    queue.dropTasks(job);
    shedJobs.push_back(job);
}

std::optional<Placement> Dispatcher::State::tryStart(TimePoint now, const SubqueueHead &head)
{
    if (isBaseline()) {
        const auto upstream = chooseForBaseline(head);
        return upstream ? std::optional(start(now, head, *upstream)) : std::nullopt;
    }
    const auto &ranking = rankingOf(now, head.subqueue.classIndex);
    if (const auto maximumTime = sufficientServiceTime(now, head)) {
        if (const auto upstream =
                placer.chooseSufficient(ranking, head.need, jobs.at(head.job), *maximumTime))
            return startFilling(now, head, *upstream);
    }
    const auto choice = placer.choose(ranking, head.need, jobs.at(head.job), 1);
    if (choice.outcome == PlacementOutcome::Start)
        return startFilling(now, head, choice.upstream);
    if (choice.outcome == PlacementOutcome::NoFreeUpstream) {
        if (!choice.hasRoom)
            return std::nullopt;
        if (const auto other = bestFilling(now, head, choice.upstream, false))
            return start(now, *other, choice.upstream);
        reserveFor(head, choice.upstream);
        return std::nullopt;
    }
    const auto last = queue.leastUrgent(head.subqueue);
    if (last.deadline <= now)
        return std::nullopt;
    const auto other = placer.choose(ranking, last.need, jobs.at(last.job), queue.size());
    return other.outcome == PlacementOutcome::Start ? std::optional(start(now, last, other.upstream))
                                                    : std::nullopt;
}

void Dispatcher::State::skip(const SubqueueHead &head)
{
    if (placer.isHeldByLimit(head.need, jobs.at(head.job)))
        queue.skipTasks(head);
    else
        queue.skip(head.subqueue);
}

void Dispatcher::State::reserveFor(const SubqueueHead &head, UpstreamIndex upstream)
{
    const auto &total = upstreams.at(upstream).total;
    if (!head.subqueue.requiredLabel.empty() && total.contains(costOf(head.need, total)))
        placer.reserve(upstream);
}

std::optional<SubqueueHead> Dispatcher::State::bestFilling(TimePoint now, const SubqueueHead &head,
                                                           UpstreamIndex upstream, bool fits) const
{
    const auto &entry = upstreams.at(upstream);
    const bool isPacking = contention.isInEffect() && scalesWithJob(head.subqueue.classIndex)
        && entry.total.slots == 0 && !health.taskLimit(upstream);
    // A task that has waited until its due time is not passed over any more where it fits.
    if (!isPacking || (fits && head.due - now < packingAgeBound))
        return fits ? std::optional(head) : std::nullopt;
    const auto dueBy = fits ? head.due + packingWindow : TimePoint::max();
    const auto other =
        queue.largest(head, entry.free().resources.millicores, dueBy, [&](const SubqueueHead &candidate) {
            return placer.isSuitable(upstream, candidate.need, jobs.at(candidate.job));
        });
    if (!fits)
        return other;
    return other && other->need.millicores > head.need.millicores ? other : std::optional(head);
}

Placement Dispatcher::State::startFilling(TimePoint now, const SubqueueHead &head, UpstreamIndex upstream)
{
    return start(now, bestFilling(now, head, upstream, true).value_or(head), upstream);
}

std::optional<Duration> Dispatcher::State::sufficientServiceTime(TimePoint now,
                                                                 const SubqueueHead &head) const
{
    const auto classIndex = head.subqueue.classIndex;
    const auto &declared = classes.at(classIndex).declaration;
    const bool isBusy = attempts.size() * busyDivisor >= parallelTasks;
    if (declared.targetStretch == 0 || !isBusy || !serviceTimes.isLearned(classIndex))
        return std::nullopt;
    const auto &job = *queue.findJob(head.job);
    const auto typical = serviceTimes.expected(classIndex, {});
    const auto target = job.arrival + declared.targetTime + typical * declared.targetStretch / stretchUnit;
    return serviceTimeLimit(classIndex, target - now, job.deadline - now);
}

Duration Dispatcher::State::serviceTimeLimit(ClassIndex classIndex, Duration toTarget,
                                             Duration toDeadline) const
{
    const auto forTarget = toTarget * targetMarginNumerator / targetMarginDenominator;
    const auto forDeadline = Duration(static_cast<std::int64_t>(static_cast<double>(toDeadline.count())
                                                                / serviceTimes.p90Factor(classIndex)));
    return std::min(forTarget, forDeadline);
}

std::uint32_t Dispatcher::State::headroomOf(TimePoint now, ClassIndex classIndex) const
{
    const auto &entry = classes.at(classIndex);
    const auto toTarget = entry.declaration.targetTime
        + serviceTimes.expected(classIndex, {}) * entry.declaration.targetStretch / stretchUnit;
    const auto maximumTime = serviceTimeLimit(classIndex, toTarget, entry.lastTimeToDeadline);
    std::uint32_t slots = 0;
    for (const auto &[name, upstream] : upstreams.byName()) {
        const auto &it = upstreams.at(upstream);
        if (!it.isFree)
            continue;
        const auto n = freeTasksOf(it);
        if (n > 0 && serviceTimes.expected(now, classIndex, upstream, {}) <= maximumTime)
            slots += n;
    }
    return slots;
}

std::optional<UpstreamIndex> Dispatcher::State::chooseForBaseline(const SubqueueHead &head) const
{
    const auto &job = jobs.at(head.job);
    std::vector<BaselineCandidate> candidates;
    std::vector<UpstreamIndex> indexes;
    std::size_t position = 0;
    for (const auto &[name, upstream] : upstreams.byName()) {
        ++position;
        const auto &entry = upstreams.at(upstream);
        if (!entry.isFree || !placer.mayTake(upstream, head.need, job))
            continue;
        candidates.push_back({position, entry.inFlight});
        indexes.push_back(upstream);
    }
    return indexes.empty() ? std::nullopt : std::optional(indexes[baseline(candidates)]);
}

Placement Dispatcher::State::start(TimePoint now, const SubqueueHead &head, UpstreamIndex upstream)
{
    auto &entry = upstreams.at(upstream);
    auto &job = jobs.at(head.job);
    const auto task = queue.take(head);
    InFlightAttempt attempt;
    attempt.job = head.job;
    attempt.classIndex = head.subqueue.classIndex;
    attempt.team = queue.findJob(head.job)->team;
    attempt.upstream = upstream;
    attempt.incarnation = entry.announcement.incarnation;
    attempt.cost = costOf(head.need, entry.total);
    attempt.declared = job.declaredTimes[task];
    attempt.startedAt = now;
    attempt.stuckAt = now + serviceTimes.stuckTimeout(now, attempt.classIndex, upstream, attempt.declared);
    if (serviceTimes.hasFewSamples(upstream)) {
        const auto expected = serviceTimes.expected(attempt.classIndex, attempt.declared);
        attempt.overdueAt = now + expected * overdueNumerator / overdueDenominator;
    }
    const auto ranked = classes.at(attempt.classIndex).ranking.timeOn(upstream);
    attempt.expectedEnd = now + (ranked > Duration() ? ranked : head.work);
    startedSinceForecast += head.work;
    queue.taskStarted(attempt.team);
    retryBudget.recordStart();
    entry.used += attempt.cost;
    ++entry.inFlight;
    if (entry.rack >= job.startsPerRack.size())
        job.startsPerRack.resize(entry.rack + 1);
    ++job.startsPerRack[entry.rack];
    const auto id = attempts.add(attempt);
    job.openAttempts.push_back(id);
    if (job.constraints.maximumPerUpstream > 0)
        ++job.attemptsPerUpstream[upstream];
    updateUpstream(now, upstream);
    const auto &announcement = entry.announcement;
    return {head.job, task, id, announcement.name, announcement.address, announcement.port};
}

void Dispatcher::State::release(TimePoint now, const InFlightAttempt &attempt)
{
    auto &entry = upstreams.at(attempt.upstream);
    if (entry.announcement.incarnation != attempt.incarnation)
        return;
    entry.used -= attempt.cost;
    entry.inFlight -= entry.inFlight > 0 ? 1 : 0;
    updateUpstream(now, attempt.upstream);
}

TimePoint Dispatcher::State::expectedEnd(TimePoint now, const InFlightAttempt &attempt) const
{
    return attempt.startedAt
        + serviceTimes.expected(now, attempt.classIndex, attempt.upstream, attempt.declared)
        * overdueNumerator / overdueDenominator;
}

void Dispatcher::State::learn(TimePoint now, const InFlightAttempt &attempt, const AttemptResult &result)
{
    if (result.outcome == AttemptOutcome::Stopped)
        return;
    auto &entry = upstreams.at(attempt.upstream);
    if (result.outcome == AttemptOutcome::Answered) {
        learnFromAnswer(now, attempt, result.status);
        return;
    }
    const auto job = jobs.find(attempt.job);
    if (job != jobs.end())
        addAvoided(job->second, attempt.upstream);
    if (result.outcome != AttemptOutcome::Broken) {
        entry.blockedUntil = now
            + firstDeclineBackoff * (1U << std::min(entry.consecutiveDeclines++, maximumBackoffDoublings));
        wakeups.emplace(entry.blockedUntil, attempt.upstream);
    }
    if (result.outcome != AttemptOutcome::Declined && !attempt.isAbandoned)
        observe(now, attempt, HealthSignal::ConnectionFailed);
}

void Dispatcher::State::learnFromAnswer(TimePoint now, const InFlightAttempt &attempt, int status)
{
    upstreams.at(attempt.upstream).consecutiveDeclines = 0;
    const bool hasSucceeded = isSuccess(status);
    if (hasSucceeded) {
        serviceTimes.recordSuccess(now, attempt.classIndex, attempt.upstream, attempt.declared,
                                   now - attempt.startedAt);
        classes.at(attempt.classIndex).isRankingStale = true;
        measuredTime = measuredTime * timeDecay + static_cast<double>((now - attempt.startedAt).count());
        expectedTime =
            expectedTime * timeDecay + static_cast<double>((attempt.expectedEnd - attempt.startedAt).count());
        const auto job = jobs.find(attempt.job);
        if (job != jobs.end())
            ++job->second.succeeded;
    }
    observe(now, attempt, hasSucceeded ? HealthSignal::Succeeded : HealthSignal::TaskFailed);
}

void Dispatcher::State::observe(TimePoint now, const InFlightAttempt &attempt, HealthSignal signal)
{
    if (upstreams.at(attempt.upstream).announcement.incarnation != attempt.incarnation)
        return;
    if (!health.observe(now, attempt.upstream, attempt.classIndex, signal))
        return;
    ++upstreamSetVersion;
    if (health.state(attempt.upstream) == UpstreamState::Ejected)
        wakeups.emplace(health.backoffUntil(attempt.upstream), attempt.upstream);
    updateUpstream(now, attempt.upstream);
}

} // namespace Citronpitch
