#include "citronpitch/upstreamruns.h"

#include <gtest/gtest.h>

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
        m_runs = std::make_unique<UpstreamRuns>(m_now, UpstreamRunsOptions{}, announcement,
                                                [this](RunOrder order) {
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

    static constexpr TimePoint start{1000s};
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
    EXPECT_FALSE(m_runs->isReady());
}
