#include "citronpitch/burnledger.h"

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

std::uint64_t missedIn(const std::vector<BurnBucket> &buckets)
{
    std::uint64_t n = 0;
    for (const auto &it : buckets)
        n += it.missed;
    return n;
}

std::uint64_t answeredIn(const std::vector<BurnBucket> &buckets)
{
    std::uint64_t n = 0;
    for (const auto &it : buckets)
        n += it.answered;
    return n;
}

} // namespace

TEST(BurnLedgerTest, lateAndFailedJobsMissAndTheirUpstreamsAreBlamed)
{
    BurnLedger ledger;
    ledger.accepted(start, 1, casework);
    ledger.answered(start + std::chrono::milliseconds(300), 1, complete);
    ledger.accepted(start, 2, casework);
    ledger.attemptEnded(start + std::chrono::milliseconds(299), 2, "fast");
    ledger.attemptEnded(start + std::chrono::milliseconds(301), 2, "slow");
    ledger.answered(start + std::chrono::milliseconds(301), 2, complete);
    ledger.accepted(start, 3, casework);
    ledger.answered(start, 3, answerOf(Outcome::Failed, Reason::TaskFailed, 500));
    const auto classes = ledger.classes(start);
    ASSERT_EQ(classes.size(), 1U);
    EXPECT_EQ(answeredIn(classes[0].minutes), 3U);
    EXPECT_EQ(missedIn(classes[0].minutes), 2U);
    EXPECT_EQ(missedIn(classes[0].quarters), 2U);
    ASSERT_EQ(classes[0].upstreams.size(), 1U);
    EXPECT_EQ(classes[0].upstreams[0].upstream, "slow");
    EXPECT_EQ(classes[0].upstreams[0].missed, 2U);
}

TEST(BurnLedgerTest, faultsOfCallersAreNotCountedAndOverloadIs)
{
    BurnLedger ledger;
    ledger.accepted(start, 1, casework);
    ledger.answered(start + std::chrono::hours(1), 1, answerOf(Outcome::Failed, Reason::Cancelled, 0));
    ledger.refused(start, "casework", Reason::KeyConflict);
    ledger.refused(start, "casework", Reason::NeverFits);
    EXPECT_TRUE(ledger.classes(start).empty());
    ledger.refused(start, "casework", Reason::Overloaded);
    EXPECT_EQ(missedIn(ledger.classes(start).at(0).minutes), 1U);
}

TEST(BurnLedgerTest, bucketsAgeOut)
{
    BurnLedger ledger;
    ledger.refused(start, "casework", Reason::Overloaded);
    EXPECT_EQ(missedIn(ledger.classes(start + std::chrono::minutes(59)).at(0).minutes), 1U);
    EXPECT_EQ(missedIn(ledger.classes(start + std::chrono::minutes(60)).at(0).minutes), 0U);
    EXPECT_EQ(missedIn(ledger.classes(start + std::chrono::hours(71)).at(0).quarters), 1U);
    EXPECT_EQ(missedIn(ledger.classes(start + std::chrono::hours(72)).at(0).quarters), 0U);
    ledger.refused(start + std::chrono::minutes(60), "casework", Reason::Overloaded);
    EXPECT_EQ(missedIn(ledger.classes(start + std::chrono::minutes(60)).at(0).minutes), 1U)
        << "the bucket is used again for the same minute of the next hour";
}

TEST(BurnLedgerTest, memoryIsBounded)
{
    BurnLedger ledger;
    for (std::size_t i = 0; i < maximumBurnClasses + 10; ++i)
        ledger.refused(start, "class" + std::to_string(i), Reason::Overloaded);
    EXPECT_EQ(ledger.classes(start).size(), maximumBurnClasses);
    for (JobId i = 0; i < 200; ++i) {
        ledger.accepted(start, i, {"class0", 990000, {}});
        auto failed = answerOf(Outcome::Failed, Reason::TaskFailed, 500);
        failed.tasks[1].upstream = "u" + std::to_string(i);
        ledger.answered(start, i, failed);
    }
    std::uint64_t missed = 0;
    std::size_t upstreams = 0;
    for (const auto &it : ledger.classes(start)) {
        for (const auto &cost : it.upstreams)
            missed += cost.missed;
        upstreams = std::max(upstreams, it.upstreams.size());
    }
    EXPECT_EQ(missed, 200U) << "what has no place of its own is counted together";
    EXPECT_EQ(upstreams, maximumBurnUpstreams + 1);
}
