#include "citronpitch/upstreamruns.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <optional>
#include <set>
#include <utility>
#include <vector>

using namespace Citronpitch;
using namespace std::chrono_literals;

namespace {

/// Runs on one upstream whose orders the test answers.
class UpstreamRunsTest : public testing::Test
{
protected:
    UpstreamRunsTest()
    {
        reset();
    }

    void reset()
    {
        m_orders.clear();
        m_announcement.upstream.name = "u";
        m_announcement.upstream.incarnation = 1;
        m_announcement.clockMs = 1000;
        UpstreamRunsOptions options;
        options.takeFence = [this] { return ++m_lastFence; };
        options.maximumLease = options.lease;
        m_runs = std::make_unique<UpstreamRuns>(m_now, options, m_announcement, [this](RunOrder order) {
            order.id = m_orders.size() + 1;
            m_orders.push_back(std::move(order));
            return m_orders.back().id;
        });
        answer(m_orders.back().id);
        m_runs->start(m_now, 1, "task", 1, {});
        m_running = {{"task", 1}};
        answer(m_orders[1].id);
    }

    void leave()
    {
        m_announcement.upstream.leaving = true;
        m_announcement.hasLeft = true;
        m_runs->announced(m_now, m_announcement);
    }

    void answer(OrderId order, std::vector<EndedRun> ended = {})
    {
        OrderResult result;
        result.verdict = OrderVerdict::Accepted;
        result.clockMs = clockMs();
        if (ended.empty())
            result.running = m_running;
        result.ended = std::move(ended);
        m_runs->orderEnded(m_now, order, result);
    }

    /// The upstream announces its next incarnation, whose clock is at @p clockMs, and is polled.
    void announceRestart(std::int64_t clockMs)
    {
        auto announcement = m_runs->announcement();
        ++announcement.upstream.incarnation;
        announcement.clockMs = clockMs;
        m_runs->announced(m_now, announcement);
        m_runs->tick(m_now);
    }

    std::int64_t clockMs() const
    {
        return 1000 + std::chrono::duration_cast<std::chrono::milliseconds>(m_now - start).count();
    }

    /// Answers the orders sent since the last call, except that the first @p lostStops stops time out.
    void answerOrders(unsigned lostStops)
    {
        for (const auto n = m_orders.size(); m_seen < n; ++m_seen) {
            const auto order = m_orders[m_seen];
            if (order.kind == OrderKind::Stop && ++m_stops <= lostStops)
                m_stopTimeouts.emplace_back(m_now + order.timeout, order.id);
            else
                answer(order.id);
        }
        for (; !m_stopTimeouts.empty() && m_stopTimeouts.front().first <= m_now; m_stopTimeouts.pop_front())
            m_runs->orderEnded(m_now, m_stopTimeouts.front().second, {});
    }

    /// A later incarnation answers a poll.
    void list(OrderId poll, std::vector<RunId> running, std::vector<EndedRun> ended = {},
              std::uint64_t incarnation = 2)
    {
        OrderResult result;
        result.verdict = OrderVerdict::Accepted;
        result.incarnation = incarnation;
        result.clockMs = 5;
        result.running = std::move(running);
        result.ended = std::move(ended);
        m_runs->orderEnded(m_now, poll, result);
    }

    OrderId lastOrder(OrderKind kind) const
    {
        const auto it = std::find_if(m_orders.rbegin(), m_orders.rend(),
                                     [=](const auto &order) { return order.kind == kind; });
        return it->id;
    }

    static OrderResult acceptedAt(std::int64_t clockMs)
    {
        OrderResult result;
        result.verdict = OrderVerdict::Accepted;
        result.clockMs = clockMs;
        return result;
    }

    void answerAsOther(OrderId order)
    {
        OrderResult result;
        result.verdict = OrderVerdict::OtherIncarnation;
        m_runs->orderEnded(m_now, order, result);
    }

    static constexpr TimePoint start{1000s};
    static constexpr unsigned allStops = 1'000'000;
    std::uint64_t m_lastFence = 0;
    FleetAnnouncement m_announcement;
    TimePoint m_now = start;
    std::vector<RunOrder> m_orders;
    std::size_t m_seen = 0;
    unsigned m_stops = 0;
    std::deque<std::pair<TimePoint, OrderId>> m_stopTimeouts;
    std::vector<RunId> m_running;
    std::unique_ptr<UpstreamRuns> m_runs;
};

} // namespace

// A start that waited for its connection was executed by a restarted upstream after its run was given up.
TEST_F(UpstreamRunsTest, ordersThatGrantALeaseAreNotSentAfterTheirTimeout)
{
    m_runs->stop(m_now, 1);
    std::set<OrderKind> kinds;
    for (const auto &it : m_orders) {
        kinds.insert(it.kind);
        EXPECT_EQ(it.sendDeadline.has_value(), it.leaseMs > 0);
        EXPECT_EQ(it.sendDeadline.value_or(m_now + it.timeout), m_now + it.timeout);
    }
    EXPECT_EQ(kinds.size(), 3U);
    EXPECT_TRUE(m_orders[1].sendDeadline);
    EXPECT_FALSE(m_orders.back().sendDeadline);
}

// After a pause of the VM the lease seemed to have expired, and the run was given up, while the answer with
// its end was waiting to be read.
TEST_F(UpstreamRunsTest, endThatWasReportedDuringAPauseCounts)
{
    const auto poll = m_orders.back();
    ASSERT_EQ(poll.kind, OrderKind::Poll);
    m_now += 1500ms;
    m_runs->tick(m_now, 1490ms);
    EXPECT_TRUE(m_runs->takeFinished().empty());
    answer(poll.id, {{1, "task", 1, RunEndKind::Done}});
    const auto finished = m_runs->takeFinished();
    ASSERT_EQ(finished.size(), 1U);
    EXPECT_EQ(finished[0].outcome, RunOutcome::Done);
}

// The lease of an upstream that is silent for longer than the lag must still expire, so that its task can run
// elsewhere.
TEST_F(UpstreamRunsTest, leaseOfASilentUpstreamExpiresDespiteLag)
{
    for (int i = 0; i < 30; ++i) {
        m_now += 50ms;
        m_runs->tick(m_now, 200ms);
    }
    const auto finished = m_runs->takeFinished();
    ASSERT_EQ(finished.size(), 1U);
    EXPECT_EQ(finished[0].outcome, RunOutcome::Lost);
}

// Without the upstream's state at that time, a log can't tell whether a lost run had ended.
TEST_F(UpstreamRunsTest, lostRunCarriesWhatTheHolderKnew)
{
    for (int i = 0; i < 30; ++i) {
        m_now += 50ms;
        m_runs->tick(m_now);
    }
    const auto finished = m_runs->takeFinished();
    ASSERT_EQ(finished.size(), 1U);
    EXPECT_EQ(finished[0].loss, RunLoss::UpstreamSilent);
    EXPECT_EQ(finished[0].basis.incarnation, 1U);
    EXPECT_EQ(m_orders.back().incarnation, 1U);
    EXPECT_EQ(finished[0].basis.leaseMs, 1600);
    EXPECT_EQ(finished[0].basis.clockMs, 1000);
    constexpr std::size_t answered = 2;
    EXPECT_EQ(finished[0].basis.unansweredOrders, m_orders.size() - answered);
}

// A limit of the VM's own connections must not count as an executed or a failed start.
TEST_F(UpstreamRunsTest, limitedStartWasNotSent)
{
    m_runs->start(m_now, 2, "other", 1, {});
    OrderResult result;
    result.verdict = OrderVerdict::Limited;
    m_runs->orderEnded(m_now, m_orders.back().id, result);
    const auto finished = m_runs->takeFinished();
    ASSERT_EQ(finished.size(), 1U);
    EXPECT_EQ(finished[0].outcome, RunOutcome::NotSent);
    EXPECT_EQ(finished[0].verdict, OrderVerdict::Limited);
    EXPECT_FALSE(m_runs->isReady(m_now));
}

// Orders for other runs extended the lease of a run whose stop orders were lost.
TEST_F(UpstreamRunsTest, noOrderExtendsTheLeaseOfARunWhoseStopIsUnanswered)
{
    const auto leaseEnd = clockMs() + 600;
    m_runs->stop(m_now, 1);
    std::vector<FinishedRun> finished;
    for (std::uint64_t attempt = 2; finished.empty() && m_now < start + 5s; ++attempt) {
        if (m_runs->isReady(m_now)) {
            m_runs->start(m_now, attempt, "other" + std::to_string(attempt), 1, {});
            m_running.push_back({"other" + std::to_string(attempt), 1});
        }
        answerOrders(allStops);
        for (const auto &it : m_orders)
            ASSERT_LE(it.leaseMs, leaseEnd) << clockMs();
        m_now += 10ms;
        m_runs->tick(m_now);
        finished = m_runs->takeFinished();
    }
    EXPECT_GT(clockMs(), leaseEnd);
    EXPECT_LE(m_now, start + 650ms);
    ASSERT_GT(finished.size(), 2U);
    for (const auto &it : finished)
        EXPECT_EQ(it.loss, RunLoss::StopUnanswered) << it.task;
}

// Runs of an earlier holder were extended by the runs that had been started before they were listed.
TEST_F(UpstreamRunsTest, noOrderExtendsTheLeaseOfAForeignRunWhoseStopIsUnanswered)
{
    const auto leaseEnd = clockMs() + 610;
    m_running.push_back({"foreign", 1});
    while (m_now < start + 1s) {
        answerOrders(allStops);
        m_now += 10ms;
        m_runs->tick(m_now);
        ASSERT_LE(m_orders.back().leaseMs, leaseEnd) << clockMs();
    }
}

// A bounded lease must cost the other runs nothing when a stop is repeated after a lost answer.
TEST_F(UpstreamRunsTest, oneLostStopAnswerNeitherDelaysStartsNorEndsOtherRuns)
{
    m_runs->start(m_now, 2, "other", 1, {});
    m_runs->stop(m_now, 1);
    while (m_now < start + 2s) {
        if (m_stops == 1)
            m_running = {{"other", 1}};
        answerOrders(1);
        m_now += 10ms;
        m_runs->tick(m_now);
        ASSERT_TRUE(m_runs->isReady(m_now)) << clockMs();
    }
    const auto finished = m_runs->takeFinished();
    ASSERT_EQ(finished.size(), 1U);
    EXPECT_EQ(finished[0].outcome, RunOutcome::Stopped);
    EXPECT_GT(m_orders.back().leaseMs, clockMs() + 550);
}

// A restarted upstream rejects orders that were meant for its earlier incarnation; that is no takeover.
TEST_F(UpstreamRunsTest, rejectedOrderToAnEarlierIncarnationIsNoTakeover)
{
    m_runs->start(m_now, 2, "other", 1, {});
    const auto start = m_orders.back();
    announceRestart(50);
    EXPECT_GT(m_orders.back().fence, start.fence);
    OrderResult rejected;
    rejected.verdict = OrderVerdict::StaleFence;
    m_runs->orderEnded(m_now, start.id, rejected);
    EXPECT_FALSE(m_runs->isTakenOver());
}

// The clock of an ended incarnation is far ahead of that of the present one, whose leases seemed to have
// expired.
TEST_F(UpstreamRunsTest, clockOfAnEarlierIncarnationExpiresNoLeaseOfThePresentOne)
{
    m_runs->start(m_now, 2, "other", 1, {});
    const auto startToEarlier = m_orders.back().id;
    announceRestart(50);
    OrderResult listing;
    listing.verdict = OrderVerdict::Accepted;
    listing.clockMs = 60;
    listing.incarnation = 2;
    m_runs->orderEnded(m_now, m_orders.back().id, listing);
    m_runs->takeFinished();
    m_runs->start(m_now, 3, "third", 1, {});
    OrderResult ofEarlier;
    ofEarlier.verdict = OrderVerdict::Accepted;
    ofEarlier.clockMs = 500'000;
    m_runs->orderEnded(m_now, startToEarlier, ofEarlier);
    m_runs->tick(m_now);
    EXPECT_TRUE(m_runs->takeFinished().empty());
}

// The list of a restarted upstream overtook its answer to a start, and the crash under the task was not
// counted.
TEST_F(UpstreamRunsTest, crashCountsAlthoughTheRestartIsKnownBeforeTheAnswerToTheStart)
{
    struct Case
    {
        const char *text;
        /// Answer to the start, and whether it arrives after that to the stop.
        OrderVerdict verdict;
        bool isLate = false;
        std::vector<RunId> running;
        std::vector<EndedRun> ended;
        std::optional<CrashState> expected;
    };
    const std::vector<Case> cases{
        {"accepted", OrderVerdict::Accepted, false, {}, {}, CrashState::Confirmed},
        {"accepted late", OrderVerdict::Accepted, true, {}, {}, CrashState::Confirmed},
        {"unanswered", OrderVerdict::NoAnswer, false, {}, {}, CrashState::Inconclusive},
        {"unanswered, late", OrderVerdict::NoAnswer, true, {}, {}, CrashState::Inconclusive},
        {"rejected", OrderVerdict::StaleFence, false, {}, {}, std::nullopt},
        {"listed as running", OrderVerdict::Accepted, false, {{"other", 1}}, {}, std::nullopt},
        {"listed as ended",
         OrderVerdict::Accepted,
         false,
         {},
         {{1, "other", 1, RunEndKind::Stopped}},
         std::nullopt},
    };
    for (const auto &it : cases) {
        SCOPED_TRACE(it.text);
        reset();
        m_runs->start(m_now, 2, "other", 1, {});
        const auto startOrder = lastOrder(OrderKind::Start);
        OrderResult startResult;
        startResult.verdict = it.verdict;
        if (it.verdict != OrderVerdict::NoAnswer)
            startResult.clockMs = clockMs();
        list(lastOrder(OrderKind::Poll), {});
        m_runs->tick(m_now);
        if (!it.isLate)
            m_runs->orderEnded(m_now, startOrder, startResult);
        m_runs->orderEnded(m_now, lastOrder(OrderKind::Stop), acceptedAt(5));
        for (int i = 0; i < 3; ++i) {
            m_now += 10ms;
            m_runs->tick(m_now);
            list(lastOrder(OrderKind::Poll), it.running, it.ended);
        }
        if (it.isLate) {
            m_runs->orderEnded(m_now, startOrder, startResult);
            list(lastOrder(OrderKind::Poll), {});
        }
        std::optional<CrashState> state;
        for (const auto &crash : m_runs->takeCrashes()) {
            if (crash.task == "other")
                state = crash.state;
        }
        EXPECT_EQ(state, it.expected);
    }
}

// As above, where the run was listed before the restart.
TEST_F(UpstreamRunsTest, crashCountsAlthoughTheStartIsAnsweredAfterTheRunWasListed)
{
    m_runs->start(m_now, 2, "other", 1, {});
    m_running.push_back({"other", 1});
    answer(lastOrder(OrderKind::Poll));
    list(lastOrder(OrderKind::Poll), {});
    const auto crashes = m_runs->takeCrashes();
    ASSERT_EQ(crashes.size(), 2U);
    EXPECT_EQ(crashes[0].task, "other");
    EXPECT_EQ(crashes[0].state, CrashState::Confirmed);
}

// As above, where the upstream that has restarted accepted the start, and crashed as well.
TEST_F(UpstreamRunsTest, crashOfTheIncarnationThatListedARunCounts)
{
    m_runs->start(m_now, 2, "other", 1, {});
    const auto startOrder = lastOrder(OrderKind::Start);
    list(lastOrder(OrderKind::Poll), {});
    m_runs->orderEnded(m_now, startOrder, acceptedAt(5));
    m_runs->tick(m_now);
    list(lastOrder(OrderKind::Poll), {{"other", 1}});
    m_runs->takeCrashes();
    list(lastOrder(OrderKind::Poll), {}, {}, 3);
    const auto crashes = m_runs->takeCrashes();
    ASSERT_EQ(crashes.size(), 1U);
    EXPECT_EQ(crashes[0].incarnation, 2U);
    EXPECT_EQ(crashes[0].state, CrashState::Confirmed);
}

// As above, where another upstream has the address before the start is answered.
TEST_F(UpstreamRunsTest, crashBeforeARestartAndAReplacementCounts)
{
    m_runs->start(m_now, 2, "other", 1, {});
    const auto startOrder = lastOrder(OrderKind::Start);
    list(lastOrder(OrderKind::Poll), {});
    m_runs->tick(m_now);
    m_runs->takeCrashes();
    answerAsOther(lastOrder(OrderKind::Poll));
    ASSERT_TRUE(m_runs->isReplaced());
    m_runs->orderEnded(m_now, startOrder, acceptedAt(clockMs()));
    EXPECT_TRUE(m_runs->isIdle());
    const auto crashes = m_runs->takeCrashes();
    ASSERT_EQ(crashes.size(), 1U);
    EXPECT_EQ(crashes[0].incarnation, 1U);
    EXPECT_EQ(crashes[0].state, CrashState::Confirmed);
}

// A task that ends while its upstream leaves must not be run again.
TEST_F(UpstreamRunsTest, endDuringTheDepartureCounts)
{
    const auto poll = m_orders.back();
    leave();
    EXPECT_EQ(m_orders.back().kind, OrderKind::Stop);
    answer(poll.id, {{1, "task", 1, RunEndKind::Done}});
    const auto finished = m_runs->takeFinished();
    ASSERT_EQ(finished.size(), 1U);
    EXPECT_EQ(finished[0].outcome, RunOutcome::Done);
}

// The answer of another upstream at the address from before a move ended the runs at the new address.
TEST_F(UpstreamRunsTest, otherUpstreamAtAnEarlierAddressEndsNothing)
{
    const auto poll = m_orders.back();
    m_announcement.upstream.address = "10.0.0.2";
    m_runs->announced(m_now, m_announcement);
    answerAsOther(poll.id);
    EXPECT_TRUE(m_runs->takeFinished().empty());
    EXPECT_FALSE(m_runs->isReplaced());
    m_now += 50ms;
    m_runs->tick(m_now);
    ASSERT_NE(m_orders.back().id, poll.id);
    EXPECT_EQ(m_orders.back().address, "10.0.0.2");
    answerAsOther(m_orders.back().id);
    EXPECT_TRUE(m_runs->isReplaced());
    EXPECT_EQ(m_runs->takeFinished().size(), 1U);
}

// As above, after a restart at the same address.
TEST_F(UpstreamRunsTest, answerToAnOrderFromBeforeARestartDoesNotReplaceTheUpstream)
{
    const auto poll = m_orders.back();
    m_announcement.upstream.incarnation = 2;
    m_runs->announced(m_now, m_announcement);
    answerAsOther(poll.id);
    EXPECT_FALSE(m_runs->isReplaced());
}

// A stop that takes its time ended the other runs, as no order extended their lease until its end was listed.
TEST_F(UpstreamRunsTest, acknowledgedStopThatTakesTimeEndsNoOtherRun)
{
    m_runs->start(m_now, 2, "other", 1, {});
    m_running.push_back({"other", 1});
    m_runs->stop(m_now, 1);
    while (m_now < start + 2s) {
        answerOrders(0);
        m_now += 10ms;
        m_runs->tick(m_now);
        ASSERT_TRUE(m_runs->takeFinished().empty()) << clockMs();
    }
}

// An order to an earlier incarnation may have given the longest lease before the first answer.
TEST(UpstreamRunsLeaseTest, silenceAfterTheFirstAnswerIsConcludedAfterTheLongestLease)
{
    TimePoint now{1000s};
    std::vector<RunOrder> orders;
    FleetAnnouncement announcement;
    announcement.clockMs = 1000;
    UpstreamRuns runs(now, {}, announcement, [&](RunOrder order) {
        orders.push_back(std::move(order));
        return orders.size();
    });
    OrderResult accepted;
    accepted.verdict = OrderVerdict::Accepted;
    accepted.clockMs = 1000;
    runs.orderEnded(now, 1, accepted);
    runs.start(now, 1, "task", 1, {});
    runs.orderEnded(now, 2, accepted);
    for (; now < TimePoint(1000s + 1000ms); now += 10ms) {
        runs.tick(now);
        ASSERT_TRUE(runs.takeFinished().empty());
    }
    now += 100ms;
    runs.tick(now);
    EXPECT_EQ(runs.takeFinished().size(), 1U);
}

// Only a start that was unanswered before another upstream answered was remembered.
TEST_F(UpstreamRunsTest, startIsOutIfAnotherUpstreamAnsweredBeforeItsTimeout)
{
    m_runs->start(m_now, 2, "other", 1, {});
    const auto startOrder = lastOrder(OrderKind::Start);
    answerAsOther(lastOrder(OrderKind::Poll));
    m_now += 80ms;
    m_runs->orderEnded(m_now, startOrder, {});
    EXPECT_TRUE(m_runs->isIdle());
    EXPECT_TRUE(m_runs->isStartOrderOut(m_now));
}

// The start of a job that was cancelled before its answer was forgotten.
TEST_F(UpstreamRunsTest, startIsOutIfItsStopWasConfirmedBeforeItsTimeout)
{
    m_runs->start(m_now, 2, "other", 1, {});
    const auto startOrder = lastOrder(OrderKind::Start);
    m_now += 5ms;
    m_runs->stop(m_now, 2);
    answer(lastOrder(OrderKind::Stop));
    for (int i = 0; i < 3; ++i) {
        m_now += 5ms;
        answer(lastOrder(OrderKind::Poll));
        m_runs->tick(m_now);
    }
    ASSERT_EQ(m_runs->takeFinished().size(), 1U);
    m_now += 60ms;
    m_runs->orderEnded(m_now, startOrder, {});
    EXPECT_TRUE(m_runs->isStartOrderOut(m_now));
}

// An upstream that had left was not polled, and its next incarnation executed the start.
TEST_F(UpstreamRunsTest, upstreamThatLeavesIsPolledWhileAStartIsOut)
{
    m_runs->start(m_now, 2, "other", 1, {});
    const auto startOrder = lastOrder(OrderKind::Start);
    answer(lastOrder(OrderKind::Poll));
    m_now += 80ms;
    m_runs->orderEnded(m_now, startOrder, {});
    for (int i = 0; i < 100; ++i) {
        answer(lastOrder(OrderKind::Stop));
        answer(lastOrder(OrderKind::Poll));
        m_now += 10ms;
        m_runs->tick(m_now);
    }
    ASSERT_EQ(m_runs->takeFinished().size(), 1U);
    m_runs->stop(m_now, 1);
    m_running.clear();
    for (int i = 0; i < 100; ++i) {
        answer(lastOrder(OrderKind::Stop));
        answer(lastOrder(OrderKind::Poll));
        m_now += 10ms;
        m_runs->tick(m_now);
    }
    ASSERT_EQ(m_runs->takeFinished().size(), 1U);
    ASSERT_TRUE(m_runs->isIdle());
    ASSERT_TRUE(m_runs->isStartOrderOut(m_now));
    leave();
    answer(lastOrder(OrderKind::Poll));
    const auto sent = m_orders.size();
    for (int i = 0; i < 300; ++i) {
        m_now += 10ms;
        m_runs->tick(m_now);
        m_runs->orderEnded(m_now, lastOrder(OrderKind::Poll), {});
    }
    ASSERT_TRUE(m_runs->isStartOrderOut(m_now));
    EXPECT_GT(m_orders.size(), sent);
}

// Stops of runs on a silent upstream were repeated for 16 s and used up the connections of the holder.
TEST_F(UpstreamRunsTest, stopsAreNotRepeatedOnASilentUpstream)
{
    for (std::uint64_t attempt = 2; attempt < 10; ++attempt)
        m_runs->start(m_now, attempt, "other" + std::to_string(attempt), 1, {});
    const auto begin = m_now;
    std::size_t stops = 0;
    std::deque<std::pair<TimePoint, OrderId>> timeouts;
    for (auto seen = std::size_t{2}; m_now < begin + 15s; m_now += 10ms) {
        for (; seen < m_orders.size(); ++seen) {
            stops += m_orders[seen].kind == OrderKind::Stop ? 1 : 0;
            timeouts.emplace_back(m_now + m_orders[seen].timeout, m_orders[seen].id);
        }
        for (auto n = timeouts.size(); n > 0; --n) {
            const auto it = timeouts.front();
            timeouts.pop_front();
            if (it.first <= m_now)
                m_runs->orderEnded(m_now, it.second, {});
            else
                timeouts.push_back(it);
        }
        m_runs->tick(m_now);
    }
    EXPECT_LT(stops, 8U * 60);
}

// Each poll put off the end of a run whose start and stops stay unanswered.
TEST_F(UpstreamRunsTest, runWithoutAnAnswerEndsOnAnUpstreamThatAnswersPollsAlone)
{
    m_runs->start(m_now, 2, "other", 1, {});
    const auto startOrder = lastOrder(OrderKind::Start);
    const auto first = m_now;
    m_now += 80ms;
    m_runs->orderEnded(m_now, startOrder, {});
    std::optional<TimePoint> endedAt;
    answer(lastOrder(OrderKind::Poll));
    m_seen = startOrder; // later orders
    while (m_now < first + 30s) {
        answerOrders(allStops);
        m_now += 10ms;
        m_runs->tick(m_now);
        for (const auto &it : m_runs->takeFinished()) {
            if (it.task == "other")
                endedAt = m_now;
        }
    }
    ASSERT_TRUE(endedAt);
    EXPECT_LE(*endedAt, first + 17s);
}
