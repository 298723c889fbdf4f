#include "citronpitch/jobrelay.h"

#include <gtest/gtest.h>

using namespace Citronpitch;

namespace {

constexpr TimePoint start{std::chrono::seconds(1000)};
constexpr auto patience = std::chrono::seconds(2);

/// A relay in domain "a", with a holder "vm-a" for group "a" and "vm-b" for group "b".
JobRelay relayWith(std::uint32_t freeInA, std::uint32_t freeInB)
{
    JobRelay relay({"a"});
    relay.setHolders({{"a", "vm-a", 1, 1}, {"b", "vm-b", 2, 2}});
    relay.holderAlive("vm-a", 1, false);
    relay.holderAlive("vm-b", 2, false);
    relay.loadReported("vm-a", {{"a", 1, true, freeInA, 10, {}}});
    relay.loadReported("vm-b", {{"b", 2, true, freeInB, 10, {}}});
    return relay;
}

HeldJob jobOf(const std::string &key, std::size_t tasks)
{
    HeldJob job;
    job.submission.key = key;
    job.submission.deadline = start + patience;
    job.submission.tasks.resize(tasks);
    return job;
}

template <typename Action> std::vector<Action> actionsOf(const std::vector<RelayAction> &actions)
{
    std::vector<Action> list;
    for (const auto &it : actions) {
        if (const auto *action = std::get_if<Action>(&it))
            list.push_back(*action);
    }
    return list;
}

Answer answerOf(Outcome outcome)
{
    Answer answer;
    answer.outcome = outcome;
    return answer;
}

} // namespace

TEST(JobRelayTest, jobStaysInItsDomainWhileThereIsRoom)
{
    auto relay = relayWith(8, 8);
    relay.submit(start, 1, jobOf("k", 4));
    const auto sent = actionsOf<SendJob>(relay.takeActions());
    ASSERT_EQ(sent.size(), 1U);
    EXPECT_EQ(sent[0].vm, "vm-a");
}

TEST(JobRelayTest, jobThatFitsNowhereIsSplitAndCompleteWithItsLastPart)
{
    auto relay = relayWith(3, 2);
    relay.submit(start, 1, jobOf("k", 5));
    const auto sent = actionsOf<SendJob>(relay.takeActions());
    ASSERT_EQ(sent.size(), 2U);
    EXPECT_EQ(sent[0].job.submission.tasks.size() + sent[1].job.submission.tasks.size(), 5U);
    EXPECT_EQ(sent[1].job.firstTask, sent[0].job.submission.tasks.size());
    relay.ended(start, sent[0].vm, sent[0].job.owner.number, answerOf(Outcome::Complete));
    EXPECT_TRUE(relay.takeActions().empty());
    relay.ended(start, sent[1].vm, sent[1].job.owner.number, answerOf(Outcome::Complete));
    const auto answers = actionsOf<AnswerCaller>(relay.takeActions());
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers[0].answer.outcome, Outcome::Complete);
}

TEST(JobRelayTest, refusalOfOnePartIsNoRefusalOfTheJob)
{
    auto relay = relayWith(3, 2);
    relay.submit(start, 1, jobOf("k", 5));
    const auto sent = actionsOf<SendJob>(relay.takeActions());
    ASSERT_EQ(sent.size(), 2U);
    relay.ended(start, sent[0].vm, sent[0].job.owner.number, answerOf(Outcome::Refused));
    const auto actions = relay.takeActions();
    const auto answers = actionsOf<AnswerCaller>(actions);
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers[0].answer.outcome, Outcome::Failed);
    // The other part is told to stop.
    EXPECT_EQ(actionsOf<SendCancel>(actions).size(), 1U);
}

TEST(JobRelayTest, refusedJobIsTriedInOneOtherGroup)
{
    auto relay = relayWith(8, 8);
    relay.submit(start, 1, jobOf("k", 2));
    auto sent = actionsOf<SendJob>(relay.takeActions());
    relay.ended(start, "vm-a", sent[0].job.owner.number, answerOf(Outcome::Refused));
    sent = actionsOf<SendJob>(relay.takeActions());
    ASSERT_EQ(sent.size(), 1U);
    EXPECT_EQ(sent[0].vm, "vm-b");
    relay.ended(start, "vm-b", sent[0].job.owner.number, answerOf(Outcome::Refused));
    const auto answers = actionsOf<AnswerCaller>(relay.takeActions());
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers[0].answer.outcome, Outcome::Refused);
}

TEST(JobRelayTest, lostHolderMakesTheOutcomeUnknown)
{
    auto relay = relayWith(8, 8);
    relay.submit(start, 1, jobOf("k", 2));
    relay.takeActions();
    relay.holderGone("vm-a");
    const auto answers = actionsOf<AnswerCaller>(relay.takeActions());
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers[0].answer.outcome, Outcome::Unknown);
}

TEST(JobRelayTest, withoutAHolderInReachAJobIsRefusedAtOnceWithATimeToComeBack)
{
    JobRelay relay({"a"});
    EXPECT_FALSE(relay.canServe());
    relay.submit(start, 1, jobOf("k", 2));
    const auto answers = actionsOf<AnswerCaller>(relay.takeActions());
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers[0].answer.outcome, Outcome::Refused);
    EXPECT_TRUE(answers[0].answer.retryAt);
}

TEST(JobRelayTest, callerThatLeavesCancelsItsJobUntilTheHolderHasSaidSo)
{
    auto relay = relayWith(8, 8);
    relay.submit(start, 1, jobOf("k", 2));
    const auto number = actionsOf<SendJob>(relay.takeActions())[0].job.owner.number;
    relay.callerGone(1);
    EXPECT_EQ(actionsOf<SendCancel>(relay.takeActions()).size(), 1U);
    relay.tick(start + std::chrono::milliseconds(200));
    EXPECT_EQ(actionsOf<SendCancel>(relay.takeActions()).size(), 1U);
    relay.ended(start, "vm-a", number, answerOf(Outcome::Failed));
    relay.tick(start + std::chrono::milliseconds(400));
    EXPECT_TRUE(relay.takeActions().empty());
}

TEST(JobRelayTest, callerThatSendsAgainJoinsItsJob)
{
    auto relay = relayWith(8, 8);
    relay.submit(start, 1, jobOf("k", 2));
    const auto sent = actionsOf<SendJob>(relay.takeActions());
    relay.submit(start, 2, jobOf("k", 2));
    EXPECT_TRUE(relay.takeActions().empty());
    relay.ended(start, "vm-a", sent[0].job.owner.number, answerOf(Outcome::Complete));
    EXPECT_EQ(actionsOf<AnswerCaller>(relay.takeActions()).size(), 2U);
}

TEST(JobRelayTest, jobThatGotNoAnswerIsPassedOnAgainUnderItsNumber)
{
    auto relay = relayWith(8, 8);
    relay.submit(start, 1, jobOf("k", 2));
    const auto first = actionsOf<SendJob>(relay.takeActions());
    relay.tick(start + std::chrono::milliseconds(300));
    const auto again = actionsOf<SendJob>(relay.takeActions());
    ASSERT_EQ(again.size(), 1U);
    EXPECT_EQ(again[0].job.owner.number, first[0].job.owner.number);
}

TEST(JobRelayTest, jobIsAnsweredAtItsDeadline)
{
    auto relay = relayWith(8, 8);
    relay.submit(start, 1, jobOf("k", 2));
    relay.takeActions();
    relay.tick(start + patience);
    const auto answers = actionsOf<AnswerCaller>(relay.takeActions());
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers[0].answer.reason, Reason::DeadlinePassed);
}
