#include "citronpitch/dispatcher.h"

#include <gtest/gtest.h>

#include <map>
#include <set>

using namespace Citronpitch;
using namespace std::chrono_literals;

namespace {

const TimePoint start = timePointOf(1'700'000'000'000'000);

UpstreamAnnouncement upstream(const std::string &name, std::uint32_t slots, const std::string &rack = "r1")
{
    UpstreamAnnouncement announcement;
    announcement.name = name;
    announcement.address = "127.0.0.1";
    announcement.port = 1;
    announcement.slots = slots;
    announcement.rack = rack;
    announcement.incarnation = 1;
    announcement.leaseDeadline = start + 1h;
    return announcement;
}

Submission submission(std::uint32_t tasks, const std::string &className = "short",
                      const std::string &team = "t")
{
    Submission it;
    it.team = team;
    it.key = "key";
    it.className = className;
    it.deadline = start + 30min;
    it.tasks.resize(tasks);
    return it;
}

Configuration twoClasses()
{
    Configuration configuration;
    configuration.classes = {{"short", 990000, 300ms}, {"long", 990000, 5s}};
    return configuration;
}

const AttemptResult success{AttemptOutcome::Answered, 200, {}};
const AttemptResult failure{AttemptOutcome::Answered, 500, {}};
const AttemptResult broken{AttemptOutcome::Broken, 0, {}};
const AttemptResult declined{AttemptOutcome::Declined, 503, {}};

} // namespace

class DispatcherTest : public testing::Test
{
protected:
    DispatcherTest()
    {
        dispatcher.setConfiguration(twoClasses());
    }

    JobId add(const Submission &it)
    {
        dispatcher.add(now, nextJob, it);
        return nextJob++;
    }

    /// Starts as many tasks as possible and returns their placements.
    std::vector<Placement> place()
    {
        return dispatcher.place(now);
    }

    /// Runs @p tasks jobs of one task in sequence; @p took has the service time on each upstream.
    void runOneByOne(int tasks, const std::map<std::string, Duration> &took)
    {
        for (int i = 0; i < tasks; ++i) {
            const auto job = add(submission(1));
            const auto placed = place();
            ASSERT_EQ(placed.size(), 1U);
            now += took.at(placed[0].upstream);
            dispatcher.finish(now, placed[0].attempt, success);
            dispatcher.remove(now, job);
            now += 21ms;
        }
    }

    Dispatcher dispatcher;
    TimePoint now = start;
    JobId nextJob = 1;
};

// Guards against a slot that is freed twice because the result of an attempt is reported twice.
TEST_F(DispatcherTest, neverExceedsTheSlotsOfAnUpstream)
{
    dispatcher.announce(now, upstream("a", 3));
    add(submission(5));
    const auto placed = place();
    EXPECT_EQ(placed.size(), 3U);
    dispatcher.finish(now, placed[0].attempt, success);
    dispatcher.finish(now, placed[0].attempt, success);
    EXPECT_EQ(place().size(), 1U);
}

// Guards against starts on an upstream that is leaving, also when an announcement without the flag arrives
// later, and on one whose lease has expired.
TEST_F(DispatcherTest, startsNothingOnLeavingOrExpiredUpstreams)
{
    auto leaving = upstream("a", 1);
    dispatcher.announce(now, leaving);
    leaving.leaving = true;
    dispatcher.announce(now, leaving);
    leaving.leaving = false;
    dispatcher.announce(now, leaving);
    auto expired = upstream("b", 1);
    expired.leaseDeadline = now + 2s;
    dispatcher.announce(now, expired);
    now += 2s;
    add(submission(2));
    EXPECT_TRUE(place().empty());
    expired.leaseDeadline = now + 2s;
    dispatcher.announce(now, expired);
    EXPECT_EQ(place().size(), 1U);
}

// After an upstream has restarted, results and announcements of its earlier incarnation still arrive. Guards
// against a result that frees a slot of the new incarnation, and an announcement that replaces it.
TEST_F(DispatcherTest, olderIncarnationNeitherRevivesNorFreesSlots)
{
    auto newer = upstream("a", 1);
    dispatcher.announce(now, newer);
    add(submission(3));
    const auto first = place();
    ASSERT_EQ(first.size(), 1U);
    newer.incarnation = 2;
    dispatcher.announce(now, newer);
    const auto second = place();
    ASSERT_EQ(second.size(), 1U) << "all slots of a new incarnation are free";
    dispatcher.finish(now, first[0].attempt, broken);
    EXPECT_TRUE(place().empty()) << "the attempt on the old incarnation freed a slot of the new one";
    newer.leaving = true;
    dispatcher.announce(now, newer);
    dispatcher.finish(now, second[0].attempt, success);
    dispatcher.announce(now, upstream("a", 1));
    EXPECT_TRUE(place().empty());
}

// Guards against a task that is started after the deadline of its job, and one that stays queued.
TEST_F(DispatcherTest, startsNothingAfterTheDeadline)
{
    dispatcher.announce(now, upstream("a", 1));
    auto late = submission(1);
    late.deadline = now + 1s;
    add(late);
    now += 1s;
    EXPECT_TRUE(place().empty());
    EXPECT_EQ(dispatcher.queuedTasks(), 0U);
}

// Guards against a start for a job that is already answered, when its task is requeued after the removal.
TEST_F(DispatcherTest, startsNoTaskOfARemovedJob)
{
    dispatcher.announce(now, upstream("a", 1));
    const auto job = add(submission(2));
    const auto other = add(submission(1, "long"));
    const auto placed = place();
    dispatcher.remove(now, job);
    dispatcher.requeue(now, job, submission(2), 0);
    dispatcher.finish(now, placed.at(0).attempt, broken);
    now += 1s;
    const auto next = place();
    ASSERT_EQ(next.size(), 1U);
    EXPECT_EQ(next[0].job, other);
}

// Guards against a start that the upstream declines because it still runs the task of a removed job.
TEST_F(DispatcherTest, abandonedTaskKeepsItsSlotUntilItsExpectedEnd)
{
    dispatcher.announce(now, upstream("a", 1));
    runOneByOne(4, {{"a", 100ms}});
    const auto job = add(submission(1));
    const auto placed = place();
    add(submission(1));
    now += 10ms;
    dispatcher.remove(now, job);
    dispatcher.finish(now, placed.at(0).attempt, broken);
    EXPECT_TRUE(place().empty()) << "the upstream may still run the task and would decline another";
    now += 190ms;
    EXPECT_EQ(place().size(), 1U);
}

// Guards against a choice of upstream that ignores the measured service times.
TEST_F(DispatcherTest, learnsTheFasterUpstreamFromAFewTasks)
{
    dispatcher.announce(now, upstream("slow", 1));
    dispatcher.announce(now, upstream("quick", 1));
    runOneByOne(8, {{"slow", 400ms}, {"quick", 100ms}});
    add(submission(1));
    EXPECT_EQ(place().at(0).upstream, "quick");
}

// Guards against tasks that start at once on a slow upstream and end later than if they had waited, and
// against a slow upstream that stays idle under a long queue.
TEST_F(DispatcherTest, waitsForAFasterUpstreamWhenThatEndsSooner)
{
    dispatcher.announce(now, upstream("slow", 1));
    dispatcher.announce(now, upstream("quick", 4));
    for (int i = 0; i < 6; ++i) {
        const auto job = add(submission(5));
        for (const auto &it : place())
            dispatcher.finish(now + (it.upstream == "slow" ? 2000ms : 100ms), it.attempt, success);
        dispatcher.remove(now, job);
        now += 100ms;
    }
    add(submission(5));
    EXPECT_EQ(place().size(), 4U)
        << "a second task in sequence on the quick upstream ends sooner than one on the slow upstream";
    add(submission(200));
    EXPECT_EQ(place().size(), 1U) << "with a long queue the slow upstream is used too";
}

// Guards against a job whose tasks are placed in one rack while equal upstreams of other racks are free.
TEST_F(DispatcherTest, spreadsAJobOverRacks)
{
    for (int i = 0; i < 6; ++i)
        dispatcher.announce(now, upstream("u" + std::to_string(i), 8, "r" + std::to_string(i / 2)));
    add(submission(9));
    std::map<std::string, int> perRack;
    for (const auto &it : place())
        ++perRack["r" + std::to_string((it.upstream[1] - '0') / 2)];
    for (const auto &[rack, n] : perRack)
        EXPECT_EQ(n, 3) << rack;
}

// Guards against starts beyond the cores or accelerators of an upstream without slots.
TEST_F(DispatcherTest, countsAnnouncedResources)
{
    auto worker = upstream("w", 0);
    worker.capacity = {4000, 8U << 20, 1};
    dispatcher.announce(now, worker);
    auto job = submission(4);
    job.tasks[0].need = {2000, 1U << 20, 1};
    job.tasks[1].need = {2000, 1U << 20, 1};
    job.tasks[2].need = {1000, 1U << 20, 0};
    add(job);
    EXPECT_EQ(place().size(), 3U) << "one accelerator, and four cores, allow three tasks";
}

// Guards against a job that waits until its deadline because no upstream can run one of its tasks. Before any
// upstream is known, the refusal has to be temporary.
TEST_F(DispatcherTest, refusesAJobThatCanNeverFitAndNamesTheTask)
{
    auto job = submission(3);
    const auto unknown = dispatcher.refusal(now, job);
    ASSERT_TRUE(unknown.has_value());
    EXPECT_EQ(unknown->reason, Reason::Overloaded);
    EXPECT_GT(unknown->retryAt.value_or(start), now);
    auto worker = upstream("w", 0);
    worker.capacity = {4000, 8U << 20, 1};
    dispatcher.announce(now, worker);
    EXPECT_FALSE(dispatcher.refusal(now, job).has_value());
    job.tasks[1].need = {5000, 0, 0};
    const auto refusal = dispatcher.refusal(now, job);
    ASSERT_TRUE(refusal.has_value());
    EXPECT_EQ(refusal->reason, Reason::NeverFits);
    EXPECT_NE(refusal->detail.find("task 1"), std::string::npos);
}

// Guards against queued jobs that keep the order of a configuration that is no longer active.
TEST_F(DispatcherTest, changedTargetReordersQueuedWork)
{
    dispatcher.announce(now, upstream("a", 1));
    const auto slack = add(submission(1, "long"));
    now += 10ms;
    const auto tight = add(submission(1, "short"));
    auto configuration = twoClasses();
    configuration.classes[1].targetTime = 50ms;
    dispatcher.setConfiguration(configuration);
    auto placed = place();
    EXPECT_EQ(placed.at(0).job, slack) << "its target was shortened";
    configuration.classes[1].retired = true;
    dispatcher.setConfiguration(configuration);
    const auto retired = dispatcher.refusal(now, submission(1, "long"));
    ASSERT_TRUE(retired.has_value());
    EXPECT_EQ(retired->reason, Reason::RetiredClass);
    dispatcher.finish(now, placed[0].attempt, success);
    EXPECT_EQ(place().at(0).job, tight);
}

// Guards against accepted jobs that are lost when their class is retired.
TEST_F(DispatcherTest, queuedWorkOfARetiredClassStillRuns)
{
    dispatcher.announce(now, upstream("a", 1));
    const auto job = add(submission(1, "long"));
    auto configuration = twoClasses();
    configuration.classes[1].retired = true;
    dispatcher.setConfiguration(configuration);
    EXPECT_EQ(place().at(0).job, job);
}

// Guards against a class that misses its target without a boost, and against a boost that starves the other
// classes.
TEST_F(DispatcherTest, classMissingItsTargetIsBoostedWithoutStarvation)
{
    dispatcher.announce(now, upstream("a", 1));
    auto configuration = twoClasses();
    configuration.classes = {{"ahead", 990000, 300ms}, {"behind", 990000, 300ms}};
    dispatcher.setConfiguration(configuration);
    for (int i = 0; i < 50; ++i) {
        const auto job = add(submission(1, "behind"));
        now += 400ms;
        const auto placed = place();
        now += 100ms;
        dispatcher.finish(now, placed.at(0).attempt, success);
        dispatcher.remove(now, job);
    }
    const auto waiting = add(submission(1, "ahead"));
    now += 10ms;
    const auto urgent = add(submission(1, "behind"));
    auto placed = place();
    EXPECT_EQ(placed.at(0).job, urgent);
    bool hasRun = false;
    for (int i = 0; i < 50 && !hasRun; ++i) {
        add(submission(1, "behind"));
        now += 50ms;
        dispatcher.finish(now, placed.at(0).attempt, success);
        placed = place();
        hasRun = placed.at(0).job == waiting;
    }
    EXPECT_TRUE(hasRun);
}

// Guards against a team over its quota that takes slots from other teams, and against a quota that leaves
// slots idle.
TEST_F(DispatcherTest, teamOverQuotaUsesOnlyIdleSlots)
{
    dispatcher.announce(now, upstream("a", 4));
    auto configuration = twoClasses();
    configuration.teams = {{"greedy", 1}, {"modest", 4}};
    dispatcher.setConfiguration(configuration);
    const auto greedy = add(submission(20, "short", "greedy"));
    auto placed = place();
    EXPECT_EQ(placed.size(), 4U) << "no other team has queued tasks";
    const auto modest = add(submission(2, "long", "modest"));
    for (const auto &it : placed)
        dispatcher.finish(now, it.attempt, success);
    std::multiset<JobId> jobs;
    for (const auto &it : place())
        jobs.insert(it.job);
    EXPECT_EQ(jobs, (std::multiset<JobId>{greedy, greedy, modest, modest}));
}

// Guards against jobs that are accepted and then miss their deadline, and against clients that all retry at
// the same time.
TEST_F(DispatcherTest, refusesInfeasibleDeadlinesWithJitteredRetryTimes)
{
    dispatcher.announce(now, upstream("a", 1));
    runOneByOne(8, {{"a", 100ms}});
    for (int i = 0; i < 50; ++i)
        add(submission(1));
    std::set<TimePoint> retryTimes;
    for (int i = 0; i < 20; ++i) {
        auto job = submission(1);
        job.key = "key-" + std::to_string(i);
        job.deadline = now + 2s;
        auto feasible = job;
        feasible.deadline = now + 20s;
        EXPECT_FALSE(dispatcher.refusal(now, feasible).has_value());
        const auto refusal = dispatcher.refusal(now, job);
        ASSERT_TRUE(refusal.has_value());
        EXPECT_EQ(refusal->reason, Reason::Overloaded);
        EXPECT_GT(refusal->retryAt.value_or(start), now + 1s);
        retryTimes.insert(refusal->retryAt.value_or(start));
    }
    EXPECT_GT(retryTimes.size(), 15U);
}

// Guards against refusals from declared times alone, before a service time of the class is learned: the tasks
// take a tenth of what is declared.
TEST_F(DispatcherTest, overstatedDeclaredTimesRefuseNoJob)
{
    dispatcher.announce(now, upstream("a", 1));
    std::vector<JobId> jobs;
    for (int i = 0; i < 12; ++i) {
        auto job = submission(1);
        job.tasks[0].declaredTime = 1s;
        job.deadline = now + 1500ms;
        ASSERT_FALSE(dispatcher.refusal(now, job).has_value()) << i;
        jobs.push_back(add(job));
    }
    for (const auto job : jobs) {
        const auto placed = place();
        ASSERT_EQ(placed.size(), 1U);
        now += 100ms;
        dispatcher.finish(now, placed[0].attempt, success);
        dispatcher.remove(now, job);
    }
}

// Guards against a job with a too long declared time that is overtaken by later jobs until its deadline.
TEST_F(DispatcherTest, overstatedDeclaredTimeDoesNotDelayAJobToItsDeadline)
{
    dispatcher.announce(now, upstream("a", 1));
    auto overstated = submission(1);
    overstated.tasks[0].declaredTime = 10s;
    overstated.deadline = now + 3s;
    const auto job = add(overstated);
    TimePoint startedAt;
    for (int i = 0; startedAt == TimePoint() && i < 100; ++i) {
        auto other = submission(1);
        other.deadline = now + 3s;
        add(other);
        const auto placed = place();
        ASSERT_EQ(placed.size(), 1U);
        if (placed[0].job == job)
            startedAt = now;
        now += 100ms;
        dispatcher.finish(now, placed[0].attempt, success);
        dispatcher.remove(now, placed[0].job);
    }
    EXPECT_LT(startedAt, overstated.deadline - 1s);
}

// Guards against one team that fills the queue, so that the jobs of all teams are refused.
TEST_F(DispatcherTest, fullTeamQueueRefusesOnlyThatTeam)
{
    dispatcher.announce(now, upstream("a", 1));
    for (int i = 0; i < 40; ++i)
        add(submission(500, "short", "flood"));
    auto job = submission(1, "long", "flood");
    job.deadline = now + 10h;
    EXPECT_TRUE(dispatcher.refusal(now, job).has_value());
    job.team = "quiet";
    EXPECT_FALSE(dispatcher.refusal(now, job).has_value());
}

// Guards against a loop of starts on an upstream that declines each of them at once.
TEST_F(DispatcherTest, backsOffFromADecliningUpstream)
{
    dispatcher.announce(now, upstream("a", 1));
    const auto job = add(submission(1));
    int starts = 0;
    for (int i = 0; i < 1000; ++i, now += 1ms) {
        for (const auto &it : place()) {
            ++starts;
            dispatcher.finish(now, it.attempt, declined);
            dispatcher.requeue(now, job, submission(1), it.task);
        }
    }
    EXPECT_LE(starts, 10);
    EXPECT_GE(starts, 4);
}

// Guards against large jobs that lose all their work to one failure on an upstream on trial, and against an
// upstream that is never tried because there are no jobs of a single task.
TEST_F(DispatcherTest, triesAnEjectedUpstreamWithSingleTasksFirst)
{
    for (const auto *name : {"a", "b", "c"})
        dispatcher.announce(now, upstream(name, 4));
    for (int i = 0; i < 20; ++i) {
        const auto job = add(submission(12));
        for (const auto &it : place())
            dispatcher.finish(now, it.attempt, it.upstream == "a" ? failure : success);
        dispatcher.remove(now, job);
        now += 10ms;
    }
    const auto startsOnA = [this](std::uint32_t tasks) {
        const auto job = add(submission(tasks));
        int n = 0;
        for (const auto &it : place()) {
            n += it.upstream == "a" ? 1 : 0;
            dispatcher.finish(now, it.attempt, success);
        }
        dispatcher.remove(now, job);
        return n;
    };
    EXPECT_EQ(startsOnA(12), 0) << "ejected";
    now += 3s;
    EXPECT_EQ(startsOnA(12), 0);
    EXPECT_EQ(startsOnA(1), 1);
    now += 5s;
    EXPECT_EQ(startsOnA(12), 1) << "without jobs of a single task, larger jobs are used after five seconds";
    EXPECT_GT(startsOnA(12), 1) << "readmitted after two successes";
}

// Guards against a queue that stands still while upstreams are idle: an upstream on trial, whose time is not
// known, counted as one that it pays to wait for.
TEST_F(DispatcherTest, startsLargeJobsWhileAnUpstreamIsOnTrial)
{
    for (const auto *name : {"a", "b", "c"})
        dispatcher.announce(now, upstream(name, 4));
    for (int i = 0; i < 20; ++i) {
        const auto job = add(submission(12));
        const auto placed = place();
        now += 100ms;
        for (const auto &it : placed)
            dispatcher.finish(now, it.attempt, it.upstream == "a" ? failure : success);
        dispatcher.remove(now, job);
    }
    now += 3s;
    add(submission(4));
    EXPECT_EQ(place().size(), 4U);
}

// Guards against retries that amplify an overload: without starts, the budget has to be exhausted.
TEST_F(DispatcherTest, retriesStayWithinABudget)
{
    int retries = 0;
    while (retries < 1000 && dispatcher.takeRetry())
        ++retries;
    EXPECT_LE(retries, 20);
    EXPECT_GE(retries, 1);
}

// Guards against a baseline policy that orders jobs by their targets, which would spoil comparisons.
TEST_F(DispatcherTest, baselineIsFirstInFirstOut)
{
    Dispatcher baseline({PlacementPolicy::LeastOutstanding, 0});
    baseline.setConfiguration(twoClasses());
    baseline.announce(now, upstream("a", 1));
    baseline.add(now, 1, submission(1, "long"));
    baseline.add(now, 2, submission(1, "short"));
    EXPECT_EQ(baseline.place(now).at(0).job, 1U);
}

// Guards against a job that is shed while slots are idle, and against one that takes a slot under load
// although its deadline can no longer be met.
TEST_F(DispatcherTest, shedsAJobOnlyWhenOthersNeedItsSlots)
{
    dispatcher.announce(now, upstream("a", 2));
    runOneByOne(20, {{"a", 1s}});
    auto late = submission(1);
    late.deadline = now + 500ms;
    add(late);
    EXPECT_EQ(place().size(), 1U);
    EXPECT_TRUE(dispatcher.takeShedJobs().empty());
    add(submission(1));
    EXPECT_EQ(place().size(), 1U);
    late.deadline = now + 400ms;
    const auto job = add(late);
    EXPECT_TRUE(place().empty());
    EXPECT_EQ(dispatcher.takeShedJobs(), std::vector<JobId>{job});
    EXPECT_TRUE(dispatcher.takeShedJobs().empty());
    EXPECT_EQ(dispatcher.queuedTasks(), 0U);
}

// Guards against slots that go to jobs which are mostly late by then while others could still be in time.
TEST_F(DispatcherTest, jobWithoutMarginLeavesItsSlotToOthersUnderLoad)
{
    auto configuration = twoClasses();
    configuration.classes[0].targetTime = 60ms;
    configuration.classes[0].targetStretch = 1600;
    dispatcher.setConfiguration(configuration);
    dispatcher.announce(now, upstream("a", 1));
    runOneByOne(20, {{"a", 100ms}});
    add(submission(1));
    const auto running = place();
    ASSERT_EQ(running.size(), 1U);
    const auto old = add(submission(1));
    // The target is 220 ms after the arrival, of which nine tenths count.
    now += 105ms;
    const auto fresh = add(submission(1));
    dispatcher.finish(now, running[0].attempt, success);
    const auto placed = place();
    ASSERT_EQ(placed.size(), 1U);
    EXPECT_EQ(placed[0].job, fresh);
    EXPECT_EQ(dispatcher.takeShedJobs(), std::vector<JobId>{old});
}

namespace {

/// Upstreams "slow" and "fast" with four slots each and learned service times of both classes.
class UpstreamSpeedTest : public DispatcherTest
{
protected:
    UpstreamSpeedTest()
    {
        auto configuration = twoClasses();
        for (auto &it : configuration.classes) {
            it.targetTime = 60ms;
            it.targetStretch = 1600;
        }
        dispatcher.setConfiguration(configuration);
        dispatcher.announce(start, upstream("slow", 4));
        dispatcher.announce(start, upstream("fast", 4));
        for (int i = 0; i < 30; ++i) {
            run("short", 50ms);
            run("long", 800ms);
        }
    }

    /// Runs eight tasks, which take one and a half times as long on the slow upstream.
    void run(const std::string &className, Duration time)
    {
        ++job;
        dispatcher.add(now, job, submission(8, className));
        const auto placed = dispatcher.place(now);
        for (const auto *name : {"fast", "slow"}) {
            now += time / 2;
            for (const auto &it : placed) {
                if (it.upstream == name)
                    dispatcher.finish(now, it.attempt, success);
            }
            now += name == std::string("fast") ? time / 4 : Duration();
        }
        dispatcher.remove(now, job);
        now += 10ms;
    }

    /// Submits a job with a deadline in @p timeToDeadline and returns the upstreams of the tasks that start
    /// at once.
    std::vector<std::string> upstreamsOf(const std::string &className, std::uint32_t tasks,
                                         Duration timeToDeadline)
    {
        auto wanted = submission(tasks, className);
        wanted.deadline = now + timeToDeadline;
        dispatcher.add(now, ++job, wanted);
        std::vector<std::string> upstreams;
        for (const auto &it : dispatcher.place(now))
            upstreams.push_back(it.upstream);
        return upstreams;
    }

    TimePoint now = start;
    JobId job = 0;
};

} // namespace

// Guards against a fast upstream that is left free when no other work needs it.
TEST_F(UpstreamSpeedTest, shortWorkTakesTheFastUpstreamWhenIdle)
{
    EXPECT_EQ(upstreamsOf("short", 1, 2s), std::vector<std::string>{"fast"});
}

// Guards against tasks that could meet their target on a slow upstream but occupy the fast one under load.
TEST_F(UpstreamSpeedTest, shortWorkLeavesTheFastUpstreamToLongWorkUnderLoad)
{
    // From here on, half of the slots are busy.
    ASSERT_EQ(upstreamsOf("long", 4, 3s), (std::vector<std::string>(4, "fast")));
    EXPECT_EQ(upstreamsOf("short", 2, 2s), (std::vector<std::string>(2, "slow")));
}

// Guards against a task that starts on the slow upstream, where it would miss its deadline.
TEST_F(UpstreamSpeedTest, longWorkTakesTheFastUpstreamForATightDeadline)
{
    ASSERT_EQ(upstreamsOf("short", 4, 2s).size(), 4U);
    const auto upstreams = upstreamsOf("long", 1, 900ms);
    EXPECT_TRUE(upstreams.empty() || upstreams == std::vector<std::string>{"fast"});
}

// Guards against a job that is accepted because its deadline is late, although its answer would be of little
// use by then.
TEST_F(UpstreamSpeedTest, refusesAJobBeyondThreeTimesItsTargetUnderLoad)
{
    for (int i = 0; i < 40; ++i)
        upstreamsOf("long", 8, 30s);
    auto late = submission(1, "long");
    late.deadline = now + 30s;
    const auto refusal = dispatcher.refusal(now, late);
    ASSERT_TRUE(refusal);
    EXPECT_EQ(refusal->reason, Reason::Overloaded);
    EXPECT_TRUE(refusal->retryAt);
}

// Guards against a caller that is told to correct its class, although a change that is in force declares it.
TEST_F(DispatcherTest, classOfAMissedChangeIsRefusedWithARetryTime)
{
    const auto retired = [&] {
        auto configuration = twoClasses();
        configuration.classes[1].retired = true;
        configuration.teams = {{"t", 10}};
        return configuration;
    }();
    dispatcher.setConfiguration(retired);
    const std::vector<std::pair<Submission, Reason>> undeclared{
        {submission(1, "new"), Reason::UnknownClass},
        {submission(1, "long"), Reason::RetiredClass},
        {submission(1, "short", "new"), Reason::UnknownTeam},
    };
    for (const auto &[job, reason] : undeclared) {
        EXPECT_EQ(dispatcher.refusal(now, job)->reason, reason);
        dispatcher.setConfigurationCurrent(false);
        const auto refusal = dispatcher.refusal(now, job);
        EXPECT_EQ(refusal->reason, Reason::ConfigurationOutdated);
        EXPECT_GT(refusal->retryAt, now);
        dispatcher.setConfigurationCurrent(true);
    }
}
