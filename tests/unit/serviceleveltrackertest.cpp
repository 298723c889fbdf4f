#include "citronpitch/serviceleveltracker.h"

#include <gtest/gtest.h>

using namespace Citronpitch;

namespace {

const TimePoint start = timePointOf(1'800'000'000'000'000);
const ClassDeclaration casework{"casework", 990000, std::chrono::milliseconds(300)};

Answer answerOf(Outcome outcome, Reason reason, int status)
{
    Answer answer;
    answer.outcome = outcome;
    answer.reason = reason;
    answer.tasks = {{TaskState::Ran, 200, "", "fast"}, {TaskState::Ran, status, "", "slow"}};
    return answer;
}

const Answer complete = answerOf(Outcome::Complete, Reason::None, 200);

std::uint64_t missedIn(const std::vector<ServiceLevelBucket> &buckets)
{
    std::uint64_t n = 0;
    for (const auto &it : buckets)
        n += it.missed;
    return n;
}

std::uint64_t answeredIn(const std::vector<ServiceLevelBucket> &buckets)
{
    std::uint64_t n = 0;
    for (const auto &it : buckets)
        n += it.answered;
    return n;
}

} // namespace

// Guards against misses attributed to the wrong upstream: a late job had an attempt that ended in time, and a
// failed job had a task that succeeded.
TEST(ServiceLevelTrackerTest, attributesLateAndFailedJobsToUpstreams)
{
    ServiceLevelTracker tracker;
    tracker.jobAccepted(start, 1, casework);
    tracker.jobAnswered(start + std::chrono::milliseconds(300), 1, complete);
    tracker.jobAccepted(start, 2, casework);
    tracker.attemptEnded(start + std::chrono::milliseconds(299), 2, "fast");
    tracker.attemptEnded(start + std::chrono::milliseconds(301), 2, "slow");
    tracker.jobAnswered(start + std::chrono::milliseconds(301), 2, complete);
    tracker.jobAccepted(start, 3, casework);
    tracker.jobAnswered(start, 3, answerOf(Outcome::Failed, Reason::TaskFailed, 500));
    const auto classes = tracker.classes(start);
    ASSERT_EQ(classes.size(), 1U);
    EXPECT_EQ(answeredIn(classes[0].minutes), 3U);
    EXPECT_EQ(missedIn(classes[0].minutes), 2U);
    EXPECT_EQ(missedIn(classes[0].quarters), 2U);
    ASSERT_EQ(classes[0].upstreams.size(), 1U);
    EXPECT_EQ(classes[0].upstreams[0].upstream, "slow");
    EXPECT_EQ(classes[0].upstreams[0].missed, 2U);
}

// Guards against callers that use up the error budget by cancellations or invalid requests.
TEST(ServiceLevelTrackerTest, countsOverloadButNotCallerErrors)
{
    ServiceLevelTracker tracker;
    tracker.jobAccepted(start, 1, casework);
    tracker.jobAnswered(start + std::chrono::hours(1), 1, answerOf(Outcome::Failed, Reason::Cancelled, 0));
    tracker.jobRefused(start, "casework", Reason::KeyConflict);
    tracker.jobRefused(start, "casework", Reason::NeverFits);
    EXPECT_TRUE(tracker.classes(start).empty());
    tracker.jobRefused(start, "casework", Reason::Overloaded);
    EXPECT_EQ(missedIn(tracker.classes(start).at(0).minutes), 1U);
}

// Guards against counts from an earlier round of the ring buffer that are reported as current.
TEST(ServiceLevelTrackerTest, dropsExpiredBuckets)
{
    ServiceLevelTracker tracker;
    tracker.jobRefused(start, "casework", Reason::Overloaded);
    EXPECT_EQ(missedIn(tracker.classes(start + std::chrono::minutes(59)).at(0).minutes), 1U);
    EXPECT_EQ(missedIn(tracker.classes(start + std::chrono::minutes(60)).at(0).minutes), 0U);
    EXPECT_EQ(missedIn(tracker.classes(start + std::chrono::hours(71)).at(0).quarters), 1U);
    EXPECT_EQ(missedIn(tracker.classes(start + std::chrono::hours(72)).at(0).quarters), 0U);
    tracker.jobRefused(start + std::chrono::minutes(60), "casework", Reason::Overloaded);
    EXPECT_EQ(missedIn(tracker.classes(start + std::chrono::minutes(60)).at(0).minutes), 1U)
        << "the bucket is reused for the same minute of the next hour";
}

// Guards against unbounded memory use by callers or upstreams that use ever new names.
TEST(ServiceLevelTrackerTest, limitsNumberOfClassesAndUpstreams)
{
    ServiceLevelTracker tracker;
    for (std::size_t i = 0; i < maximumServiceLevelClasses + 10; ++i)
        tracker.jobRefused(start, "class" + std::to_string(i), Reason::Overloaded);
    EXPECT_EQ(tracker.classes(start).size(), maximumServiceLevelClasses);
    for (JobId i = 0; i < 200; ++i) {
        tracker.jobAccepted(start, i, {"class0", 990000, {}});
        auto failed = answerOf(Outcome::Failed, Reason::TaskFailed, 500);
        failed.tasks[1].upstream = "u" + std::to_string(i);
        tracker.jobAnswered(start, i, failed);
    }
    std::uint64_t missed = 0;
    std::size_t upstreams = 0;
    for (const auto &it : tracker.classes(start)) {
        for (const auto &cost : it.upstreams)
            missed += cost.missed;
        upstreams = std::max(upstreams, it.upstreams.size());
    }
    EXPECT_EQ(missed, 200U) << "misses of upstreams beyond the limit share one counter";
    EXPECT_EQ(upstreams, maximumServiceLevelUpstreams + 1);
}
