#include "citronpitch/claimbook.h"

#include "citronpitch/jobkey.h"

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
    limits.maximumUndatedKeys = 2;
    limits.maximumAnswerBytes = 10'000;
    return limits;
}

ClaimKey undated(const std::string &text)
{
    return {"team", text};
}

ClaimKey dated(Duration after, std::uint64_t number = 1)
{
    return {"team", issueJobKey("a1", start + after, number, number)};
}

Answer answerOf(const ClaimKey &key, std::size_t bytes = 1)
{
    Answer answer{key.key, Outcome::Complete, Reason::None, {}, {}, {}};
    answer.tasks.push_back({TaskState::Ran, 200, std::string(bytes, 'r'), "u"});
    return answer;
}

} // namespace

TEST(ClaimBookTest, keepsAnAnswerForTheRetentionTimeAndTheKeyForGood)
{
    ClaimBook book(smallLimits());
    const auto key = undated("order");
    EXPECT_EQ(book.state(start, key, 7), ClaimState::Free);
    book.claim(key, 7, 1);
    EXPECT_EQ(book.state(start, key, 7), ClaimState::Open);
    EXPECT_EQ(book.state(start, key, 8), ClaimState::Conflict);
    book.answer(start, key, answerOf(key));
    EXPECT_EQ(book.state(start, key, 7), ClaimState::Answered);
    book.expire(start + std::chrono::seconds(10));
    EXPECT_EQ(book.state(start + std::chrono::hours(1000), key, 7), ClaimState::Expired);
}

TEST(ClaimBookTest, forgetsADatedKeyOnlyWhenItIsTooOldToBeTaken)
{
    ClaimBook book(smallLimits());
    const auto key = dated(Duration(0));
    book.claim(key, 7, 1);
    book.answer(start, key, answerOf(key));
    for (int seconds = 0; seconds < 300; ++seconds) {
        const auto now = start + std::chrono::seconds(seconds);
        book.expire(now);
        EXPECT_NE(book.state(now, key, 7), ClaimState::Free) << seconds;
    }
    EXPECT_EQ(book.size(), 0U);
    EXPECT_EQ(book.state(start, key, 7), ClaimState::Expired) << "a clock that is set back";
}

TEST(ClaimBookTest, refusesKeysDatedAheadOfTheSkew)
{
    const ClaimBook book(smallLimits());
    EXPECT_EQ(book.state(start, dated(std::chrono::seconds(2)), 7), ClaimState::Free);
    EXPECT_EQ(book.state(start, dated(std::chrono::seconds(3)), 7), ClaimState::DatedAhead);
}

TEST(ClaimBookTest, takesNoMoreUndatedKeysThanItCanRemember)
{
    ClaimBook book(smallLimits());
    book.claim(undated("one"), 7, 1);
    book.answer(start, undated("one"), answerOf(undated("one")));
    book.expire(start + std::chrono::seconds(10));
    book.claim(undated("two"), 7, 2);
    EXPECT_EQ(book.state(start, undated("three"), 7), ClaimState::Full);
    EXPECT_EQ(book.state(start, dated(Duration(0)), 7), ClaimState::Free);
}

TEST(ClaimBookTest, dropsTheOldestAnswerWhenTheBytesRunOut)
{
    ClaimBook book(smallLimits());
    for (std::uint64_t i = 1; i <= 2; ++i) {
        const auto key = dated(Duration(0), i);
        book.claim(key, 7, i);
        book.answer(start, key, answerOf(key, 6000));
    }
    EXPECT_EQ(book.state(start, dated(Duration(0), 1), 7), ClaimState::Expired);
    EXPECT_EQ(book.state(start, dated(Duration(0), 2), 7), ClaimState::Answered);
}

TEST(ClaimBookTest, floorsMakeUnknownKeysUnknown)
{
    ClaimBook book(smallLimits());
    book.raiseFloors({start, {}, true});
    EXPECT_EQ(book.state(start, undated("order"), 7), ClaimState::MemoryLost);
    EXPECT_EQ(book.state(start, dated(std::chrono::seconds(-1)), 7), ClaimState::MemoryLost);
    EXPECT_EQ(book.state(start, dated(std::chrono::seconds(1)), 7), ClaimState::Free);
}

TEST(ClaimBookTest, aWaiterThatLeavesIsNotAnswered)
{
    ClaimBook book(smallLimits());
    const auto key = undated("order");
    book.claim(key, 7, 1);
    book.join(key, {{}, 0, 1});
    book.join(key, {{}, 0, 2});
    book.join(key, {{}, 0, 2});
    book.leave({{}, 0, 1});
    book.leave({{}, 0, 3});
    EXPECT_EQ(book.answer(start, key, answerOf(key)), (std::vector<Waiter>{{{}, 0, 2}}));
}
