#include "core/dispatch/dispatcherstate.h"

#include "core/dispatch/admission.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace Citronpitch {

namespace {

/// Target times by which work is put off that has missed its target, so that other work can still meet its
/// own.
constexpr int lateFactor = 4;

/// Slack of a job in multiples of the time that it takes alone: large jobs give way to small ones, which gain
/// more by it than the large ones lose.
constexpr int aloneFactor = 3;

/// Unit of ClassDeclaration::targetStretch.
constexpr int stretchUnit = 1000;

/// An answer that takes this many times the target is of little use; under load, places go to other work.
constexpr int usefulFactor = 3;

/// From one busy place in this many on, work leaves the fast upstreams to work that needs them.
constexpr std::size_t busyDivisor = 2;
/// Part of the time to the target that a task may be expected to take.
constexpr int marginNumerator = 9;
constexpr int marginDenominator = 10;

/// How often estimates are taken over into a ranking.
constexpr Duration rankingPeriod = std::chrono::milliseconds(20);
constexpr Duration advancePeriod = std::chrono::milliseconds(100);

/// A job is given up when not even this part of its expected time is left.
constexpr int hopelessNumerator = 3;
constexpr int hopelessDenominator = 4;

/// Multiple of the expected time at which an attempt on a little known upstream counts as late.
constexpr int lateNumerator = 3;
constexpr int lateDenominator = 2;

/// How long an upstream on trial takes single tasks alone before it takes any.
constexpr Duration singlesPeriod = std::chrono::seconds(5);

/// Upstreams whose lease ended this long ago are forgotten.
constexpr Duration upstreamMemory = std::chrono::minutes(10);
constexpr Duration forgetPeriod = std::chrono::minutes(1);

/// Pause after a start that an upstream declined or that could not be sent; doubled each time in a row.
constexpr Duration firstPause = std::chrono::milliseconds(5);
constexpr std::uint32_t pauseDoublings = 7;

/// Weight of one task in the mean need.
constexpr double needWeight = 0.02;
/// Change of the mean need, in parts of it, from which parallel work is counted anew.
constexpr double needChange = 0.1;

/// Whether any task could fit into what is left.
bool hasRoom(const UpstreamEntry &entry)
{
    const auto free = entry.free();
    if (entry.whole.slots > 0)
        return free.slots > 0;
    return free.resources.millicores > 0 || (entry.whole.resources.millicores == 0 && !free.isEmpty());
}

void addAvoided(JobTrace &job, UpstreamIndex upstream)
{
    if (std::find(job.avoided.begin(), job.avoided.end(), upstream) == job.avoided.end())
        job.avoided.push_back(upstream);
}

} // namespace

Dispatcher::State::State(const DispatcherOptions &options)
    : options(options)
    , baseline(baselineChoice(options.placement, options.seed))
    , queue([this](const QueuedJob &job) { return dueTime(job); },
            [this](const QueuedJob &job) { return lateDueTime(job); })
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
    const auto &entry = classes.at(job.of);
    if (!entry.hasTarget())
        return job.deadline;
    const auto target = targetTime(job);
    const auto alone =
        times.isLearned(job.of) ? job.alone : std::min(job.alone, entry.declaration.targetTime);
    const auto latest = std::max(target, job.deadline - alone);
    return std::min({target + aloneFactor * alone, latest, job.deadline});
}

TimePoint Dispatcher::State::targetTime(const QueuedJob &job) const
{
    const auto &declared = classes.at(job.of).declaration;
    return job.arrival + declared.targetTime + job.alone * declared.targetStretch / stretchUnit;
}

TimePoint Dispatcher::State::lateDueTime(const QueuedJob &job) const
{
    const auto &entry = classes.at(job.of);
    if (isBaseline() || !entry.hasTarget())
        return dueTime(job);
    const auto due = dueTime(job);
    const auto latest = std::max(due, job.deadline - job.alone);
    return std::min({due + lateFactor * entry.declaration.targetTime, latest, job.deadline});
}

TimePoint Dispatcher::State::usefulUntil(const QueuedJob &job) const
{
    // Classes whose target grows with the job say how late is late for each job.
    if (classes.at(job.of).declaration.targetStretch == 0)
        return job.deadline;
    return std::min(job.deadline, job.arrival + usefulFactor * (targetTime(job) - job.arrival));
}

Duration Dispatcher::State::aloneTime(ClassIndex of, const Submission &submission) const
{
    Duration work{};
    Duration longest{};
    for (const auto &it : submission.tasks) {
        const auto expected = times.expected(of, it.declaredTime);
        work += expected;
        longest = std::max(longest, expected);
    }
    return std::max(longest, work / std::max(parallel, 1U));
}

void Dispatcher::State::noteNeeds(TimePoint now, const Submission &submission)
{
    for (const auto &it : submission.tasks) {
        const double millicores = it.need.millicores > 0 ? it.need.millicores : defaultMillicores;
        meanMillicores =
            meanMillicores > 0 ? meanMillicores + needWeight * (millicores - meanMillicores) : millicores;
    }
    const double usual = usualMillicores;
    if (meanMillicores <= 0 || std::abs(meanMillicores - usual) <= needChange * usual)
        return;
    usualMillicores = static_cast<std::uint32_t>(meanMillicores);
    refreshAll(now);
}

std::uint32_t Dispatcher::State::parallelOf(const Capacity &own) const
{
    if (own.slots > 0)
        return own.slots;
    return std::max(own.resources.millicores / usualMillicores, own.isEmpty() ? 0U : 1U);
}

void Dispatcher::State::refresh(TimePoint now, UpstreamIndex upstream)
{
    auto &entry = upstreams.at(upstream);
    const bool isInService =
        !entry.announcement.leaving && !entry.isPaused && entry.announcement.leaseDeadline > now;
    const auto limit = isBaseline() ? std::nullopt : health.taskLimit(upstream);
    const auto own = isInService ? parallelOf(entry.own) : 0;
    const auto newParallel = limit ? std::min(own, *limit) : own;
    const bool isFree =
        newParallel > 0 && entry.blockedUntil <= now && hasRoom(entry) && (!limit || entry.busy < *limit);
    if (newParallel != entry.parallel) {
        parallel += newParallel - entry.parallel;
        entry.parallel = newParallel;
        ++upstreamSet;
    }
    if (isFree == entry.isFree)
        return;
    entry.isFree = isFree;
    freeUpstreams += isFree ? 1 : -1;
    for (ClassIndex of = 0; of < classes.size(); ++of)
        classes.at(of).ranking.setFree(upstream, isFree);
}

void Dispatcher::State::refreshAll(TimePoint now)
{
    for (const auto &[name, upstream] : upstreams.byName()) {
        auto &entry = upstreams.at(upstream);
        entry.own = ownCapacity(upstream);
        refresh(now, upstream);
    }
}

Capacity Dispatcher::State::ownCapacity(UpstreamIndex upstream) const
{
    auto own = ownWithoutBorrowed(upstream);
    own += loans.borrowed(upstream);
    return own;
}

Capacity Dispatcher::State::ownWithoutBorrowed(UpstreamIndex upstream) const
{
    auto own = share.base(upstreams.at(upstream));
    own -= loans.lent(upstream);
    return own;
}

Capacity Dispatcher::State::borrowedInUse(UpstreamIndex upstream) const
{
    auto used = upstreams.at(upstream).used;
    used -= ownWithoutBorrowed(upstream);
    return used;
}

void Dispatcher::State::releaseRecalled(TimePoint now)
{
    if (loans.releaseRecalled([this](UpstreamIndex upstream) { return borrowedInUse(upstream); }))
        refreshAll(now);
}

std::vector<UpstreamCapacity> Dispatcher::State::loansFrom(const std::vector<LoanedCapacity> &from) const
{
    std::vector<UpstreamCapacity> list;
    for (const auto &it : from) {
        const auto upstream = upstreams.find(it.upstream);
        if (upstream && upstreams.at(*upstream).announcement.incarnation == it.incarnation)
            list.push_back({*upstream, {it.slots, it.resources}});
    }
    return list;
}

std::vector<LoanedCapacity> Dispatcher::State::loansTo(const std::vector<UpstreamCapacity> &from) const
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
            offers.push_back({times.speed(upstream), upstream});
    }
    std::sort(offers.begin(), offers.end(), [](const auto &left, const auto &right) {
        return std::tie(left.time, left.upstream) < std::tie(right.time, right.upstream);
    });
    for (const auto &it : offers) {
        const auto &entry = upstreams.at(it.upstream);
        const auto cost = costOf(need, entry.whole);
        auto idle = ownWithoutBorrowed(it.upstream);
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

void Dispatcher::State::passTime(TimePoint now)
{
    while (!wakeups.empty() && wakeups.begin()->first <= now) {
        const auto upstream = wakeups.begin()->second;
        wakeups.erase(wakeups.begin());
        if (health.passTime(now, upstream))
            wakeups.emplace(now + singlesPeriod, upstream);
        if (health.state(upstream) != UpstreamState::Serving)
            ++upstreamSet;
        refresh(now, upstream);
    }
    while (!lingering.empty() && lingering.begin()->first <= now) {
        release(now, lingering.begin()->second);
        lingering.erase(lingering.begin());
    }
    if (loans.expire(now))
        refreshAll(now);
    for (const auto &it : attempts.takeLate(now)) {
        times.stillRuns(now, it.of, it.upstream, it.declared, now - it.startedAt);
        classes.at(it.of).isRankingOld = true;
    }
    for (const auto &it : attempts.takeStuck(now))
        observe(now, it, HealthSign::Stuck);
    if (now - forgottenAt < forgetPeriod)
        return;
    forgottenAt = now;
    for (const auto it : upstreams.forget(now - upstreamMemory)) {
        health.remove(it);
        loans.forgetUpstream(it);
        times.forgetUpstream(it);
        ++upstreamSet;
    }
}

void Dispatcher::State::updateAdvances(TimePoint now)
{
    if (now - advancesUpdatedAt < advancePeriod)
        return;
    advancesUpdatedAt = now;
    for (ClassIndex of = 0; of < classes.size(); ++of) {
        const auto &entry = classes.at(of);
        const auto advance = entry.hasTarget() ? entry.burn.advance(now, entry.declaration) : Duration();
        queue.setAdvance(of, advance);
    }
}

const UpstreamRanking &Dispatcher::State::rankingOf(TimePoint now, ClassIndex of)
{
    auto &entry = classes.at(of);
    const bool isOld = entry.isRankingOld && now - entry.rankedAt >= rankingPeriod;
    if (!isOld && entry.rankedSet == upstreamSet)
        return entry.ranking;
    std::vector<RankedUpstream> ranked;
    ranked.reserve(upstreams.byName().size());
    for (const auto &[name, upstream] : upstreams.byName()) {
        const auto &it = upstreams.at(upstream);
        if (it.parallel == 0)
            continue;
        const bool isOnTrial = health.state(upstream) != UpstreamState::Serving;
        const auto time = isOnTrial ? Duration() : times.expected(now, of, upstream, {});
        const bool isForSingles = isOnTrial && now < health.backoffUntil(upstream) + singlesPeriod;
        ranked.push_back({upstream, time, it.rack, it.parallel, it.isFree, isForSingles});
    }
    entry.ranking.rebuild(std::move(ranked));
    entry.rankedAt = now;
    entry.isRankingOld = false;
    entry.rankedSet = upstreamSet;
    return entry.ranking;
}

bool Dispatcher::State::isContended(JobId job) const
{
    const std::size_t ownTasks = jobs.at(job).tasks;
    const auto waitingOfOthers = queue.size() - std::min<std::size_t>(queue.size(), ownTasks);
    return parallel > 0 && waitingOfOthers + attempts.size() + lingering.size() >= parallel;
}

bool Dispatcher::State::isHopeless(TimePoint now, const LaneHead &head) const
{
    if (head.deadline <= now)
        return true;
    const auto usefulUntil = std::min(head.deadline, queue.findOpenJob(head.job)->usefulUntil);
    if (isBaseline() || !isContended(head.job) || !times.isLearned(head.lane.of)
        || !jobs.at(head.job).perRack.empty())
        return false;
    const auto one = times.expected(head.lane.of, {});
    return now + one * hopelessNumerator / hopelessDenominator > usefulUntil;
}

std::optional<Placement> Dispatcher::State::startFrom(TimePoint now, const LaneHead &head)
{
    if (isBaseline()) {
        const auto upstream = chooseForBaseline(head.need);
        return upstream ? std::optional(start(now, head, *upstream)) : std::nullopt;
    }
    const auto &ranking = rankingOf(now, head.lane.of);
    if (const auto longest = sufficientTime(now, head)) {
        if (const auto upstream = placer.chooseSufficient(ranking, head.need, jobs.at(head.job), *longest))
            return start(now, head, *upstream);
    }
    const auto choice = placer.choose(ranking, head.need, jobs.at(head.job), 1);
    if (choice.verdict == PlacerVerdict::Start)
        return start(now, head, choice.upstream);
    if (choice.verdict == PlacerVerdict::NoneFree)
        return std::nullopt;
    const auto last = queue.last(head.lane);
    if (last.deadline <= now)
        return std::nullopt;
    const auto other = placer.choose(ranking, last.need, jobs.at(last.job), queue.size());
    return other.verdict == PlacerVerdict::Start ? std::optional(start(now, last, other.upstream))
                                                 : std::nullopt;
}

std::optional<Duration> Dispatcher::State::sufficientTime(TimePoint now, const LaneHead &head) const
{
    const auto of = head.lane.of;
    const auto &declared = classes.at(of).declaration;
    const bool isBusy = attempts.size() * busyDivisor >= parallel;
    if (declared.targetStretch == 0 || !isBusy || !times.isLearned(of))
        return std::nullopt;
    const auto &job = *queue.findOpenJob(head.job);
    const auto usual = times.expected(of, {});
    const auto target = job.arrival + declared.targetTime + usual * declared.targetStretch / stretchUnit;
    return longestTime(of, target - now, job.deadline - now);
}

Duration Dispatcher::State::longestTime(ClassIndex of, Duration toTarget, Duration toDeadline) const
{
    const auto forTarget = toTarget * marginNumerator / marginDenominator;
    const auto forDeadline =
        Duration(static_cast<std::int64_t>(static_cast<double>(toDeadline.count()) / times.upperFactor(of)));
    return std::min(forTarget, forDeadline);
}

std::uint32_t Dispatcher::State::sufficientPlaces(TimePoint now, ClassIndex of) const
{
    const auto &entry = classes.at(of);
    const auto toTarget =
        entry.declaration.targetTime + times.expected(of, {}) * entry.declaration.targetStretch / stretchUnit;
    const auto longest = longestTime(of, toTarget, entry.usualPatience);
    std::uint32_t places = 0;
    for (const auto &[name, upstream] : upstreams.byName()) {
        const auto &it = upstreams.at(upstream);
        if (it.isFree && it.parallel > it.busy && times.expected(now, of, upstream, {}) <= longest)
            places += it.parallel - it.busy;
    }
    return places;
}

std::optional<UpstreamIndex> Dispatcher::State::chooseForBaseline(const Resources &need) const
{
    std::vector<BaselineCandidate> candidates;
    std::vector<UpstreamIndex> indexes;
    std::size_t position = 0;
    for (const auto &[name, upstream] : upstreams.byName()) {
        ++position;
        const auto &entry = upstreams.at(upstream);
        if (!entry.isFree || !entry.free().contains(costOf(need, entry.whole)))
            continue;
        candidates.push_back({position, entry.busy});
        indexes.push_back(upstream);
    }
    return indexes.empty() ? std::nullopt : std::optional(indexes[baseline(candidates)]);
}

Placement Dispatcher::State::start(TimePoint now, const LaneHead &head, UpstreamIndex upstream)
{
    auto &entry = upstreams.at(upstream);
    auto &job = jobs.at(head.job);
    const auto task = queue.take(head);
    InFlight attempt;
    attempt.job = head.job;
    attempt.of = head.lane.of;
    attempt.team = queue.findOpenJob(head.job)->team;
    attempt.upstream = upstream;
    attempt.incarnation = entry.announcement.incarnation;
    attempt.cost = costOf(head.need, entry.whole);
    attempt.declared = job.declared[task];
    attempt.startedAt = now;
    attempt.stuckAt = now + times.stuckAfter(now, attempt.of, upstream, attempt.declared);
    if (times.isLittleKnown(upstream)) {
        const auto expected = times.expected(attempt.of, attempt.declared);
        attempt.lateAt = now + expected * lateNumerator / lateDenominator;
    }
    queue.started(attempt.team);
    retries.started();
    entry.used += attempt.cost;
    ++entry.busy;
    if (entry.rack >= job.perRack.size())
        job.perRack.resize(entry.rack + 1);
    ++job.perRack[entry.rack];
    const auto id = attempts.add(attempt);
    job.open.push_back(id);
    refresh(now, upstream);
    const auto &announcement = entry.announcement;
    return {head.job, task, id, announcement.name, announcement.address, announcement.port};
}

void Dispatcher::State::release(TimePoint now, const InFlight &attempt)
{
    auto &entry = upstreams.at(attempt.upstream);
    if (entry.announcement.incarnation != attempt.incarnation)
        return;
    entry.used -= attempt.cost;
    entry.busy -= entry.busy > 0 ? 1 : 0;
    refresh(now, attempt.upstream);
}

TimePoint Dispatcher::State::expectedEnd(TimePoint now, const InFlight &attempt) const
{
    return attempt.startedAt
        + times.expected(now, attempt.of, attempt.upstream, attempt.declared) * lateNumerator
        / lateDenominator;
}

void Dispatcher::State::learn(TimePoint now, const InFlight &attempt, const AttemptResult &result)
{
    if (result.end == AttemptEnd::Stopped)
        return;
    auto &entry = upstreams.at(attempt.upstream);
    if (result.end == AttemptEnd::Answered) {
        learnFromAnswer(now, attempt, result.status);
        return;
    }
    const auto job = jobs.find(attempt.job);
    if (job != jobs.end())
        addAvoided(job->second, attempt.upstream);
    if (result.end != AttemptEnd::Broken) {
        entry.blockedUntil = now + firstPause * (1U << std::min(entry.declines++, pauseDoublings));
        wakeups.emplace(entry.blockedUntil, attempt.upstream);
    }
    if (result.end != AttemptEnd::Declined && !attempt.isAbandoned)
        observe(now, attempt, HealthSign::ConnectionFailed);
}

void Dispatcher::State::learnFromAnswer(TimePoint now, const InFlight &attempt, int status)
{
    upstreams.at(attempt.upstream).declines = 0;
    const bool hasSucceeded = isSuccess(status);
    if (hasSucceeded) {
        times.succeeded(now, attempt.of, attempt.upstream, attempt.declared, now - attempt.startedAt);
        classes.at(attempt.of).isRankingOld = true;
        const auto job = jobs.find(attempt.job);
        if (job != jobs.end())
            ++job->second.succeeded;
    }
    observe(now, attempt, hasSucceeded ? HealthSign::Succeeded : HealthSign::TaskFailed);
}

void Dispatcher::State::observe(TimePoint now, const InFlight &attempt, HealthSign sign)
{
    if (upstreams.at(attempt.upstream).announcement.incarnation != attempt.incarnation)
        return;
    if (!health.observe(now, attempt.upstream, attempt.of, sign))
        return;
    ++upstreamSet;
    if (health.state(attempt.upstream) == UpstreamState::Ejected)
        wakeups.emplace(health.backoffUntil(attempt.upstream), attempt.upstream);
    refresh(now, attempt.upstream);
}

} // namespace Citronpitch
