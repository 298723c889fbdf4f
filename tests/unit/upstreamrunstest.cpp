#include "citronpitch/upstreamruns.h"

#include <gtest/gtest.h>

#include <algorithm>
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
        FleetAnnouncement announcement;
        announcement.upstream.name = "u";
        announcement.upstream.incarnation = 1;
        announcement.clockMs = 1000;
        UpstreamRunsOptions options;
        options.takeFence = [this] { return ++m_lastFence; };
        m_runs = std::make_unique<UpstreamRuns>(m_now, options, announcement, [this](RunOrder order) {
            order.id = m_orders.size() + 1;
            m_orders.push_back(std::move(order));
            return m_orders.back().id;
        });
        answer(m_orders.back().id);
        m_runs->start(m_now, 1, "task", 1, {});
        answer(m_orders[1].id);
    }

    void answer(OrderId order, std::vector<EndedRun> ended = {})
    {
        OrderResult result;
        result.verdict = OrderVerdict::Accepted;
        result.clockMs = 1000 + std::chrono::duration_cast<std::chrono::milliseconds>(m_now - start).count();
        if (ended.empty())
            result.running = {{"task", 1}};
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
        const auto inFlight = std::find_if(m_orders.rbegin(), m_orders.rend(),
                                           [](const auto &it) { return it.kind == OrderKind::Poll; });
        answer(inFlight->id);
        m_runs->tick(m_now);
    }

    static constexpr TimePoint start{1000s};
    std::uint64_t m_lastFence = 0;
    TimePoint m_now = start;
    std::vector<RunOrder> m_orders;
    std::unique_ptr<UpstreamRuns> m_runs;
};

} // namespace

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
    EXPECT_FALSE(m_runs->isReady());
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
