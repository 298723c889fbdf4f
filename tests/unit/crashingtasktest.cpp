#include "support/groupharness.h"

#include <gtest/gtest.h>

using namespace Citronpitch;

namespace {

constexpr auto settlingTime = std::chrono::seconds(1);
constexpr auto clientTimeout = std::chrono::milliseconds(1500);
constexpr auto callerRetryTime = std::chrono::milliseconds(1300);
/// Starts after GroupHarness::crashLimit crashes with which a task exceeds its budget.
constexpr unsigned excessStarts = 3;
constexpr int upstreams = 12;

struct CrashKind
{
    std::chrono::milliseconds downTime;
    bool changesName = false;
    /// Whether starts are answered before the crash. Otherwise it never becomes known that the task ran.
    bool isAnswered = true;
};

class CrashingTaskTest : public testing::TestWithParam<CrashKind>
{
protected:
    CrashingTaskTest()
    {
        for (int i = 0; i < upstreams; ++i)
            group.add({"u" + std::to_string(i)});
        group.downTime = GetParam().downTime;
        group.changesNameAfterCrash = GetParam().changesName;
        group.answersBeforeCrash = GetParam().isAnswered;
        group.advance(settlingTime);
        group.crashes = [](const std::string &task) { return task == "deadly.0"; };
    }

    /// Submits job "deadly" as its caller does: again under the same key while the answer is not final.
    /// Returns the number of the last submission.
    std::uint64_t submitUntilAnswered(std::size_t tasks, unsigned submissions,
                                      const std::function<void()> &betweenSubmissions = {})
    {
        std::uint64_t number = 100;
        for (unsigned i = 0; i < submissions; ++i) {
            group.submit("deadly", ++number, tasks, clientTimeout);
            group.advance(clientTimeout);
            const auto answer = group.answers.find(number);
            if (answer != group.answers.end() && answer->second.reason == Reason::TaskFailed)
                break;
            if (betweenSubmissions)
                betweenSubmissions();
            group.advance(callerRetryTime);
        }
        return number;
    }

    GroupHarness group;
};

} // namespace

TEST_P(CrashingTaskTest, taskThatCrashesItsUpstreamsIsNotStartedAgainAndAgain)
{
    group.submit("deadly", 1, 1, std::chrono::seconds(30));
    group.advance(std::chrono::seconds(20));
    EXPECT_LT(group.startsAfterCrashes["deadly.0"], excessStarts);
    EXPECT_EQ(group.answers.contains(1), GetParam().isAnswered);
    if (GetParam().isAnswered) {
        EXPECT_EQ(group.answers.at(1).reason, Reason::TaskFailed);
    }
    // The upstreams are used again.
    group.crashes = {};
    // The harness does not renew announcements by itself.
    for (int i = 0; i < upstreams; ++i)
        group.add({"new" + std::to_string(i)});
    group.advance(settlingTime);
    group.submit("other", 2, 24);
    group.advance(settlingTime);
    EXPECT_EQ(group.answers.at(2).outcome, Outcome::Complete);
}

TEST_P(CrashingTaskTest, retriedJobDoesNotCrashUpstreamsAgain)
{
    // A task beside the crashing one is known to have run.
    const auto last = submitUntilAnswered(GetParam().isAnswered ? 2 : 1, 10);
    EXPECT_LT(group.startsAfterCrashes["deadly.0"], excessStarts);
    EXPECT_EQ(group.answers.at(last).reason,
              GetParam().isAnswered ? Reason::TaskFailed : Reason::DeadlinePassed);
}

TEST_P(CrashingTaskTest, newHolderKnowsTheCrashesOfATask)
{
    submitUntilAnswered(1, 10, [this] { group.takeOver(); });
    EXPECT_LT(group.startsAfterCrashes["deadly.0"], excessStarts);
}

INSTANTIATE_TEST_SUITE_P(DownTimes, CrashingTaskTest,
                         testing::Values(CrashKind{std::chrono::milliseconds(5)},
                                         CrashKind{std::chrono::milliseconds(400)},
                                         CrashKind{std::chrono::milliseconds(3000)},
                                         CrashKind{std::chrono::milliseconds(9000)},
                                         CrashKind{std::chrono::milliseconds(5), true},
                                         CrashKind{std::chrono::milliseconds(400), true},
                                         CrashKind{std::chrono::milliseconds(3000), true},
                                         CrashKind{std::chrono::milliseconds(5), false, false},
                                         CrashKind{std::chrono::milliseconds(400), true, false},
                                         CrashKind{std::chrono::milliseconds(3000), true, false}),
                         [](const auto &it) {
                             return std::to_string(it.param.downTime.count()) + "ms"
                                 + (it.param.changesName ? "OtherName" : "")
                                 + (it.param.isAnswered ? "" : "Unanswered");
                         });

/// An upstream that is only silent has not crashed: its tasks are not given up.
TEST(CrashCountTest, silentUpstreamsDoNotCountAsCrashed)
{
    GroupHarness group;
    for (int i = 0; i < 6; ++i) {
        SimulatedUpstreamOptions slow{"u" + std::to_string(i)};
        slow.taskTime = std::chrono::milliseconds(500);
        group.add(slow);
    }
    group.advance(settlingTime);
    group.submit("a", 1, 1, std::chrono::seconds(30));
    for (int round = 0; round < 4; ++round) {
        group.advance(std::chrono::milliseconds(50));
        std::string busy;
        for (int i = 0; i < 6; ++i) {
            const auto name = "u" + std::to_string(i);
            if (!group.upstream(name).running().empty())
                busy = name;
        }
        ASSERT_FALSE(busy.empty());
        group.setUnreachable(busy, true);
        group.advance(std::chrono::milliseconds(900));
        group.setUnreachable(busy, false);
        group.advance(std::chrono::milliseconds(200));
    }
    group.advance(std::chrono::seconds(3));
    ASSERT_TRUE(group.answers.contains(1));
    EXPECT_EQ(group.answers.at(1).outcome, Outcome::Complete);
}

/// The tasks beside one that crashes their upstream are run again.
TEST(CrashCountTest, taskBesideACrashingOneIsCompleted)
{
    GroupHarness group;
    group.downTime = std::chrono::milliseconds(300);
    for (int i = 0; i < 4; ++i)
        group.add({"u" + std::to_string(i)});
    group.advance(settlingTime);
    group.submit("bystander", 1, 8, std::chrono::seconds(10));
    group.advance(std::chrono::milliseconds(20));
    group.crashes = [](const std::string &task) { return task == "deadly.0"; };
    group.submit("deadly", 2, 1, std::chrono::seconds(10));
    group.advance(std::chrono::seconds(9));
    EXPECT_EQ(group.answers.at(1).outcome, Outcome::Complete);
    EXPECT_EQ(group.answers.at(2).reason, Reason::TaskFailed);
}

/// Guards against a reserved job that waits for its deadline, as it was admitted before the crashes.
TEST(CrashCountTest, reservedJobFailsAtOnceAfterTheCrashes)
{
    GroupHarness group;
    group.downTime = std::chrono::milliseconds(5);
    for (int i = 0; i < 4; ++i)
        group.add({"u" + std::to_string(i)});
    group.advance(settlingTime);
    group.crashes = [](const std::string &task) { return task == "deadly.0"; };
    group.submit("deadly", 1, 1);
    std::uint64_t reservation = 1;
    while (!group.answers.contains(1)) {
        group.submit("deadly", ++reservation, 1, std::chrono::seconds(5), {}, true);
        group.advance(std::chrono::milliseconds(1));
    }
    ASSERT_EQ(group.answers.at(1).reason, Reason::TaskFailed);
    ASSERT_TRUE(group.start(reservation));
    // The last run of the first submission is being stopped.
    group.advance(settlingTime);
    ASSERT_TRUE(group.answers.contains(reservation));
    EXPECT_EQ(group.answers.at(reservation).reason, Reason::TaskFailed);
}
