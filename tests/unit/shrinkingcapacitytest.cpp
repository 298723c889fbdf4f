#include "support/groupharness.h"

#include <gtest/gtest.h>

using namespace Citronpitch;

namespace {

constexpr auto settlingTime = std::chrono::seconds(1);

/// One upstream that runs whatever it is told to, so that only the dispatcher keeps it within its capacity.
class ShrinkingCapacityTest : public testing::TestWithParam<bool>
{
protected:
    ShrinkingCapacityTest()
        : upstream(group.add(unguarded()))
    {
        group.countsResources = GetParam();
        group.setSlots("u0", 4);
        group.advance(settlingTime);
    }

    static SimulatedUpstreamOptions unguarded()
    {
        SimulatedUpstreamOptions options{"u0"};
        options.slots = 100;
        options.taskTime = std::chrono::milliseconds(200);
        return options;
    }

    void submitJobs(std::uint64_t first, std::uint64_t last, std::size_t tasks)
    {
        for (auto i = first; i <= last; ++i)
            group.submit("job" + std::to_string(i), i, tasks, std::chrono::seconds(30));
    }

    /// Returns the number of starts that brought the upstream over @p capacity within @p time.
    unsigned startsOver(std::size_t capacity, Duration time)
    {
        unsigned n = 0;
        auto running = upstream.running();
        for (Duration it{}; it < time; it += std::chrono::milliseconds(1)) {
            group.advance(std::chrono::milliseconds(1));
            const auto now = upstream.running();
            for (const auto &[task, run] : now)
                n += !running.contains(task) && now.size() > capacity ? 1 : 0;
            running = now;
        }
        return n;
    }

    GroupHarness group;
    SimulatedUpstream &upstream;
};

} // namespace

TEST_P(ShrinkingCapacityTest, startsFollowACapacityThatShrinksAndGrows)
{
    submitJobs(1, 30, 2);
    EXPECT_EQ(startsOver(4, std::chrono::milliseconds(100)), 0U);
    ASSERT_EQ(upstream.running().size(), 4U);
    group.setSlots("u0", 1);
    // An order that was on its way may still arrive.
    group.advance(std::chrono::milliseconds(5));
    EXPECT_EQ(startsOver(1, std::chrono::seconds(2)), 0U);
    EXPECT_EQ(group.dispatcher().load(group.now()).parallelTasks, 1U);
    EXPECT_EQ(group.dispatcher().load(group.now()).freeTasks, 0U);
    group.setSlots("u0", 4);
    EXPECT_EQ(startsOver(4, std::chrono::seconds(2)), 0U);
    EXPECT_EQ(upstream.running().size(), 4U);
}

/// A run that is being stopped occupies the upstream until it has ended there.
TEST_P(ShrinkingCapacityTest, stoppedRunsCountUntilTheyHaveEnded)
{
    submitJobs(1, 4, 1);
    group.advance(std::chrono::milliseconds(20));
    ASSERT_EQ(upstream.running().size(), 4U);
    group.setSlots("u0", 3);
    group.setUnreachable("u0", true);
    for (std::uint64_t i = 1; i <= 4; ++i)
        group.dispatcher().cancel(group.now(), {"entry", 1, i});
    submitJobs(5, 12, 1);
    EXPECT_EQ(startsOver(3, std::chrono::milliseconds(100)), 0U);
    group.setUnreachable("u0", false);
    EXPECT_EQ(startsOver(3, std::chrono::seconds(2)), 0U);
}

TEST_P(ShrinkingCapacityTest, newHolderKeepsToTheShrunkCapacity)
{
    submitJobs(1, 10, 2);
    group.advance(std::chrono::milliseconds(50));
    group.setSlots("u0", 2);
    group.takeOver();
    submitJobs(21, 30, 2);
    EXPECT_EQ(startsOver(2, std::chrono::seconds(2)), 0U);
    EXPECT_GT(group.answers.size(), 0U);
}

/// A reservation made before the capacity shrank is started within what is left.
TEST_P(ShrinkingCapacityTest, reservedJobStartsWithinTheShrunkCapacity)
{
    group.submit("reserved", 1, 4, std::chrono::seconds(30), {}, true);
    ASSERT_TRUE(group.reserved.contains(1));
    group.setSlots("u0", 1);
    EXPECT_EQ(group.dispatcher().load(group.now()).freeTasks, 0U);
    EXPECT_TRUE(group.start(1));
    EXPECT_EQ(startsOver(1, std::chrono::seconds(2)), 0U);
    EXPECT_EQ(group.answers.at(1).outcome, Outcome::Complete);
}

/// An upstream may announce no capacity at all for a while; what waits runs once there is some again.
TEST_P(ShrinkingCapacityTest, waitingJobsRunOnceCapacityIsBack)
{
    submitJobs(1, 3, 2);
    group.advance(std::chrono::milliseconds(20));
    group.setSlots("u0", 0);
    // What can't run at present is refused, and the caller is told when to return.
    group.submit("refused", 4, 1);
    ASSERT_TRUE(group.answers.contains(4));
    EXPECT_EQ(group.answers.at(4).outcome, Outcome::Refused);
    EXPECT_GT(group.answers.at(4).retryAt, group.now());
    group.advance(std::chrono::milliseconds(500));
    group.setSlots("u0", 4);
    group.advance(std::chrono::seconds(2));
    for (std::uint64_t i = 1; i <= 3; ++i) {
        ASSERT_TRUE(group.answers.contains(i));
        EXPECT_EQ(group.answers.at(i).outcome, Outcome::Complete);
    }
}

INSTANTIATE_TEST_SUITE_P(Counting, ShrinkingCapacityTest, testing::Bool(),
                         [](const auto &it) { return it.param ? "Resources" : "Slots"; });
