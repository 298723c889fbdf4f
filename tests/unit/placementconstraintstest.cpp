#include "citronpitch/dispatcher.h"
#include "support/groupharness.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>

using namespace Citronpitch;
using namespace std::chrono_literals;

namespace {

const TimePoint start = timePointOf(1'700'000'000'000'000);
constexpr std::uint32_t millicoresPerCore = 1000;
const AttemptResult success{AttemptOutcome::Answered, 200, {}};

/// A Dispatcher with upstreams of processors and jobs that constrain their placement.
class PlacementConstraintsTest : public testing::Test
{
protected:
    PlacementConstraintsTest()
    {
        Configuration configuration;
        configuration.classes = {{"short", 990000, 300ms}};
        dispatcher.setConfiguration(configuration);
    }

    UpstreamAnnouncement &announce(const std::string &name, std::uint32_t cores,
                                   const std::vector<std::string> &labels)
    {
        auto &it = announcements[name];
        it.name = name;
        it.capacity.millicores = cores * millicoresPerCore;
        it.incarnation = std::max<std::uint64_t>(it.incarnation, 1);
        it.leaseDeadline = start + 1h;
        it.labels = labels;
        dispatcher.announce(now, it);
        return it;
    }

    static Submission submission(std::uint32_t tasks, std::uint32_t cores,
                                 const PlacementConstraints &constraints = {})
    {
        Submission it;
        it.team = "t";
        it.key = "key";
        it.className = "short";
        it.deadline = start + 30min;
        it.tasks.resize(tasks);
        for (auto &task : it.tasks)
            task.need.millicores = cores * millicoresPerCore;
        it.constraints = constraints;
        return it;
    }

    JobId add(const Submission &it)
    {
        dispatcher.add(now, nextJob, it);
        return nextJob++;
    }

    /// Starts what can be started, and returns the number of starts by upstream.
    std::map<std::string, unsigned> place()
    {
        std::map<std::string, unsigned> n;
        for (const auto &it : dispatcher.place(now)) {
            ++n[it.upstream];
            running.push_back(it);
        }
        return n;
    }

    /// Ends the first run of @p job, and removes the job if it had one task.
    void finishOne(JobId job, bool isWhole = false)
    {
        const auto it =
            std::find_if(running.begin(), running.end(), [&](const auto &run) { return run.job == job; });
        ASSERT_NE(it, running.end());
        dispatcher.finish(now, it->attempt, success);
        running.erase(it);
        if (isWhole)
            dispatcher.remove(now, job);
    }

    /// Runs single tasks one after the other, each for @p time.
    void learn(Duration time, const PlacementConstraints &constraints = {})
    {
        for (int i = 0; i < 30; ++i) {
            const auto job = add(submission(1, 1, constraints));
            place();
            now += time;
            finishOne(job, true);
            now += 21ms;
        }
    }

    Dispatcher dispatcher;
    std::map<std::string, UpstreamAnnouncement> announcements;
    std::vector<Placement> running;
    TimePoint now = start;
    JobId nextJob = 1;
};

/// Groups of upstreams whose labels change, under faults.
class MisplacedRunsTest : public testing::TestWithParam<std::uint64_t>
{
};

using Starts = std::map<std::string, unsigned>;

} // namespace

// A job that requires a label ran on upstreams without it (review/5).
TEST_F(PlacementConstraintsTest, tasksStartOnlyOnUpstreamsWithTheLabel)
{
    announce("a", 32, {"a", "r1"});
    announce("b", 4, {"b", "r1"});
    add(submission(6, 2, {"b", 0}));
    EXPECT_EQ(place(), (Starts{{"b", 2}}));
    add(submission(1, 2));
    EXPECT_EQ(place(), (Starts{{"a", 1}}));
}

// All tasks of a job ran on one upstream at once, whatever limit the job had.
TEST_F(PlacementConstraintsTest, limitOfTasksPerUpstreamHoldsUntilARunHasEnded)
{
    for (int i = 0; i < 8; ++i)
        announce("u" + std::to_string(i), 8, {});
    const auto job = add(submission(20, 1, {"", 1}));
    for (const auto &[upstream, n] : place())
        EXPECT_EQ(n, 1U) << upstream;
    EXPECT_EQ(running.size(), 8U);
    EXPECT_TRUE(place().empty());
    const auto freed = running.front().upstream;
    finishOne(job);
    EXPECT_EQ(place(), (Starts{{freed, 1}}));
    EXPECT_EQ(running.size(), 8U);
}

// Jobs of the same need share a queue, whose head may wait for the end of its own runs.
TEST_F(PlacementConstraintsTest, jobAtItsLimitDoesNotHoldBackJobsBehindIt)
{
    announce("u", 8, {});
    const auto first = add(submission(3, 1, {"", 1}));
    const auto second = add(submission(3, 1, {"", 2}));
    const auto third = add(submission(2, 1));
    EXPECT_EQ(place(), (Starts{{"u", 5}}));
    std::map<JobId, unsigned> n;
    for (const auto &it : running)
        ++n[it.job];
    EXPECT_EQ(n, (std::map<JobId, unsigned>{{first, 1}, {second, 2}, {third, 2}}));
    finishOne(first);
    finishOne(second);
    EXPECT_EQ(place(), (Starts{{"u", 2}}));
    // Removing a job that was skipped leaves the queue usable.
    dispatcher.remove(now, first);
    finishOne(second);
    EXPECT_EQ(place().size(), 0U);
    EXPECT_EQ(dispatcher.queuedTasks(), 0U);
}

TEST_F(PlacementConstraintsTest, jobThatWaitsForALabelDoesNotBlockOthers)
{
    announce("a", 4, {"a"});
    announce("b", 4, {"b"});
    add(submission(2, 4, {"b", 0}));
    EXPECT_EQ(place(), (Starts{{"b", 1}}));
    add(submission(1, 4));
    EXPECT_EQ(place(), (Starts{{"a", 1}}));
}

// The room on the only upstream with the label was taken again and again by smaller tasks that came later.
TEST_F(PlacementConstraintsTest, jobThatRequiresALabelDoesNotStarveBehindSmallerOnes)
{
    announce("a", 28, {"a"});
    announce("b", 32, {"b"});
    learn(100ms);
    for (int i = 0; i < 4; ++i)
        add(submission(1, 14));
    place();
    ASSERT_EQ(running.size(), 4U);
    // Ends the oldest task after 100 ms, when another small one has arrived.
    const auto replaceOldest = [&] {
        now += 25ms;
        add(submission(1, 14));
        finishOne(running.front().job, true);
        place();
    };
    for (int i = 0; i < 8; ++i)
        replaceOldest();
    const auto large = add(submission(1, 20, {"b", 0}));
    const auto hasStarted = [&] {
        return std::any_of(running.begin(), running.end(), [&](const auto &it) { return it.job == large; });
    };
    int rounds = 0;
    for (; rounds < 12 && !hasStarted(); ++rounds)
        replaceOldest();
    EXPECT_TRUE(hasStarted());
    EXPECT_LE(rounds, 8);
}

// A job waited for a faster upstream that may not take it.
TEST_F(PlacementConstraintsTest, jobDoesNotWaitForFasterUpstreamsWithoutTheLabel)
{
    announce("fast", 1, {"a"});
    announce("slow", 1, {"b"});
    for (int i = 0; i < 60; ++i) {
        const auto job = add(submission(1, 1, {i % 2 == 0 ? "a" : "b", 0}));
        place();
        ASSERT_EQ(running.size(), 1U);
        now += running.front().upstream == "fast" ? 10ms : 100ms;
        finishOne(job, true);
        now += 21ms;
    }
    add(submission(1, 1, {"b", 0}));
    EXPECT_EQ(place(), (Starts{{"slow", 1}}));
}

TEST_F(PlacementConstraintsTest, jobWithoutASuitableUpstreamIsRefusedUntilThereIsOne)
{
    announce("a", 32, {"a", "r1"});
    const auto job = submission(2, 4, {"b", 0});
    const auto refusal = dispatcher.refusal(now, job);
    ASSERT_TRUE(refusal);
    EXPECT_EQ(refusal->reason, Reason::NoSuitableUpstream);
    EXPECT_NE(refusal->detail.find("label \"b\""), std::string::npos) << refusal->detail;
    ASSERT_TRUE(refusal->retryAt);
    EXPECT_LE(*refusal->retryAt, now + 3s);
    announce("b", 2, {"b", "r1"});
    EXPECT_TRUE(dispatcher.refusal(now, job)) << "the upstream with the label is too small";
    announce("c", 4, {"b", "r2"});
    EXPECT_FALSE(dispatcher.refusal(now, job));
}

// A queued job waited until its deadline for a label that no upstream had any more.
TEST_F(PlacementConstraintsTest, queuedJobIsShedWhenTheLastUpstreamWithItsLabelLeaves)
{
    announce("a", 32, {"a"});
    auto &b = announce("b", 4, {"b"});
    const auto started = add(submission(2, 4, {"b", 0}));
    place();
    const auto waiting = add(submission(1, 4, {"b", 0}));
    place();
    EXPECT_TRUE(dispatcher.takeUnsuitableJobs().empty());
    b.leaving = true;
    dispatcher.announce(now, b);
    EXPECT_TRUE(place().empty());
    // A refusal of a job that has started would not be true.
    EXPECT_EQ(dispatcher.takeUnsuitableJobs(), std::vector<JobId>{waiting});
    dispatcher.remove(now, waiting);
    announce("c", 4, {"b"});
    EXPECT_EQ(place(), (Starts{{"c", 1}}));
    EXPECT_EQ(running.back().job, started);
}

TEST_F(PlacementConstraintsTest, upstreamGetsNothingByLabelsThatItNoLongerHas)
{
    announce("u", 8, {"b"});
    add(submission(4, 1, {"b", 2}));
    EXPECT_EQ(place(), (Starts{{"u", 2}}));
    announce("u", 8, {"a"});
    finishOne(1);
    EXPECT_TRUE(place().empty());
    announcements["u"].incarnation = 2;
    announce("u", 8, {"a"});
    EXPECT_TRUE(place().empty());
    announcements["u"].incarnation = 3;
    announce("u", 8, {"b"});
    // The run of the first incarnation has not been reported as ended.
    EXPECT_EQ(place(), (Starts{{"u", 1}}));
}

// Admission counted the capacity of all upstreams for a job that only few of them may take.
TEST_F(PlacementConstraintsTest, admissionCountsOnlyUpstreamsWithTheLabel)
{
    for (int i = 0; i < 8; ++i)
        announce("a" + std::to_string(i), 8, {"a"});
    announce("b", 1, {"b"});
    learn(100ms, {"b", 0});
    auto next = submission(10, 1, {"b", 0});
    next.deadline = now + 1500ms;
    EXPECT_FALSE(dispatcher.refusal(now, next));
    add(next);
    place();
    const auto refusal = dispatcher.refusal(now, next);
    ASSERT_TRUE(refusal);
    EXPECT_TRUE(refusal->retryAt);
    auto other = submission(10, 1);
    other.deadline = now + 1500ms;
    EXPECT_FALSE(dispatcher.refusal(now, other));
    const auto labels = dispatcher.labelHeadroom(now);
    ASSERT_EQ(labels.size(), 1U);
    EXPECT_EQ(labels[0].label, "b");
    EXPECT_EQ(labels[0].parallelTasks, 1U);
    EXPECT_EQ(labels[0].freeTasks, 0U);
    EXPECT_GE(labels[0].waitingWork, 800ms);
}

// Tasks that wait for a label, or for the end of tasks of their own job, don't keep idle upstreams from
// others.
TEST_F(PlacementConstraintsTest, waitingRestrictedTasksDoNotCauseRefusalsOfOtherJobs)
{
    for (int i = 0; i < 4; ++i)
        announce("a" + std::to_string(i), 8, {"a"});
    announce("b", 1, {"b"});
    learn(100ms, {"a", 0});
    add(submission(400, 1, {"b", 0}));
    add(submission(200, 1, {"a", 1}));
    place();
    EXPECT_EQ(running.size(), 5U);
    auto other = submission(8, 1);
    other.deadline = now + 300ms;
    EXPECT_FALSE(dispatcher.refusal(now, other));
    EXPECT_LT(dispatcher.waitingWork(), 20s) << "of 59.5 s that wait";
    add(other);
    place();
    EXPECT_EQ(running.size(), 13U);
    EXPECT_TRUE(dispatcher.takeShedJobs().empty());
}

// A job that needs more rounds on its upstreams than its deadline allows can't be served.
TEST_F(PlacementConstraintsTest, jobThatNeedsTooManyRoundsIsRefusedAtOnce)
{
    announce("u0", 32, {});
    announce("u1", 32, {});
    learn(200ms);
    auto job = submission(20, 1, {"", 1});
    job.deadline = now + 1000ms;
    ASSERT_TRUE(dispatcher.refusal(now, job));
    EXPECT_EQ(dispatcher.refusal(now, job)->reason, Reason::DeadlineOutOfReach);
    job.constraints.maximumPerUpstream = 4;
    EXPECT_FALSE(dispatcher.refusal(now, job));
}

// Whatever labels callers require, load reports stay small.
TEST_F(PlacementConstraintsTest, numberOfReportedLabelsIsLimited)
{
    announce("u", 8, {"a"});
    for (int i = 0; i < 100; ++i) {
        now += 1ms;
        EXPECT_TRUE(dispatcher.refusal(now, submission(1, 1, {"label" + std::to_string(i), 0})));
    }
    EXPECT_EQ(dispatcher.labelHeadroom(now).size(), 16U);
    now += 20s;
    EXPECT_TRUE(dispatcher.labelHeadroom(now).empty());
}

// A start that got no answer may have been executed, so it counts against the limit until its run has ended.
TEST(GroupDispatcherConstraintsTest, unansweredStartCountsAgainstTheLimit)
{
    GroupHarness group;
    group.constraints = {"", 1};
    group.add({"u", 4, 400ms});
    group.advance(1s);
    group.faults.lostAnswers = 1000;
    group.submit("a", 1, 3);
    group.advance(60ms);
    group.faults = {};
    group.advance(4s);
    EXPECT_EQ(group.misplacedStarts, 0U);
    EXPECT_EQ(group.answers.at(1).outcome, Outcome::Complete);
}

// A new holder must not add tasks of a job to those that the earlier one started.
TEST(GroupDispatcherConstraintsTest, limitHoldsAfterAHandover)
{
    GroupHarness group;
    group.constraints = {"", 1};
    group.add({"u0", 4, 400ms});
    group.add({"u1", 4, 400ms});
    group.advance(1s);
    group.submit("a", 1, 4);
    group.advance(50ms);
    group.takeOver();
    group.submit("a", 2, 4);
    group.advance(4s);
    EXPECT_EQ(group.misplacedStarts, 0U);
    EXPECT_EQ(group.answers.at(2).outcome, Outcome::Complete);
}

TEST(GroupDispatcherConstraintsTest, waitingJobIsRefusedWhenTheLastUpstreamWithItsLabelLeaves)
{
    GroupHarness group;
    group.constraints = {"b", 0};
    group.labels = {{"u0", {"a"}}, {"u1", {"b"}}};
    group.add({"u0"});
    group.add({"u1", 2, 400ms});
    group.advance(1s);
    group.submit("a", 1, 2);
    group.submit("b", 2, 1);
    group.advance(20ms);
    group.announce("u1", true);
    group.advance(2ms);
    ASSERT_TRUE(group.answers.contains(2));
    EXPECT_EQ(group.answers.at(2).outcome, Outcome::Refused);
    EXPECT_EQ(group.answers.at(2).reason, Reason::NoSuitableUpstream);
    EXPECT_GT(group.answers.at(2).retryAt, group.now());
    group.advance(1s);
    EXPECT_EQ(group.answers.at(1).outcome, Outcome::Complete);
    EXPECT_EQ(group.misplacedStarts, 0U);
}

// Labels that change, starts without an answer, late starts, restarts and handovers, in any order.
TEST_P(MisplacedRunsTest, noTaskRunsWhereItMustNot)
{
    std::mt19937_64 random(GetParam());
    const auto draw = [&](std::uint64_t n) { return random() % n; };
    const std::vector<std::string> kinds{"a", "b", "c"};
    GroupHarness group(GetParam());
    std::vector<std::string> names;
    for (int i = 0; i < 6; ++i) {
        names.push_back("u" + std::to_string(i));
        group.labels[names.back()] = {kinds[draw(3)], "r" + std::to_string(i % 2)};
        group.add({names.back(), 1 + draw(4), std::chrono::milliseconds(30 + draw(200))});
    }
    group.advance(1s);
    group.faults = {30, 10, 20};
    std::uint64_t jobs = 0;
    for (int i = 0; i < 150; ++i) {
        const auto &name = names[draw(names.size())];
        switch (draw(12)) {
        case 0:
            group.labels[name] = {kinds[draw(3)], "r" + std::to_string(draw(2))};
            group.announce(name);
            break;
        case 1:
            group.upstream(name).restart(group.now());
            group.announce(name);
            break;
        case 2:
            if (draw(8) == 0)
                group.takeOver();
            break;
        default:
            group.constraints = {draw(2) == 0 ? kinds[draw(3)] : "", static_cast<std::uint32_t>(draw(3))};
            ++jobs;
            group.submit("j" + std::to_string(jobs), jobs, 1 + draw(6), 3s);
        }
        for (const auto &it : names)
            group.announce(it);
        group.advance(std::chrono::milliseconds(draw(60)));
    }
    group.faults = {};
    group.advance(20s);
    EXPECT_EQ(group.misplacedStarts, 0U);
    EXPECT_EQ(group.concurrentRuns, 0U);
    EXPECT_TRUE(group.dispatcher().isIdle());
}

INSTANTIATE_TEST_SUITE_P(Seeds, MisplacedRunsTest, testing::Range<std::uint64_t>(1, 41));
