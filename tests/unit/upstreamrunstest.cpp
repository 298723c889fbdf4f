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
        m_announcement.upstream.name = "u";
        m_announcement.upstream.incarnation = 1;
        m_announcement.clockMs = 1000;
        m_runs = std::make_unique<UpstreamRuns>(m_now, UpstreamRunsOptions{}, m_announcement,
                                                [this](RunOrder order) {
                                                    order.id = m_orders.size() + 1;
                                                    m_orders.push_back(std::move(order));
                                                    return m_orders.back().id;
                                                });
        answer(m_orders.back().id);
        m_runs->start(m_now, 1, "task", 1, {});
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
        result.clockMs = 1000 + std::chrono::duration_cast<std::chrono::milliseconds>(m_now - start).count();
        // The first poll precedes the start.
        if (ended.empty() && order > 1)
            result.running = {{"task", 1}};
        result.ended = std::move(ended);
        m_runs->orderEnded(m_now, order, result);
    }

    void answerAsOther(OrderId order)
    {
        OrderResult result;
        result.verdict = OrderVerdict::OtherIncarnation;
        m_runs->orderEnded(m_now, order, result);
    }

    static constexpr TimePoint start{1000s};
    FleetAnnouncement m_announcement;
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
