#include "citronpitch/jobkey.h"

#include <gtest/gtest.h>

using namespace Citronpitch;

namespace {

const std::vector<std::string> vms{"a1", "a2", "b1"};

} // namespace

TEST(JobKeyTest, issuedKeyNamesItsHomeAndDate)
{
    const auto now = timePointOf(1'700'000'000'123'000);
    const auto text = issueJobKey("a2", now, 0x123456789abcdef0U, 0xfedcba9876543210U);
    const auto key = parseJobKey(text);
    ASSERT_TRUE(key.has_value());
    EXPECT_EQ(key->issuer, "a2");
    EXPECT_EQ(key->date, now);
    EXPECT_EQ(homeOf(*key, "team", text, vms), "a2");
}

TEST(JobKeyTest, otherTextHasNoDateAndAFixedHome)
{
    const auto key = parseJobKey("referral-17");
    ASSERT_TRUE(key.has_value());
    EXPECT_FALSE(key->date.has_value());
    const auto home = homeOf(*key, "team", "referral-17", vms);
    EXPECT_EQ(home, homeOf(*key, "team", "referral-17", {"b1", "a2", "a1"}));
}

TEST(JobKeyTest, refusesWhatCannotBeAKey)
{
    EXPECT_FALSE(parseJobKey("").has_value());
    EXPECT_FALSE(parseJobKey("with space").has_value());
    EXPECT_FALSE(parseJobKey(std::string(maximumKeyBytes + 1, 'k')).has_value());
}
