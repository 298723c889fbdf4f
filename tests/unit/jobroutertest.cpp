#include "citronpitch/jobrouter.h"

#include <gtest/gtest.h>

#include <map>
#include <set>

using namespace Citronpitch;

namespace {

constexpr TimePoint start{std::chrono::seconds(1000)};
constexpr auto timeout = std::chrono::seconds(2);

/// Returns a router in domain "a", with holder "vm-a" of group "a" and holder "vm-b" of group "b".
JobRouter routerWith(std::uint32_t freeInA, std::uint32_t freeInB)
{
    JobRouter router({"a"});
    router.setHolders({{"a", "vm-a", 1, 1}, {"b", "vm-b", 2, 2}});
    router.holderAlive("vm-a", 1, false);
    router.holderAlive("vm-b", 2, false);
    router.loadReported(start, "vm-a", {{"a", 1, true, freeInA, 10, {}}});
    router.loadReported(start, "vm-b", {{"b", 2, true, freeInB, 10, {}}});
    return router;
}

RoutedJob jobOf(const std::string &key, std::size_t tasks)
{
    RoutedJob job;
    job.submission.key = key;
    job.submission.deadline = start + timeout;
    job.submission.tasks.resize(tasks);
    return job;
}

template <typename Action> std::vector<Action> actionsOf(const std::vector<RouterAction> &actions)
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

/// Returns a router in domain "home", which holds no group, with groups "a", "b", ... that have this many
/// free slots each, and holders "vm-a", "vm-b", ...
JobRouter routerWithGroups(const std::vector<std::uint32_t> &freeTasks, std::uint64_t seed = 1)
{
    JobRouterOptions options;
    options.domain = "home";
    options.seed = seed;
    JobRouter router(std::move(options));
    std::vector<GroupHolder> holders;
    for (std::size_t i = 0; i < freeTasks.size(); ++i) {
        const std::string group(1, static_cast<char>('a' + i));
        holders.push_back({group, "vm-" + group, 1, i + 1});
    }
    router.setHolders(holders);
    for (std::size_t i = 0; i < freeTasks.size(); ++i) {
        router.holderAlive(holders[i].vm, 1, false);
        router.loadReported(start, holders[i].vm, {{holders[i].group, i + 1, true, freeTasks[i], 100, {}}});
    }
    return router;
}

/// Reports a group whose queue makes jobs of class "work" wait for @p wait; they are of use after at most
/// 50 ms.
GroupLoad loadWithWait(const std::string &group, std::uint64_t fence, std::uint32_t freeTasks, Duration wait)
{
    GroupLoad load{group, fence, true, freeTasks, 100, wait * 100, {}};
    load.classes = {{"work", freeTasks, wait, std::chrono::milliseconds(50)}};
    return load;
}

} // namespace

TEST(JobRouterTest, jobIsRoutedToItsOwnDomainWhileItHasCapacity)
{
    auto router = routerWith(8, 8);
    router.submit(start, 1, jobOf("k", 4));
    const auto sent = actionsOf<SendJob>(router.takeActions());
    ASSERT_EQ(sent.size(), 1U);
    EXPECT_EQ(sent[0].vm, "vm-a");
}

TEST(JobRouterTest, splitJobIsCompleteWithItsLastPart)
{
    auto router = routerWith(3, 2);
    router.submit(start, 1, jobOf("k", 5));
    const auto sent = actionsOf<SendJob>(router.takeActions());
    ASSERT_EQ(sent.size(), 2U);
    EXPECT_EQ(sent[0].job.submission.tasks.size() + sent[1].job.submission.tasks.size(), 5U);
    EXPECT_EQ(sent[1].job.firstTask, sent[0].job.submission.tasks.size());
    router.holderAnswered(start, sent[0].vm, sent[0].job.origin.number, answerOf(Outcome::Complete));
    EXPECT_TRUE(router.takeActions().empty());
    router.holderAnswered(start, sent[1].vm, sent[1].job.origin.number, answerOf(Outcome::Complete));
    const auto answers = actionsOf<AnswerCaller>(router.takeActions());
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers[0].answer.outcome, Outcome::Complete);
}

/// Nothing has started while a part is only reserved, so the job is refused as a whole, and the work of the
/// other part is not wasted.
TEST(JobRouterTest, refusedPartRefusesASplitJobThatHasNotStarted)
{
    auto router = routerWith(3, 2);
    router.submit(start, 1, jobOf("k", 5));
    const auto sent = actionsOf<SendJob>(router.takeActions());
    ASSERT_EQ(sent.size(), 2U);
    router.partReserved(start, sent[1].vm, sent[1].job.origin.number);
    router.holderAnswered(start, sent[0].vm, sent[0].job.origin.number, answerOf(Outcome::Refused));
    const auto actions = router.takeActions();
    EXPECT_TRUE(actionsOf<SendStart>(actions).empty());
    const auto answers = actionsOf<AnswerCaller>(actions);
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers[0].answer.outcome, Outcome::Refused);
    // The other part is cancelled.
    EXPECT_EQ(actionsOf<SendCancel>(actions).size(), 1U);
}

/// The other part may have run, so the caller must not get a refusal, which says that nothing ran.
TEST(JobRouterTest, refusedPartFailsASplitJobThatHasStarted)
{
    auto router = routerWith(3, 2);
    router.submit(start, 1, jobOf("k", 5));
    const auto sent = actionsOf<SendJob>(router.takeActions());
    ASSERT_EQ(sent.size(), 2U);
    for (const auto &it : sent)
        router.partReserved(start, it.vm, it.job.origin.number);
    router.takeActions();
    router.holderAnswered(start, sent[0].vm, sent[0].job.origin.number, answerOf(Outcome::Refused));
    const auto actions = router.takeActions();
    EXPECT_TRUE(actionsOf<SendJob>(actions).empty());
    const auto answers = actionsOf<AnswerCaller>(actions);
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers[0].answer.outcome, Outcome::Failed);
    // The other part is cancelled.
    EXPECT_EQ(actionsOf<SendCancel>(actions).size(), 1U);
}

/// A part that starts before the others are certain of their places may run in vain.
TEST(JobRouterTest, splitJobStartsOnceAllItsPartsAreReserved)
{
    auto router = routerWith(3, 2);
    router.submit(start, 1, jobOf("k", 5));
    const auto sent = actionsOf<SendJob>(router.takeActions());
    ASSERT_EQ(sent.size(), 2U);
    EXPECT_TRUE(sent[0].job.reserve);
    EXPECT_TRUE(sent[1].job.reserve);
    router.partReserved(start, sent[0].vm, sent[0].job.origin.number);
    EXPECT_TRUE(router.takeActions().empty());
    router.partReserved(start, sent[1].vm, sent[1].job.origin.number);
    EXPECT_EQ(actionsOf<SendStart>(router.takeActions()).size(), 2U);
    // A repeated report starts nothing again.
    router.partReserved(start, sent[1].vm, sent[1].job.origin.number);
    EXPECT_TRUE(router.takeActions().empty());
    // A lost start is resent, and the one that was received is not.
    router.partsReceived(start, sent[0].vm, {sent[0].job.origin.number});
    router.tick(start + std::chrono::milliseconds(30));
    const auto again = actionsOf<SendStart>(router.takeActions());
    ASSERT_EQ(again.size(), 1U);
    EXPECT_EQ(again[0].number, sent[1].job.origin.number);
}

/// A job that one group can start must not wait for another round trip.
TEST(JobRouterTest, jobThatIsNotSplitIsNotReserved)
{
    auto router = routerWith(8, 8);
    router.submit(start, 1, jobOf("k", 4));
    EXPECT_FALSE(actionsOf<SendJob>(router.takeActions()).at(0).job.reserve);
}

/// A reserved part has certainly not run before its start was sent, so its job is not unknown.
TEST(JobRouterTest, splitJobWithAReservedPartOnAnUnreachableVmIsRefused)
{
    auto router = routerWith(3, 2);
    router.submit(start, 1, jobOf("k", 5));
    const auto sent = actionsOf<SendJob>(router.takeActions());
    ASSERT_EQ(sent.size(), 2U);
    router.partReserved(start, sent[0].vm, sent[0].job.origin.number);
    router.holderUnreachable(start, sent[0].vm);
    EXPECT_EQ(actionsOf<AnswerCaller>(router.takeActions()).at(0).answer.outcome, Outcome::Refused);
}

/// Once the start was sent, the part on the unreachable VM may have run.
TEST(JobRouterTest, startedSplitJobOfAnUnreachableVmIsUnknown)
{
    auto router = routerWith(3, 2);
    router.submit(start, 1, jobOf("k", 5));
    const auto sent = actionsOf<SendJob>(router.takeActions());
    for (const auto &it : sent)
        router.partReserved(start, it.vm, it.job.origin.number);
    router.takeActions();
    router.holderUnreachable(start, sent.at(0).vm);
    EXPECT_EQ(actionsOf<AnswerCaller>(router.takeActions()).at(0).answer.outcome, Outcome::Unknown);
}

TEST(JobRouterTest, refusedJobIsRetriedInOneOtherGroup)
{
    auto router = routerWith(8, 8);
    router.submit(start, 1, jobOf("k", 2));
    auto sent = actionsOf<SendJob>(router.takeActions());
    router.holderAnswered(start, "vm-a", sent[0].job.origin.number, answerOf(Outcome::Refused));
    sent = actionsOf<SendJob>(router.takeActions());
    ASSERT_EQ(sent.size(), 1U);
    EXPECT_EQ(sent[0].vm, "vm-b");
    router.holderAnswered(start, "vm-b", sent[0].job.origin.number, answerOf(Outcome::Refused));
    const auto answers = actionsOf<AnswerCaller>(router.takeActions());
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers[0].answer.outcome, Outcome::Refused);
}

/// Runs of an unreachable holder may continue, so its jobs must not be answered as failed or refused.
TEST(JobRouterTest, unreachableHolderMakesTheOutcomeUnknown)
{
    auto router = routerWith(8, 8);
    router.submit(start, 1, jobOf("k", 2));
    router.takeActions();
    router.holderUnreachable(start, "vm-a");
    const auto answers = actionsOf<AnswerCaller>(router.takeActions());
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers[0].answer.outcome, Outcome::Unknown);
}

TEST(JobRouterTest, jobIsRefusedWithARetryTimeWhenNoHolderIsReachable)
{
    JobRouter router({"a"});
    EXPECT_FALSE(router.canServe());
    router.submit(start, 1, jobOf("k", 2));
    const auto answers = actionsOf<AnswerCaller>(router.takeActions());
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers[0].answer.outcome, Outcome::Refused);
    EXPECT_TRUE(answers[0].answer.retryAt);
}

/// A cancel may be lost with its connection; the job could then run on although nobody waits for it.
TEST(JobRouterTest, cancelIsResentUntilTheHolderAnswers)
{
    auto router = routerWith(8, 8);
    router.submit(start, 1, jobOf("k", 2));
    const auto number = actionsOf<SendJob>(router.takeActions())[0].job.origin.number;
    router.callerDisconnected(1);
    EXPECT_EQ(actionsOf<SendCancel>(router.takeActions()).size(), 1U);
    router.tick(start + std::chrono::milliseconds(200));
    EXPECT_EQ(actionsOf<SendCancel>(router.takeActions()).size(), 1U);
    router.holderAnswered(start, "vm-a", number, answerOf(Outcome::Failed));
    router.tick(start + std::chrono::milliseconds(400));
    EXPECT_TRUE(router.takeActions().empty());
}

/// Guards against a job that runs on after its cancel was lost: the holder may be silent here for longer than
/// this VM is there, so that it cancels nothing itself.
TEST(JobRouterTest, cancelIsResentAfterTheHolderWasUnreachable)
{
    auto router = routerWith(8, 8);
    router.submit(start, 1, jobOf("k", 2));
    router.callerDisconnected(1);
    router.holderUnreachable(start, "vm-a");
    router.holderAlive("vm-a", 1, false);
    router.takeActions();
    router.tick(start + std::chrono::milliseconds(200));
    EXPECT_EQ(actionsOf<SendCancel>(router.takeActions()).size(), 1U);
    router.tick(start + timeout);
    EXPECT_FALSE(router.hasPartsOn("vm-a"));
}

/// A caller may retry a job that is still in flight. The job must not be sent again, and both callers get the
/// answer.
TEST(JobRouterTest, resubmittedJobJoinsTheOneInFlight)
{
    auto router = routerWith(8, 8);
    router.submit(start, 1, jobOf("k", 2));
    const auto sent = actionsOf<SendJob>(router.takeActions());
    router.submit(start, 2, jobOf("k", 2));
    EXPECT_TRUE(router.takeActions().empty());
    router.holderAnswered(start, "vm-a", sent[0].job.origin.number, answerOf(Outcome::Complete));
    EXPECT_EQ(actionsOf<AnswerCaller>(router.takeActions()).size(), 2U);
}

/// The message with a job may be lost. The holder recognizes a resent job by its number, so the number must
/// not change.
TEST(JobRouterTest, unansweredJobIsResentUnderItsNumber)
{
    auto router = routerWith(8, 8);
    router.submit(start, 1, jobOf("k", 2));
    const auto first = actionsOf<SendJob>(router.takeActions());
    router.tick(start + std::chrono::milliseconds(300));
    const auto again = actionsOf<SendJob>(router.takeActions());
    ASSERT_EQ(again.size(), 1U);
    EXPECT_EQ(again[0].job.origin.number, first[0].job.origin.number);
    EXPECT_FALSE(first[0].job.isResent);
    EXPECT_TRUE(again[0].job.isResent);
    EXPECT_EQ(again[0].job.fence, 1U);
}

TEST(JobRouterTest, jobIsAnsweredAtItsDeadline)
{
    auto router = routerWith(8, 8);
    router.submit(start, 1, jobOf("k", 2));
    router.takeActions();
    router.tick(start + timeout);
    const auto answers = actionsOf<AnswerCaller>(router.takeActions());
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers[0].answer.reason, Reason::DeadlinePassed);
}

/// The former holder of a group refuses what it has not started, and the new one can run it.
TEST(JobRouterTest, jobThatAFormerHolderRefusesGoesToTheNewOne)
{
    auto router = routerWithGroups({8});
    router.submit(start, 1, jobOf("k", 4));
    const auto sent = actionsOf<SendJob>(router.takeActions());
    ASSERT_EQ(sent.size(), 1U);
    router.setHolders({{"a", "vm-b", 1, 2}});
    router.holderAlive("vm-b", 1, false);
    router.loadReported(start, "vm-b", {{"a", 2, true, 8, 100, {}}});
    router.holderAnswered(start, "vm-a", sent[0].job.origin.number, answerOf(Outcome::Refused));
    const auto again = actionsOf<SendJob>(router.takeActions());
    ASSERT_EQ(again.size(), 1U);
    EXPECT_EQ(again[0].vm, "vm-b");
}

/// A job must not be refused while a group that was not asked reports room. Each group is asked once, and the
/// caller gets the earliest of the retry times.
TEST(JobRouterTest, refusedJobIsTriedInEachGroupWithFreeCapacity)
{
    auto router = routerWithGroups({8, 8, 8, 0});
    router.submit(start, 1, jobOf("k", 2));
    std::set<std::string> asked;
    for (int i = 0; i < 3; ++i) {
        const auto sent = actionsOf<SendJob>(router.takeActions());
        ASSERT_EQ(sent.size(), 1U);
        EXPECT_TRUE(asked.insert(sent[0].vm).second);
        auto refused = answerOf(Outcome::Refused);
        refused.retryAt = start + std::chrono::seconds(sent[0].vm == "vm-b" ? 1 : 9);
        router.holderAnswered(start, sent[0].vm, sent[0].job.origin.number, refused);
    }
    // The group without free capacity is tried last.
    const auto last = actionsOf<SendJob>(router.takeActions());
    ASSERT_EQ(last.size(), 1U);
    EXPECT_EQ(last[0].vm, "vm-d");
    router.holderAnswered(start, "vm-d", last[0].job.origin.number, answerOf(Outcome::Refused));
    const auto answers = actionsOf<AnswerCaller>(router.takeActions());
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers[0].answer.outcome, Outcome::Refused);
    EXPECT_EQ(answers[0].answer.retryAt, start + std::chrono::seconds(1));
}

/// A job that can't meet its target any more must not take capacity from jobs that still can.
TEST(JobRouterTest, refusedJobIsNotTriedAgainOnceItsTargetIsOutOfReach)
{
    auto router = routerWithGroups({8, 8});
    router.loadReported(start, "vm-a", {loadWithWait("a", 1, 8, {})});
    router.loadReported(start, "vm-b", {loadWithWait("b", 2, 8, {})});
    auto job = jobOf("k", 2);
    job.submission.className = "work";
    router.submit(start, 1, job);
    const auto sent = actionsOf<SendJob>(router.takeActions());
    ASSERT_EQ(sent.size(), 1U);
    router.holderAnswered(start + std::chrono::milliseconds(60), sent[0].vm, sent[0].job.origin.number,
                          answerOf(Outcome::Refused));
    const auto actions = router.takeActions();
    EXPECT_TRUE(actionsOf<SendJob>(actions).empty());
    EXPECT_EQ(actionsOf<AnswerCaller>(actions).size(), 1U);
}

/// Entry VMs have the same load reports. If all chose the group with the most free slots, they would fill it
/// and leave the others idle.
TEST(JobRouterTest, choiceAmongGroupsIsSpreadByFreeCapacity)
{
    constexpr int vms = 600;
    std::map<std::string, int> jobs;
    for (int seed = 1; seed <= vms; ++seed) {
        auto router = routerWithGroups({60, 30, 1}, static_cast<std::uint64_t>(seed));
        router.submit(start, 1, jobOf("k", 2));
        ++jobs[actionsOf<SendJob>(router.takeActions()).at(0).vm];
    }
    EXPECT_NEAR(jobs["vm-a"], 400, 60);
    EXPECT_NEAR(jobs["vm-b"], 200, 60);
    EXPECT_EQ(jobs["vm-c"], 0);
}

/// Without the last condition, all VMs of a domain would compete for its last free slots while other domains
/// are idle.
TEST(JobRouterTest, ownDomainIsPreferredOnlyWhileItHasAmpleRoom)
{
    int remote = 0;
    for (int seed = 1; seed <= 100; ++seed) {
        JobRouterOptions options;
        options.domain = "a";
        options.seed = static_cast<std::uint64_t>(seed);
        JobRouter router(std::move(options));
        router.setHolders({{"a/groups/0", "vm-a", 1, 1}, {"b", "vm-b", 1, 2}});
        router.holderAlive("vm-a", 1, false);
        router.holderAlive("vm-b", 1, false);
        router.loadReported(start, "vm-a", {{"a/groups/0", 1, true, 20, 100, {}}});
        router.loadReported(start, "vm-b", {{"b", 2, true, 60, 100, {}}});
        router.submit(start, 1, jobOf("first", 4));
        EXPECT_EQ(actionsOf<SendJob>(router.takeActions()).at(0).vm, "vm-a");
        router.loadReported(start, "vm-a", {{"a/groups/0", 1, true, 5, 100, {}}});
        router.submit(start, 2, jobOf("second", 4));
        remote += actionsOf<SendJob>(router.takeActions()).at(0).vm == "vm-b" ? 1 : 0;
    }
    EXPECT_GT(remote, 80);
}

/// A job that every group would refuse must not wait for their answers; its caller can retry at once.
TEST(JobRouterTest, jobIsRefusedAtOnceWhenNoGroupCanMeetItsTarget)
{
    constexpr auto longWait = std::chrono::milliseconds(80);
    auto router = routerWithGroups({0, 0});
    router.loadReported(start, "vm-a", {loadWithWait("a", 1, 0, longWait)});
    router.loadReported(start, "vm-b", {loadWithWait("b", 2, 0, longWait)});
    auto job = jobOf("k", 2);
    job.submission.className = "work";
    router.submit(start, 1, job);
    const auto actions = router.takeActions();
    EXPECT_TRUE(actionsOf<SendJob>(actions).empty());
    const auto answers = actionsOf<AnswerCaller>(actions);
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers[0].answer.outcome, Outcome::Refused);
    EXPECT_GE(answers[0].answer.retryAt, start + std::chrono::seconds(1));
    // A class without such a limit is queued.
    router.submit(start, 2, jobOf("other", 2));
    EXPECT_FALSE(actionsOf<SendJob>(router.takeActions()).empty());
    // The queue has become shorter since the report.
    job.submission.key = "later";
    router.submit(start + std::chrono::milliseconds(40), 3, job);
    EXPECT_FALSE(actionsOf<SendJob>(router.takeActions()).empty());
}

/// A group without queued work accepts jobs, so it must be asked even if the target leaves no time to wait.
TEST(JobRouterTest, jobWithATightTargetIsSentToAGroupWithoutAQueue)
{
    auto router = routerWithGroups({0});
    GroupLoad load{"a", 1, true, 0, 100, {}, {{"work", 0, {}, std::chrono::milliseconds(-5)}}};
    router.loadReported(start, "vm-a", {load});
    auto job = jobOf("k", 2);
    job.submission.className = "work";
    router.submit(start, 1, job);
    EXPECT_EQ(actionsOf<SendJob>(router.takeActions()).size(), 1U);
}

/// Slots that other entry VMs fill between two reports must not be counted on until the next report.
TEST(JobRouterTest, freeSlotsThatOtherVmsFillAreNotCountedOn)
{
    constexpr auto interval = std::chrono::milliseconds(100);
    auto router = routerWithGroups({100, 40});
    auto now = start;
    for (std::uint32_t i = 1; i <= 4; ++i) {
        now += interval;
        router.loadReported(now, "vm-a", {{"a", 1, true, 100 - 20 * i, 100, {}}});
        router.loadReported(now, "vm-b", {{"b", 2, true, 40, 100, {}}});
    }
    // Group "a" had 20 free slots, of which about 15 are filled by now.
    now += interval - std::chrono::milliseconds(1);
    router.submit(now, 1, jobOf("k", 10));
    EXPECT_EQ(actionsOf<SendJob>(router.takeActions()).at(0).vm, "vm-b");
}

/// A job that was never sent must not be answered as "outcome unknown", and must not wait for the resend
/// interval.
TEST(JobRouterTest, jobThatCouldNotBeSentIsPlacedElsewhere)
{
    auto router = routerWith(8, 8);
    router.submit(start, 1, jobOf("k", 2));
    auto sent = actionsOf<SendJob>(router.takeActions());
    ASSERT_EQ(sent.at(0).vm, "vm-a");
    router.sendFailed(start, sent[0].job.origin.number);
    sent = actionsOf<SendJob>(router.takeActions());
    ASSERT_EQ(sent.size(), 1U);
    EXPECT_EQ(sent[0].vm, "vm-b");
    router.holderUnreachable(start, "vm-a");
    EXPECT_TRUE(router.takeActions().empty());
    router.holderAnswered(start, "vm-b", sent[0].job.origin.number, answerOf(Outcome::Complete));
    EXPECT_EQ(actionsOf<AnswerCaller>(router.takeActions()).at(0).answer.outcome, Outcome::Complete);
}

/// Without another group, the job is sent again while the link may come up, and is refused once its holder is
/// unreachable.
TEST(JobRouterTest, jobThatCouldNotBeSentAnywhereIsRefused)
{
    auto router = routerWithGroups({8});
    router.submit(start, 1, jobOf("k", 2));
    router.sendFailed(start, actionsOf<SendJob>(router.takeActions()).at(0).job.origin.number);
    EXPECT_TRUE(router.takeActions().empty());
    router.tick(start + std::chrono::milliseconds(20));
    const auto again = actionsOf<SendJob>(router.takeActions());
    ASSERT_EQ(again.size(), 1U);
    router.sendFailed(start + std::chrono::milliseconds(20), again[0].job.origin.number);
    router.holderUnreachable(start + std::chrono::milliseconds(200), "vm-a");
    const auto answers = actionsOf<AnswerCaller>(router.takeActions());
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers[0].answer.outcome, Outcome::Refused);
    EXPECT_TRUE(answers[0].answer.retryAt);
}

/// The first message may have been delivered although a later one could not be sent; the job may then have
/// run and must not be refused or run elsewhere.
TEST(JobRouterTest, jobOfWhichOneMessageWasSentStaysUnknown)
{
    auto router = routerWith(8, 8);
    router.submit(start, 1, jobOf("k", 2));
    router.takeActions();
    const auto later = start + std::chrono::milliseconds(300);
    router.tick(later);
    router.sendFailed(later, actionsOf<SendJob>(router.takeActions()).at(0).job.origin.number);
    EXPECT_TRUE(router.takeActions().empty());
    router.holderUnreachable(later, "vm-a");
    EXPECT_EQ(actionsOf<AnswerCaller>(router.takeActions()).at(0).answer.outcome, Outcome::Unknown);
}

/// Until a VM that has become unreachable is suspected, each job that is sent to it would end with an unknown
/// outcome.
TEST(JobRouterTest, vmThatDoesNotAcknowledgeGetsNoNewJobs)
{
    auto router = routerWith(8, 8);
    router.submit(start, 1, jobOf("first", 1));
    const auto first = actionsOf<SendJob>(router.takeActions()).at(0);
    ASSERT_EQ(first.vm, "vm-a");
    router.partsReceived(start, "vm-a", {first.job.origin.number});
    auto now = start + std::chrono::seconds(1);
    router.submit(now, 2, jobOf("second", 1));
    const auto second = actionsOf<SendJob>(router.takeActions()).at(0);
    ASSERT_EQ(second.vm, "vm-a");
    now += std::chrono::milliseconds(150);
    router.submit(now, 3, jobOf("third", 1));
    EXPECT_EQ(actionsOf<SendJob>(router.takeActions()).at(0).vm, "vm-b");
    router.partsReceived(now, "vm-a", {second.job.origin.number});
    router.submit(now, 4, jobOf("fourth", 1));
    EXPECT_EQ(actionsOf<SendJob>(router.takeActions()).at(0).vm, "vm-a");
}

/// Guards against jobs that are sent to a holder that has not learned of the evacuation yet and still reports
/// capacity, for example because it was paused.
TEST(JobRouterTest, groupsOfAnEvacuatedDomainGetNoJobs)
{
    auto router = routerWith(8, 8);
    router.setEvacuations({{"a", 3}});
    router.submit(start, 1, jobOf("k", 4));
    auto sent = actionsOf<SendJob>(router.takeActions());
    ASSERT_EQ(sent.size(), 1U);
    EXPECT_EQ(sent[0].vm, "vm-b");
    EXPECT_TRUE(router.canServe());
    router.setEvacuations({{"a", 3}, {"b", 4}});
    router.submit(start, 2, jobOf("l", 4));
    const auto actions = router.takeActions();
    EXPECT_TRUE(actionsOf<SendJob>(actions).empty());
    const auto answers = actionsOf<AnswerCaller>(actions);
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers[0].answer.outcome, Outcome::Refused);
    EXPECT_TRUE(answers[0].answer.retryAt.has_value());
    EXPECT_TRUE(isGroupEvacuated("a/4/1", {{"a", 3}}));
    EXPECT_FALSE(isGroupEvacuated("ab", {{"a", 3}}));
}

namespace {

/// Reports that the upstreams of a group with label "b" can run @p parallel tasks at once, and are idle.
GroupLoad loadWithLabel(const std::string &group, std::uint64_t fence, std::uint32_t parallel,
                        std::uint32_t upstreams)
{
    GroupLoad load{group, fence, true, 100, 100, {}, {}};
    load.labels = {{"", "b", parallel, parallel, upstreams, {}}};
    load.upstreams = 8;
    return load;
}

RoutedJob labelledJob(const std::string &key, std::size_t tasks, std::uint32_t limit = 0)
{
    auto job = jobOf(key, tasks);
    job.submission.constraints = {"b", limit};
    return job;
}

} // namespace

// Load reports count tasks of the usual need, so a job went to a group of which no upstream may take it.
TEST(JobRouterTest, jobGoesToAGroupWithItsLabel)
{
    auto router = routerWith(8, 8);
    router.loadReported(start, "vm-a", {loadWithLabel("a", 1, 0, 0)});
    router.loadReported(start, "vm-b", {loadWithLabel("b", 2, 4, 1)});
    router.submit(start, 1, labelledJob("k", 4));
    const auto sent = actionsOf<SendJob>(router.takeActions());
    ASSERT_EQ(sent.size(), 1U);
    EXPECT_EQ(sent[0].vm, "vm-b");
    EXPECT_EQ(sent[0].job.submission.constraints.requiredLabel, "b");
}

// Reports come every 100 ms; the jobs in between went to the same few upstreams.
TEST(JobRouterTest, sentTasksCountAgainstTheUpstreamsWithTheirLabel)
{
    auto router = routerWith(100, 100);
    router.loadReported(start, "vm-a", {loadWithLabel("a", 1, 4, 1)});
    router.loadReported(start, "vm-b", {loadWithLabel("b", 2, 4, 1)});
    std::map<std::string, std::size_t> tasks;
    for (int i = 0; i < 4; ++i) {
        router.submit(start, static_cast<CallerId>(i), labelledJob("k" + std::to_string(i), 2));
        for (const auto &it : actionsOf<SendJob>(router.takeActions()))
            tasks[it.group] += it.job.submission.tasks.size();
    }
    EXPECT_EQ(tasks, (std::map<std::string, std::size_t>{{"a", 4}, {"b", 4}}));
}

TEST(JobRouterTest, jobIsNotRefusedWhileUpstreamsWithItsLabelArePaused)
{
    auto router = routerWith(8, 8);
    router.loadReported(start, "vm-a", {loadWithLabel("a", 1, 0, 0)});
    router.loadReported(start, "vm-b", {loadWithLabel("b", 2, 0, 1)});
    router.submit(start, 1, labelledJob("k", 4));
    const auto sent = actionsOf<SendJob>(router.takeActions());
    ASSERT_EQ(sent.size(), 1U);
    EXPECT_EQ(sent[0].group, "b");
}

TEST(JobRouterTest, jobIsRefusedAtOnceIfNoGroupHasItsLabel)
{
    auto router = routerWith(8, 8);
    router.loadReported(start, "vm-a", {loadWithLabel("a", 1, 0, 0)});
    router.loadReported(start, "vm-b", {loadWithLabel("b", 2, 0, 0)});
    router.submit(start, 1, labelledJob("k", 4));
    const auto actions = router.takeActions();
    EXPECT_TRUE(actionsOf<SendJob>(actions).empty());
    const auto answers = actionsOf<AnswerCaller>(actions);
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers[0].answer.reason, Reason::NoSuitableUpstream);
    EXPECT_NE(answers[0].answer.detail.find("\"b\""), std::string::npos);
    ASSERT_TRUE(answers[0].answer.retryAt);
    EXPECT_LE(*answers[0].answer.retryAt, start + std::chrono::seconds(3));
    // Such an upstream was added.
    router.loadReported(start, "vm-b", {loadWithLabel("b", 2, 4, 1)});
    router.submit(start, 2, labelledJob("l", 4));
    EXPECT_EQ(actionsOf<SendJob>(router.takeActions()).size(), 1U);
}

// Until the groups have reported a label, one after the other is asked, also when none has free capacity.
TEST(JobRouterTest, jobWithAnUnreportedLabelIsTriedInEveryGroup)
{
    auto router = routerWithGroups({0, 0, 0, 0});
    router.submit(start, 1, labelledJob("k", 4));
    std::set<std::string> groups;
    for (auto sent = actionsOf<SendJob>(router.takeActions()); !sent.empty();
         sent = actionsOf<SendJob>(router.takeActions())) {
        ASSERT_EQ(sent.size(), 1U) << "the job is not split";
        groups.insert(sent[0].group);
        auto refused = answerOf(Outcome::Refused);
        refused.reason = Reason::NoSuitableUpstream;
        router.holderAnswered(start, sent[0].vm, sent[0].job.origin.number, refused);
    }
    EXPECT_EQ(groups.size(), 4U);
}

// The rest of a job that runs in several rounds went to one group, which needed most of them alone.
TEST(JobRouterTest, roundsOfALimitedJobAreSpreadOverTheGroups)
{
    auto router = routerWith(8, 8);
    router.loadReported(start, "vm-a", {loadWithLabel("a", 1, 20, 2)});
    router.loadReported(start, "vm-b", {loadWithLabel("b", 2, 60, 6)});
    router.submit(start, 1, labelledJob("k", 24, 1));
    std::map<std::string, std::size_t> tasks;
    for (const auto &it : actionsOf<SendJob>(router.takeActions()))
        tasks[it.group] = it.job.submission.tasks.size();
    EXPECT_EQ(tasks, (std::map<std::string, std::size_t>{{"a", 6}, {"b", 18}}));
}

// Jobs that wait must not take more memory than an entry VM has, however many callers submit large ones.
TEST(JobRouterTest, numberOfOpenTasksIsLimited)
{
    JobRouterOptions options;
    options.domain = "a";
    options.maximumOpenTasks = 10;
    JobRouter router(std::move(options));
    router.setHolders({{"a", "vm-a", 1, 1}});
    router.holderAlive("vm-a", 1, false);
    router.loadReported(start, "vm-a", {{"a", 1, true, 100, 100, {}}});
    router.submit(start, 1, jobOf("k", 6));
    router.submit(start, 2, jobOf("l", 4));
    EXPECT_EQ(actionsOf<SendJob>(router.takeActions()).size(), 2U);
    router.submit(start, 3, jobOf("m", 1));
    const auto refused = actionsOf<AnswerCaller>(router.takeActions());
    ASSERT_EQ(refused.size(), 1U);
    EXPECT_EQ(refused[0].answer.outcome, Outcome::Refused);
    EXPECT_TRUE(refused[0].answer.retryAt);
    router.callerDisconnected(1);
    router.submit(start, 4, jobOf("n", 6));
    EXPECT_EQ(actionsOf<SendJob>(router.takeActions()).size(), 1U);
}
