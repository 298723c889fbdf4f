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

TEST(ClaimTableTest, keepsAnAnswerForTheRetentionTimeAndTheKeyForGood)
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

TEST(ClaimTableTest, forgetsADatedKeyOnlyWhenItIsTooOldToBeTaken)
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
    EXPECT_EQ(table.state(start, key, 7), ClaimState::Expired) << "a clock that is set back";
}

TEST(ClaimTableTest, refusesKeysDatedAheadOfTheSkew)
{
    const ClaimTable table(smallLimits());
    EXPECT_EQ(table.state(start, dated(std::chrono::seconds(2)), 7), ClaimState::Unclaimed);
    EXPECT_EQ(table.state(start, dated(std::chrono::seconds(3)), 7), ClaimState::DatedInFuture);
}

TEST(ClaimTableTest, takesNoMoreUndatedKeysThanItCanRemember)
{
    ClaimTable table(smallLimits());
    table.claim(undated("one"), 7, 1);
    table.answer(start, undated("one"), answerOf(undated("one")));
    table.expire(start + std::chrono::seconds(10));
    table.claim(undated("two"), 7, 2);
    EXPECT_EQ(table.state(start, undated("three"), 7), ClaimState::TableFull);
    EXPECT_EQ(table.state(start, dated(Duration(0)), 7), ClaimState::Unclaimed);
}

TEST(ClaimTableTest, dropsTheOldestAnswerWhenTheBytesRunOut)
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

TEST(ClaimTableTest, floorsMakeUnknownKeysUnknown)
{
    ClaimTable table(smallLimits());
    table.raiseFloors({start, {}, true});
    EXPECT_EQ(table.state(start, undated("order"), 7), ClaimState::MemoryLost);
    EXPECT_EQ(table.state(start, dated(std::chrono::seconds(-1)), 7), ClaimState::MemoryLost);
    EXPECT_EQ(table.state(start, dated(std::chrono::seconds(1)), 7), ClaimState::Unclaimed);
}

TEST(ClaimTableTest, aWaiterThatLeavesIsNotAnswered)
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
