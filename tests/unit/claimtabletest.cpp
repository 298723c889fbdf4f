#include "citronpitch/claimtable.h"

#include "citronpitch/idempotencykey.h"

#include <gtest/gtest.h>

using namespace Citronpitch;

namespace {

const auto start = timePointOf(1'700'000'000'000'000);

ClaimLimits smallLimits()
{
    ClaimLimits limits;
    limits.retention = std::chrono::seconds(10);
    limits.keyAge = std::chrono::seconds(60);
    limits.clockSkew = std::chrono::seconds(2);
    limits.maximumUndatedKeyCount = 2;
    limits.maximumAnswerBytes = 10'000;
    return limits;
}

ClaimKey undated(const std::string &text)
{
    return {"team", text};
}

ClaimKey dated(Duration after, std::uint64_t number = 1)
{
    return {"team", issueIdempotencyKey("a1", start + after, number, number)};
}

Answer answerOf(const ClaimKey &key, std::size_t bytes = 1)
{
    Answer answer{key.key, Outcome::Complete, Reason::None, {}, {}, {}};
    answer.tasks.push_back({TaskState::Ran, 200, std::string(bytes, 'r'), "u"});
    return answer;
}

} // namespace

// Guards against a second run of a job: a caller resubmits its key after the answer has been dropped.
TEST(ClaimTableTest, retainsAnswerForRetentionTimeAndUndatedKeyForever)
{
    ClaimTable table(smallLimits());
    const auto key = undated("order");
    EXPECT_EQ(table.state(start, key, 7), ClaimState::Unclaimed);
    table.claim(key, 7, 1);
    EXPECT_EQ(table.state(start, key, 7), ClaimState::Open);
    EXPECT_EQ(table.state(start, key, 8), ClaimState::Conflict);
    table.answer(start, key, answerOf(key));
    EXPECT_EQ(table.state(start, key, 7), ClaimState::Answered);
    table.expire(start + std::chrono::seconds(10));
    EXPECT_EQ(table.state(start + std::chrono::hours(1000), key, 7), ClaimState::Expired);
}

// Guards against a gap between two rules: a dated key must not become claimable again after its answer and
// its fingerprint are dropped, also not if the clock is set back.
TEST(ClaimTableTest, dropsDatedKeyOnlyAfterKeyAge)
{
    ClaimTable table(smallLimits());
    const auto key = dated(Duration(0));
    table.claim(key, 7, 1);
    table.answer(start, key, answerOf(key));
    for (int seconds = 0; seconds < 300; ++seconds) {
        const auto now = start + std::chrono::seconds(seconds);
        table.expire(now);
        EXPECT_NE(table.state(now, key, 7), ClaimState::Unclaimed) << seconds;
    }
    EXPECT_EQ(table.size(), 0U);
    EXPECT_EQ(table.state(start, key, 7), ClaimState::Expired) << "the clock was set back";
}

// Guards against keys dated later than the cutoff that recovery sets after a loss of journal records: they
// could be claimed, and their jobs could run, a second time.
TEST(ClaimTableTest, refusesKeysDatedBeyondClockSkew)
{
    const ClaimTable table(smallLimits());
    EXPECT_EQ(table.state(start, dated(std::chrono::seconds(2)), 7), ClaimState::Unclaimed);
    EXPECT_EQ(table.state(start, dated(std::chrono::seconds(3)), 7), ClaimState::DatedInFuture);
}

// Guards against unbounded growth: fingerprints of undated keys are never dropped, so they count toward the
// limit. Dated keys must still be accepted when it is reached.
TEST(ClaimTableTest, limitsNumberOfUndatedKeys)
{
    ClaimTable table(smallLimits());
    table.claim(undated("one"), 7, 1);
    table.answer(start, undated("one"), answerOf(undated("one")));
    table.expire(start + std::chrono::seconds(10));
    table.claim(undated("two"), 7, 2);
    EXPECT_EQ(table.state(start, undated("three"), 7), ClaimState::TableFull);
    EXPECT_EQ(table.state(start, dated(Duration(0)), 7), ClaimState::Unclaimed);
}

// Guards against unbounded memory use by large answers. The key of a dropped answer must not be claimable.
TEST(ClaimTableTest, dropsOldestAnswerWhenSizeLimitIsExceeded)
{
    ClaimTable table(smallLimits());
    for (std::uint64_t i = 1; i <= 2; ++i) {
        const auto key = dated(Duration(0), i);
        table.claim(key, 7, i);
        table.answer(start, key, answerOf(key, 6000));
    }
    EXPECT_EQ(table.state(start, dated(Duration(0), 1), 7), ClaimState::Expired);
    EXPECT_EQ(table.state(start, dated(Duration(0), 2), 7), ClaimState::Answered);
}

// Guards against a second run after a loss of journal records: a key from before the loss looks unclaimed.
TEST(ClaimTableTest, reportsUnknownKeysBelowCutoffsAsMemoryLost)
{
    ClaimTable table(smallLimits());
    table.advanceCutoffs({start, {}, true});
    EXPECT_EQ(table.state(start, undated("order"), 7), ClaimState::MemoryLost);
    EXPECT_EQ(table.state(start, dated(std::chrono::seconds(-1)), 7), ClaimState::MemoryLost);
    EXPECT_EQ(table.state(start, dated(std::chrono::seconds(1)), 7), ClaimState::Unclaimed);
}

// Guards against answers to callers that have disconnected, and against two answers to one request, which a
// duplicate of a forwarded request registers twice.
TEST(ClaimTableTest, doesNotReturnRemovedOrDuplicateWaiters)
{
    ClaimTable table(smallLimits());
    const auto key = undated("order");
    table.claim(key, 7, 1);
    table.addWaiter(key, {{}, 0, 1});
    table.addWaiter(key, {{}, 0, 2});
    table.addWaiter(key, {{}, 0, 2});
    table.removeWaiter({{}, 0, 1});
    table.removeWaiter({{}, 0, 3});
    EXPECT_EQ(table.answer(start, key, answerOf(key)), (std::vector<Waiter>{{{}, 0, 2}}));
}
