#include "citronpitch/upstreamruns.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace Citronpitch {

namespace {

constexpr int thousand = 1000;

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
        resetForNewIncarnation(known);
    }
    updateClock(now, announcement.clockMs);
}

void UpstreamRuns::upstreamLeft()
{
    m_hasLeft = true;
    m_foreignRuns.clear();
    loseAll(RunLoss::UpstreamLeft);
}

void UpstreamRuns::start(TimePoint now, std::uint64_t attempt, const std::string &task, std::uint32_t run,
                         const std::string &payload)
{
    auto &it = m_runs[task];
    it = {};
    it.attempt = attempt;
    it.run = run;
    auto order = newOrder(OrderKind::Start);
    order.task = task;
    order.run = run;
    order.payload = payload;
    order.leaseMs = clockLowerBound(now) + toMilliseconds(m_options.lease);
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
            sendStop(now, task, it.run, it.stopOrder, it.stopRetryAt);
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
    recordAnswer(now, open, result);
    if (result.verdict == OrderVerdict::StaleFence) {
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
    if (result.verdict == OrderVerdict::OtherIncarnation && !m_hasLeft)
        upstreamReplaced();
}

void UpstreamRuns::tick(TimePoint now, Duration lag)
{
    m_lag = lag;
    if (m_isTakenOver || m_hasLeft || m_isReplaced)
        return;
    // The upstream may have reported the end of a run, or a later clock, in an answer that was not read yet.
    const bool isLeaseExpired = m_clockReadAt && m_leaseMs > 0 && clockLowerBound(now - lag) > m_leaseMs;
    if (isLeaseExpired && !m_runs.empty()) {
        m_isUnresponsive = true;
        if (!m_announcement.upstream.leaving)
            recordCrashes(m_announcement.upstream, false);
        loseAll(RunLoss::UpstreamSilent);
    }
    for (auto &[task, it] : m_runs) {
        const bool isDue = it.isStopNeeded && !it.isStopAcknowledged && it.stopOrder == 0;
        if (isDue && now >= it.stopRetryAt)
            sendStop(now, task, it.run, it.stopOrder, it.stopRetryAt);
    }
    for (auto &[running, it] : m_foreignRuns) {
        if (it.stopOrder == 0 && now >= it.stopRetryAt)
            sendStop(now, running.task, running.run, it.stopOrder, it.stopRetryAt);
    }
    if (!m_isPolling && hasWork() && now >= m_nextPollAt)
        sendPoll(now);
}

bool UpstreamRuns::isReady() const
{
    return m_isFenceKnown && !m_isUnresponsive && !m_isTakenOver && !m_hasLeft && !m_isReplaced
        && m_foreignRuns.empty();
}

bool UpstreamRuns::isIdle() const
{
    return m_runs.empty();
}

bool UpstreamRuns::isTakenOver() const
{
    return m_isTakenOver;
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

void UpstreamRuns::updateClock(TimePoint now, std::int64_t clockMs)
{
    if (m_clockReadAt && clockMs < clockLowerBound(now))
        return;
    m_clockMs = clockMs;
    m_clockReadAt = now;
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
    if (result.clockMs && !isOther)
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
    order.fence = m_options.fence;
    order.timeout = m_options.orderTimeout;
    return order;
}

OrderId UpstreamRuns::send(RunOrder order, OpenOrder open)
{
    m_leaseMs = std::max(m_leaseMs, order.leaseMs);
    const auto id = m_send(std::move(order));
    m_orders.emplace(id, std::move(open));
    return id;
}

void UpstreamRuns::sendPoll(TimePoint now)
{
    auto order = newOrder(OrderKind::Poll);
    order.acknowledgedThrough = m_lastSeenEnd;
    const bool isAnswering = m_lastAnswerAt
        && now - *m_lastAnswerAt <= m_options.renewalTimeout + std::min(m_lag, m_options.renewalTimeout);
    // The lease of an unresponsive upstream must expire soon, so that its tasks can run elsewhere.
    if (isAnswering && !m_runs.empty())
        order.leaseMs = clockLowerBound(now) + toMilliseconds(m_options.lease);
    const bool isConfirming = std::any_of(m_runs.begin(), m_runs.end(),
                                          [](const auto &it) { return it.second.isStopAcknowledged; });
    if (m_isFenceKnown && !m_isUnresponsive && !isConfirming && !m_runs.empty())
        order.wait = m_options.longPollTimeout;
    order.timeout = m_options.orderTimeout + order.wait;
    m_isPolling = true;
    send(std::move(order), {OrderKind::Poll, {}, 0, m_nextPoll++, now});
}

void UpstreamRuns::sendStop(TimePoint now, const std::string &task, std::uint32_t run, OrderId &order,
                            TimePoint &retryAt)
{
    auto stop = newOrder(OrderKind::Stop);
    stop.task = task;
    stop.run = run;
    retryAt = now + m_options.retryDelay;
    order = send(std::move(stop), {OrderKind::Stop, task, run, 0, now});
}

void UpstreamRuns::startEnded(TimePoint now, const OpenOrder &open, const OrderResult &result)
{
    const auto it = m_runs.find(open.task);
    if (it == m_runs.end() || it->second.run != open.run)
        return;
    // The next incarnation may have accepted the order, but not another upstream.
    const bool mayHaveRun = result.verdict == OrderVerdict::NoAnswer
        || (m_isReplaced && result.verdict == OrderVerdict::Accepted);
    if (const auto inDoubt = std::exchange(it->second.incarnationInDoubt, std::nullopt);
        inDoubt && mayHaveRun)
        recordCrash(open.task, *inDoubt,
                    result.verdict == OrderVerdict::Accepted ? CrashState::Confirmed
                                                             : CrashState::Inconclusive);
    if (m_isReplaced && mayHaveRun) {
        lose(it, RunLoss::UpstreamRestarted);
        return;
    }
    if (it->second.phase != Phase::Starting)
        return;
    switch (result.verdict) {
    case OrderVerdict::Accepted:
        it->second.phase = Phase::Running;
        it->second.hasRun = true;
        return;
    case OrderVerdict::NoAnswer:
        m_isUnresponsive = true;
        it->second.phase = Phase::Unconfirmed;
        it->second.isStopNeeded = true;
        if (it->second.stopOrder == 0 && !it->second.isStopAcknowledged)
            sendStop(now, it->first, it->second.run, it->second.stopOrder, it->second.stopRetryAt);
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
    m_isPolling = false;
    if (m_isTakenOver || m_hasLeft || m_isReplaced)
        return;
    const auto known = m_announcement.upstream.incarnation;
    const bool isAnswered = result.verdict == OrderVerdict::Accepted;
    if (!isAnswered || (result.incarnation != 0 && result.incarnation < known)) {
        m_isUnresponsive = true;
        m_pollDelay = std::clamp(2 * m_pollDelay, m_options.retryDelay, m_options.maximumPollDelay);
        m_nextPollAt = now + m_pollDelay;
        return;
    }
    if (result.incarnation > known) {
        const auto previous = m_announcement.upstream;
        m_announcement.upstream.incarnation = result.incarnation;
        resetForNewIncarnation(previous);
        return;
    }
    m_isFenceKnown = true;
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
        if (own == m_runs.end() || own->second.run != it.run)
            m_foreignRuns.try_emplace(it);
        else
            own->second.hasRun = true;
    }
    std::erase_if(m_foreignRuns, [&](const auto &it) { return !running.contains(it.first); });
    for (auto it = m_runs.begin(); it != m_runs.end();) {
        const auto next = std::next(it);
        const auto &run = it->second;
        const bool isStopConfirmed = run.isStopAcknowledged && open.poll >= run.confirmingPoll;
        if (isStopConfirmed && !running.contains({it->first, run.run})) {
            if (run.isStopRequested)
                finish(it, RunOutcome::Stopped);
            else
                lose(it, RunLoss::StartUnanswered);
        }
        it = next;
    }
    m_nextPollAt = now;
    if (hasWork())
        sendPoll(now);
}

void UpstreamRuns::recordEnd(const EndedRun &end)
{
    m_lastSeenEnd = std::max(m_lastSeenEnd, end.number);
    const auto it = m_runs.find(end.task);
    if (it == m_runs.end() || it->second.run != end.run)
        return;
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
    m_finished.push_back({it->second.attempt, it->first, it->second.run, outcome, verdict});
    m_finished.back().basis = {m_announcement.upstream.incarnation, m_leaseMs, m_clockMs, m_orders.size()};
    m_runs.erase(it);
}

void UpstreamRuns::lose(std::map<std::string, Run>::iterator it, RunLoss loss)
{
    if (it->second.hasUpstreamRestarted)
        loss = RunLoss::UpstreamRestarted;
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
        // Ordered from an earlier incarnation.
        if (it.hasUpstreamRestarted)
            continue;
        if (it.phase == Phase::Starting && hasEnded)
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

void UpstreamRuns::upstreamReplaced()
{
    if (std::exchange(m_isReplaced, true))
        return;
    if (!m_announcement.upstream.leaving)
        recordCrashes(m_announcement.upstream, true);
    m_foreignRuns.clear();
    for (auto it = m_runs.begin(); it != m_runs.end();) {
        const auto next = std::next(it);
        // The answer to a start order will tell which upstream got it.
        if (it->second.phase != Phase::Starting)
            lose(it, RunLoss::UpstreamRestarted);
        it = next;
    }
}

void UpstreamRuns::resetForNewIncarnation(const UpstreamAnnouncement &previous)
{
    if (!previous.leaving)
        recordCrashes(previous, true);
    m_clockReadAt.reset();
    m_clockMs = 0;
    m_leaseMs = 0;
    m_lastSeenEnd = 0;
    m_acknowledgedThrough = 0;
    m_isFenceKnown = false;
    m_foreignRuns.clear();
    m_nextPollAt = {};
    // An order in flight may have reached the new incarnation, so each run has to be stopped there.
    for (auto &[task, it] : m_runs) {
        it.phase = Phase::Unconfirmed;
        it.isStopNeeded = true;
        it.isStopAcknowledged = false;
        it.hasUpstreamRestarted = true;
        it.stopOrder = 0;
        it.stopRetryAt = {};
    }
}

bool UpstreamRuns::hasWork() const
{
    return !m_isFenceKnown || m_isUnresponsive || !m_runs.empty() || !m_foreignRuns.empty()
        || m_lastSeenEnd > m_acknowledgedThrough;
}

} // namespace Citronpitch
