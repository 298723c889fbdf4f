#include "citronpitch/upstreamruns.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace Citronpitch {

using std::chrono::milliseconds;

namespace {

constexpr int thousand = 1000;

/// The clocks in answers that overtake each other differ by less; that of a restarted upstream is further
/// behind.
constexpr std::int64_t clockToleranceMs = 100;

/// Runs are started only while more than one part in this many of the lease is left.
constexpr int shortLeaseDivisor = 2;

bool isBefore(const RunId &left, const RunId &right)
{
    return std::tie(left.task, left.run) < std::tie(right.task, right.run);
}

std::int64_t toMilliseconds(Duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

} // namespace

UpstreamRuns::UpstreamRuns(TimePoint now, const UpstreamRunsOptions &options,
                           const FleetAnnouncement &announcement, SendOrder send)
    : m_options(options)
    , m_announcement(announcement)
    , m_send(std::move(send))
    , m_foreignRuns(isBefore)
    , m_fence(m_options.takeFence())
    , m_tickedAt(now)
{
    updateClock(now, announcement.clockMs);
    sendPoll(now);
}

void UpstreamRuns::announced(TimePoint now, const FleetAnnouncement &announcement)
{
    const auto known = m_announcement.upstream;
    if (announcement.upstream.incarnation < known.incarnation)
        return;
    m_announcement = announcement;
    const bool hasMoved =
        announcement.upstream.address != known.address || announcement.upstream.port != known.port;
    if (announcement.upstream.incarnation > known.incarnation || hasMoved)
        m_isReplaced = false;
    if (announcement.upstream.incarnation > known.incarnation) {
        m_hasLeft = false;
        resetForNewIncarnation(now, known);
    }
    updateClock(now, announcement.clockMs);
    if (announcement.hasLeft)
        upstreamLeft(now);
}

void UpstreamRuns::upstreamLeft(TimePoint now)
{
    if (std::exchange(m_hasLeft, true) || m_isReplaced)
        return;
    for (auto &[task, it] : m_runs) {
        it.isStopNeeded = true;
        if (it.stopOrder == 0 && !it.isStopAcknowledged)
            sendStop(now, task, it.run, it);
    }
}

void UpstreamRuns::start(TimePoint now, std::uint64_t attempt, const std::string &task, std::uint32_t run,
                         const std::string &payload)
{
    auto &it = m_runs[task];
    it = {};
    it.attempt = attempt;
    it.run = run;
    it.startOrderEndsAt = now + m_options.maximumOrderDelay + m_options.maximumLease;
    auto order = newOrder(OrderKind::Start);
    order.task = task;
    order.run = run;
    order.payload = payload;
    order.leaseMs = newLeaseMs(now);
    send(std::move(order), {OrderKind::Start, task, run, 0, now});
    if (!m_isPolling)
        sendPoll(now);
}

void UpstreamRuns::stop(TimePoint now, std::uint64_t attempt)
{
    for (auto &[task, it] : m_runs) {
        if (it.attempt != attempt || it.isStopRequested)
            continue;
        it.isStopRequested = true;
        it.isStopNeeded = true;
        if (it.stopOrder == 0 && !it.isStopAcknowledged)
            sendStop(now, task, it.run, it);
        return;
    }
}

void UpstreamRuns::orderEnded(TimePoint now, OrderId id, const OrderResult &result)
{
    const auto it = m_orders.find(id);
    if (it == m_orders.end())
        return;
    const auto open = it->second;
    m_orders.erase(it);
    if (isOfUnknownIncarnation(open, result))
        resetForNewIncarnation(now, m_announcement.upstream);
    recordAnswer(now, open, result);
    if (result.verdict == OrderVerdict::StaleFence && open.fence == m_fence) {
        m_isTakenOver = true;
        while (!m_runs.empty())
            finish(m_runs.begin(), RunOutcome::TakenOver);
    }
    switch (open.kind) {
    case OrderKind::Start:
        startEnded(now, open, result);
        break;
    case OrderKind::Stop:
        stopEnded(now, open, id, result);
        break;
    case OrderKind::Poll:
        pollEnded(now, open, result);
        break;
    }
    if (result.verdict == OrderVerdict::OtherIncarnation && isForPresentIncarnation(open))
        upstreamReplaced();
}

void UpstreamRuns::tick(TimePoint now, Duration lag)
{
    // The first answer after a pause is not the last one that waits to be read.
    if (m_lastAnswerAt && *m_lastAnswerAt > m_tickedAt)
        lag = std::max(lag, now - m_tickedAt);
    m_tickedAt = now;
    m_lag = lag;
    if (m_isTakenOver || m_isReplaced)
        return;
    if (isLeaseExpired(now - lag))
        leaseExpired(now);
    for (auto &[task, it] : m_runs) {
        const bool isDue = it.isStopNeeded && !it.isStopAcknowledged && it.stopOrder == 0;
        // The answer to a poll will show that stops can be executed again.
        const bool isHeld = it.isSilenceRecorded && !isAnswering(now);
        if (isDue && !isHeld && now >= it.stopRetryAt)
            sendStop(now, task, it.run, it);
    }
    for (auto &[running, it] : m_foreignRuns) {
        if (it.stopOrder == 0 && now >= it.stopRetryAt)
            sendStop(now, running.task, running.run, it);
    }
    if (!m_isPolling && hasWork(now) && now >= m_nextPollAt)
        sendPoll(now);
}

void UpstreamRuns::leaseExpired(TimePoint now)
{
    // The upstream may have reported the end of a run, or a later clock, in an answer that was not read yet.
    const auto hasEnded = [&](const Run &run) {
        return run.isConfirmed || now - m_lag > m_unconfirmedRunsEndAt;
    };
    const bool isAnyNew = std::any_of(m_runs.begin(), m_runs.end(), [&](const auto &it) {
        return hasEnded(it.second) && !it.second.isSilenceRecorded;
    });
    if (isAnyNew) {
        m_isUnresponsive = true;
        if (!m_announcement.upstream.leaving)
            recordCrashes(m_announcement.upstream, false);
    }
    const auto loss = isAnswering(now) ? RunLoss::StopUnanswered : RunLoss::UpstreamSilent;
    for (auto it = m_runs.begin(); it != m_runs.end();) {
        const auto next = std::next(it);
        if (hasEnded(it->second)) {
            it->second.isSilenceRecorded = true;
            if (!mayStartLater(now, it->second))
                lose(it, loss);
        }
        it = next;
    }
}

bool UpstreamRuns::isReady(TimePoint now) const
{
    const auto deadline = earliestEndDeadline();
    const bool isLeaseShort = deadline && *deadline - now < m_options.lease / shortLeaseDivisor;
    return m_isFenceKnown && !m_isUnresponsive && !m_isTakenOver && !m_hasLeft && !m_isReplaced
        && m_foreignRuns.empty() && !isLeaseShort;
}

bool UpstreamRuns::isIdle() const
{
    return m_runs.empty();
}

bool UpstreamRuns::isStartOrderOut(TimePoint now) const
{
    return now <= m_startOrdersEndAt;
}

bool UpstreamRuns::isTakenOver() const
{
    return m_isTakenOver;
}

bool UpstreamRuns::isReplaced() const
{
    return m_isReplaced;
}

const FleetAnnouncement &UpstreamRuns::announcement() const
{
    return m_announcement;
}

void UpstreamRuns::probe(TimePoint now)
{
    if (!m_isPolling && m_runs.empty() && !m_isTakenOver && !m_hasLeft && !m_isReplaced
        && now >= m_nextPollAt)
        sendPoll(now);
}

TimePoint UpstreamRuns::confirmedAt() const
{
    return m_confirmedAt;
}

bool UpstreamRuns::hasFinished() const
{
    return !m_finished.empty();
}

std::vector<FinishedRun> UpstreamRuns::takeFinished()
{
    return std::exchange(m_finished, {});
}

std::vector<TaskCrash> UpstreamRuns::takeCrashes()
{
    return std::exchange(m_crashes, {});
}

std::int64_t UpstreamRuns::clockLowerBound(TimePoint now) const
{
    if (!m_clockReadAt)
        return m_clockMs;
    return m_clockMs + toMilliseconds((now - *m_clockReadAt) * m_options.minimumClockRatePermille / thousand);
}

bool UpstreamRuns::isLeaseExpired(TimePoint now) const
{
    // An incarnation that has not seen its fencing token may still execute orders to the earlier ones.
    if (!m_isFenceKnown)
        return now > m_earlierOrdersEndAt;
    return m_clockReadAt && m_leaseMs > 0 && clockLowerBound(now) > m_leaseMs;
}

bool UpstreamRuns::isEnding(TimePoint now) const
{
    return m_hasLeft || m_announcement.upstream.leaving || !isAnswering(now);
}

bool UpstreamRuns::mayStartLater(TimePoint now, const Run &run) const
{
    return !run.isStartAnswered && !run.hasRun && isEnding(now) && now - m_lag <= run.startOrderEndsAt;
}

bool UpstreamRuns::isOfUnknownIncarnation(const OpenOrder &open, const OrderResult &result) const
{
    const bool isExecuted = result.verdict == OrderVerdict::Accepted && result.incarnation == 0;
    return isExecuted && result.clockMs && m_clockReadAt && open.fence == m_fence
        && *result.clockMs + clockToleranceMs < clockLowerBound(open.sentAt);
}

void UpstreamRuns::updateClock(TimePoint now, std::int64_t clockMs)
{
    if (m_clockReadAt && clockMs < clockLowerBound(now))
        return;
    m_clockMs = clockMs;
    m_clockReadAt = now;
}

std::optional<TimePoint> UpstreamRuns::earliestEndDeadline() const
{
    std::optional<TimePoint> earliest;
    const auto apply = [&](const Stop &stop) {
        if (stop.endDeadline)
            earliest = std::min(*stop.endDeadline, earliest.value_or(*stop.endDeadline));
    };
    for (const auto &[task, it] : m_runs) {
        if (!it.isStopAcknowledged)
            apply(it);
    }
    for (const auto &[running, it] : m_foreignRuns)
        apply(it);
    return earliest;
}

std::int64_t UpstreamRuns::newLeaseMs(TimePoint now) const
{
    // The lease applies to all runs of the upstream, also to those that it must not extend. After a pause,
    // answers may be read before what ends a run, so it counts from the last tick.
    const auto end = std::min(m_tickedAt + m_options.lease, earliestEndDeadline().value_or(TimePoint::max()));
    return std::max<std::int64_t>(0, clockLowerBound(now) + toMilliseconds(end - now));
}

bool UpstreamRuns::isAnswering(TimePoint now) const
{
    return m_lastAnswerAt
        && now - *m_lastAnswerAt <= m_options.renewalTimeout + std::min(m_lag, m_options.renewalTimeout);
}

void UpstreamRuns::recordAnswer(TimePoint now, const OpenOrder &open, const OrderResult &result)
{
    if (result.verdict == OrderVerdict::NoAnswer || result.verdict == OrderVerdict::NotSent
        || result.verdict == OrderVerdict::Limited)
        return;
    m_lastAnswerAt = now;
    const bool isStated = result.incarnation != 0;
    const bool isOther = result.verdict == OrderVerdict::OtherIncarnation
        || (isStated && result.incarnation != m_announcement.upstream.incarnation);
    if (result.clockMs && !isOther && open.fence == m_fence)
        updateClock(now, *result.clockMs);
    if (isStated && !isOther && result.verdict != OrderVerdict::StaleFence)
        m_confirmedAt = std::max(m_confirmedAt, open.sentAt);
}

RunOrder UpstreamRuns::newOrder(OrderKind kind) const
{
    RunOrder order;
    order.kind = kind;
    order.upstream = m_announcement.upstream.name;
    order.address = m_announcement.upstream.address;
    order.port = m_announcement.upstream.port;
    order.incarnation = m_announcement.upstream.incarnation;
    order.fence = m_fence;
    order.timeout = m_options.orderTimeout;
    return order;
}

bool UpstreamRuns::isForPresentIncarnation(const OpenOrder &open) const
{
    const auto &present = m_announcement.upstream;
    return open.fence == m_fence && open.address == present.address && open.port == present.port;
}

OrderId UpstreamRuns::send(RunOrder order, OpenOrder open)
{
    m_leaseMs = std::max(m_leaseMs, order.leaseMs);
    if (order.leaseMs > 0) {
        order.sendDeadline = open.sentAt + order.timeout;
        const auto longestLease = m_options.maximumLease * thousand / m_options.minimumClockRatePermille;
        m_unconfirmedRunsEndAt = std::max(m_unconfirmedRunsEndAt, *order.sendDeadline + longestLease);
    }
    open.fence = order.fence;
    open.address = order.address;
    open.port = order.port;
    const auto id = m_send(std::move(order));
    m_orders.emplace(id, std::move(open));
    return id;
}

void UpstreamRuns::sendPoll(TimePoint now)
{
    auto order = newOrder(OrderKind::Poll);
    order.acknowledgedThrough = m_lastSeenEnd;
    // The lease of an unresponsive upstream must expire soon, so that its tasks can run elsewhere.
    if (isAnswering(now) && !m_runs.empty() && !m_hasLeft) {
        // A lease that has passed extends nothing, but would put off the end of unconfirmed runs.
        const auto leaseMs = newLeaseMs(now);
        order.leaseMs = leaseMs > clockLowerBound(now) ? leaseMs : 0;
    }
    const bool isConfirming = std::any_of(m_runs.begin(), m_runs.end(), [](const auto &it) {
        return it.second.isStopAcknowledged && !it.second.isEndConfirmed;
    });
    const bool isTickLate = now - m_tickedAt > m_options.maximumTickAge;
    const bool isWorthWaiting = !m_runs.empty() || isStartOrderOut(now);
    if (m_isFenceKnown && !m_isUnresponsive && !isConfirming && !isTickLate && isWorthWaiting)
        order.wait = m_options.longPollTimeout;
    order.timeout = m_options.orderTimeout + order.wait;
    m_isPolling = true;
    send(std::move(order), {OrderKind::Poll, {}, 0, m_nextPoll++, now});
}

void UpstreamRuns::sendStop(TimePoint now, const std::string &task, std::uint32_t run, Stop &stop)
{
    auto order = newOrder(OrderKind::Stop);
    order.task = task;
    order.run = run;
    stop.stopRetryAt = now + m_options.retryDelay;
    const auto granted = milliseconds(std::max<std::int64_t>(0, m_leaseMs - clockLowerBound(now)));
    stop.endDeadline = stop.endDeadline.value_or(now + std::min<Duration>(granted, m_options.lease));
    stop.stopOrder = send(std::move(order), {OrderKind::Stop, task, run, 0, now});
}

void UpstreamRuns::startEnded(TimePoint now, const OpenOrder &open, const OrderResult &result)
{
    const auto it = m_runs.find(open.task);
    if (it == m_runs.end() || it->second.run != open.run)
        return;
    auto &run = it->second;
    run.isStartAnswered = result.verdict != OrderVerdict::NoAnswer;
    switch (result.verdict) {
    case OrderVerdict::Accepted:
        // The present incarnation may have accepted the order, but not another upstream.
        if (m_isReplaced)
            concludeDoubt(open.task, run, CrashState::Confirmed);
        break;
    case OrderVerdict::NoAnswer:
        concludeDoubt(open.task, run, CrashState::Inconclusive);
        break;
    default:
        run.incarnationInDoubt.reset();
        break;
    }
    const bool mayHaveRun =
        result.verdict == OrderVerdict::Accepted || result.verdict == OrderVerdict::NoAnswer;
    if (m_isReplaced && (mayHaveRun || run.phase != Phase::Starting)) {
        lose(it, RunLoss::UpstreamRestarted);
        return;
    }
    if (it->second.phase != Phase::Starting)
        return;
    switch (result.verdict) {
    case OrderVerdict::Accepted:
        it->second.phase = Phase::Running;
        it->second.hasRun = true;
        // Within the tolerance of isOfUnknownIncarnation() a clock that is behind leaves this open.
        it->second.isConfirmed = result.clockMs && m_clockReadAt && open.fence == m_fence
            && *result.clockMs >= clockLowerBound(open.sentAt);
        return;
    case OrderVerdict::NoAnswer:
        m_isUnresponsive = true;
        it->second.phase = Phase::Unconfirmed;
        it->second.isStopNeeded = true;
        if (it->second.stopOrder == 0 && !it->second.isStopAcknowledged)
            sendStop(now, it->first, it->second.run, it->second);
        return;
    case OrderVerdict::NotSent:
    case OrderVerdict::Limited:
        m_isUnresponsive = true;
        finish(it, RunOutcome::NotSent, result.verdict);
        return;
    default:
        finish(it, RunOutcome::Declined, result.verdict);
        return;
    }
}

void UpstreamRuns::stopEnded(TimePoint now, const OpenOrder &open, OrderId id, const OrderResult &result)
{
    const auto foreign = m_foreignRuns.find({open.task, open.run});
    if (foreign != m_foreignRuns.end() && foreign->second.stopOrder == id)
        foreign->second.stopOrder = 0;
    const auto it = m_runs.find(open.task);
    if (it == m_runs.end() || it->second.run != open.run || it->second.stopOrder != id)
        return;
    it->second.stopOrder = 0;
    if (result.verdict != OrderVerdict::Accepted)
        return;
    it->second.isStopAcknowledged = true;
    it->second.confirmingPoll = m_nextPoll;
    m_nextPollAt = now;
}

void UpstreamRuns::pollEnded(TimePoint now, const OpenOrder &open, const OrderResult &result)
{
    const bool isToPresentIncarnation = open.fence == m_fence;
    if (isToPresentIncarnation)
        m_isPolling = false;
    if (m_isTakenOver || m_isReplaced)
        return;
    const auto known = m_announcement.upstream.incarnation;
    const bool isAnswered = result.verdict == OrderVerdict::Accepted;
    if (isAnswered && result.incarnation > known) {
        const auto previous = m_announcement.upstream;
        m_announcement.upstream.incarnation = result.incarnation;
        m_hasLeft = false;
        resetForNewIncarnation(now, previous);
        return;
    }
    if (!isToPresentIncarnation)
        return;
    if (!isAnswered || (result.incarnation != 0 && result.incarnation < known)) {
        m_isUnresponsive = true;
        m_pollDelay =
            std::clamp(2 * m_pollDelay, m_options.retryDelay,
                       isStartOrderOut(now) ? m_options.longPollTimeout : m_options.maximumPollDelay);
        m_nextPollAt = now + m_pollDelay;
        return;
    }
    // Until this answer, orders with earlier fencing tokens may have given a lease.
    if (!std::exchange(m_isFenceKnown, true) && result.clockMs)
        m_leaseMs = std::max(m_leaseMs, *result.clockMs + toMilliseconds(m_options.maximumLease));
    m_isUnresponsive = false;
    m_pollDelay = {};
    m_acknowledgedThrough = std::max(m_acknowledgedThrough, m_lastSeenEnd);
    for (const auto &it : result.ended) {
        if (it.number > m_lastSeenEnd)
            recordEnd(it);
    }
    std::set<RunId, bool (*)(const RunId &, const RunId &)> running(isBefore);
    for (const auto &it : result.running) {
        running.insert(it);
        const auto own = m_runs.find(it.task);
        if (own == m_runs.end() || own->second.run != it.run) {
            m_foreignRuns.try_emplace(it);
            continue;
        }
        own->second.hasRun = own->second.isConfirmed = own->second.isListed = true;
        own->second.incarnationInDoubt.reset();
    }
    std::erase_if(m_foreignRuns, [&](const auto &it) { return !running.contains(it.first); });
    for (auto it = m_runs.begin(); it != m_runs.end();) {
        const auto next = std::next(it);
        auto &run = it->second;
        const bool isStopConfirmed = run.isStopAcknowledged && open.poll >= run.confirmingPoll;
        run.isEndConfirmed = isStopConfirmed && !running.contains({it->first, run.run});
        // The answer to the start tells whether the incarnation in doubt has crashed.
        const bool isAnswerNeeded = run.incarnationInDoubt && !run.isStartAnswered;
        if (run.isEndConfirmed && !isAnswerNeeded && !mayStartLater(now, run)) {
            concludeDoubt(it->first, run, CrashState::Confirmed);
            if (run.isStopRequested)
                finish(it, RunOutcome::Stopped);
            else
                lose(it, RunLoss::StartUnanswered);
        }
        it = next;
    }
    m_nextPollAt = now;
    if (hasWork(now))
        sendPoll(now);
}

void UpstreamRuns::recordEnd(const EndedRun &end)
{
    m_lastSeenEnd = std::max(m_lastSeenEnd, end.number);
    const auto it = m_runs.find(end.task);
    if (it == m_runs.end() || it->second.run != end.run)
        return;
    it->second.incarnationInDoubt.reset();
    switch (end.kind) {
    case RunEndKind::Done:
        finish(it, RunOutcome::Done);
        return;
    case RunEndKind::Failed:
        finish(it, RunOutcome::Failed);
        return;
    default:
        if (it->second.isStopRequested)
            finish(it, RunOutcome::Stopped);
        else
            lose(it, RunLoss::EndedByUpstream);
        return;
    }
}

void UpstreamRuns::finish(std::map<std::string, Run>::iterator it, RunOutcome outcome, OrderVerdict verdict)
{
    concludeDoubt(it->first, it->second, CrashState::Inconclusive);
    if (!it->second.isStartAnswered && !it->second.hasRun)
        m_startOrdersEndAt = std::max(m_startOrdersEndAt, it->second.startOrderEndsAt);
    m_finished.push_back({it->second.attempt, it->first, it->second.run, outcome, verdict});
    m_finished.back().basis = {m_announcement.upstream.incarnation, m_leaseMs, m_clockMs, m_orders.size()};
    m_runs.erase(it);
}

void UpstreamRuns::lose(std::map<std::string, Run>::iterator it, RunLoss loss)
{
    if (it->second.hasUpstreamRestarted)
        loss = RunLoss::UpstreamRestarted;
    else if (m_hasLeft)
        loss = RunLoss::UpstreamLeft;
    finish(it, RunOutcome::Lost);
    m_finished.back().loss = loss;
}

void UpstreamRuns::loseAll(RunLoss loss)
{
    while (!m_runs.empty())
        lose(m_runs.begin(), loss);
}

void UpstreamRuns::recordCrashes(const UpstreamAnnouncement &announcement, bool hasEnded)
{
    const auto ofRunning = hasEnded ? CrashState::Confirmed : CrashState::Suspected;
    const auto ofUnanswered = hasEnded ? CrashState::Inconclusive : CrashState::StartUnanswered;
    for (auto &[task, it] : m_runs) {
        // Ordered from an earlier incarnation, and not known to be on this one.
        if (it.hasUpstreamRestarted && !it.isConfirmed)
            continue;
        if (it.phase == Phase::Starting && !it.hasRun && hasEnded)
            it.incarnationInDoubt = announcement.incarnation;
        else
            recordCrash(task, announcement.incarnation, it.hasRun ? ofRunning : ofUnanswered);
    }
    for (const auto &[running, it] : m_foreignRuns)
        recordCrash(running.task, announcement.incarnation, ofRunning);
}

void UpstreamRuns::recordCrash(const std::string &task, std::uint64_t incarnation, CrashState state)
{
    m_crashes.push_back({task, m_announcement.upstream.name, incarnation, state, {}});
}

void UpstreamRuns::concludeDoubt(const std::string &task, Run &run, CrashState state)
{
    if (const auto inDoubt = std::exchange(run.incarnationInDoubt, std::nullopt))
        recordCrash(task, *inDoubt, state);
}

void UpstreamRuns::upstreamReplaced()
{
    if (std::exchange(m_isReplaced, true))
        return;
    if (!m_announcement.upstream.leaving)
        recordCrashes(m_announcement.upstream, true);
    m_foreignRuns.clear();
    for (auto it = m_runs.begin(); it != m_runs.end();) {
        const auto next = std::next(it);
        auto &run = it->second;
        // The answer to a start order will tell which upstream got it.
        const bool isAnswerNeeded =
            run.phase == Phase::Starting || (run.incarnationInDoubt && !run.isStartAnswered);
        if (!isAnswerNeeded) {
            concludeDoubt(it->first, run,
                          m_announcement.upstream.leaving ? CrashState::Inconclusive : CrashState::Confirmed);
            lose(it, RunLoss::UpstreamRestarted);
        }
        it = next;
    }
}

void UpstreamRuns::resetForNewIncarnation(TimePoint now, const UpstreamAnnouncement &previous)
{
    if (!previous.leaving)
        recordCrashes(previous, true);
    m_fence = m_options.takeFence();
    m_earlierOrdersEndAt = now + m_options.maximumOrderDelay + m_options.maximumLease;
    m_clockReadAt.reset();
    m_clockMs = 0;
    m_leaseMs = 0;
    m_lastSeenEnd = 0;
    m_acknowledgedThrough = 0;
    m_isFenceKnown = false;
    m_foreignRuns.clear();
    m_isPolling = false;
    m_pollDelay = {};
    m_nextPollAt = {};
    for (auto it = m_runs.begin(); it != m_runs.end();) {
        const auto next = std::next(it);
        // The clocks of two incarnations that began soon after each other don't tell them apart.
        if (it->second.isListed)
            lose(it, RunLoss::UpstreamRestarted);
        it = next;
    }
    // An order in flight may have reached the new incarnation, so each other run has to be stopped there.
    for (auto &[task, it] : m_runs) {
        it.phase = Phase::Unconfirmed;
        it.isStopNeeded = true;
        it.isStopAcknowledged = false;
        it.isEndConfirmed = false;
        it.isConfirmed = false;
        it.hasUpstreamRestarted = true;
        it.stopOrder = 0;
        it.stopRetryAt = {};
    }
}

bool UpstreamRuns::hasWork(TimePoint now) const
{
    if (isStartOrderOut(now) || !m_runs.empty() || !m_foreignRuns.empty())
        return true;
    return !m_hasLeft && (!m_isFenceKnown || m_isUnresponsive || m_lastSeenEnd > m_acknowledgedThrough);
}

} // namespace Citronpitch
