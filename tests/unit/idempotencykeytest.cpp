#include "citronpitch/idempotencykey.h"

#include <gtest/gtest.h>

using namespace Citronpitch;

namespace {

const std::vector<std::string> vms{"a1", "a2", "b1"};

} // namespace

// Guards against an issued key that is parsed to another home VM or date than it was issued with.
TEST(IdempotencyKeyTest, issuedKeyContainsHomeVmAndDate)
{
    const auto now = timePointOf(1'700'000'000'123'000);
    const auto text = issueIdempotencyKey("a2", now, 0x123456789abcdef0U, 0xfedcba9876543210U);
    const auto key = parseIdempotencyKey(text);
    ASSERT_TRUE(key.has_value());
    EXPECT_EQ(key->issuer, "a2");
    EXPECT_EQ(key->date, now);
    EXPECT_EQ(homeVmOf(*key, "team", text, vms), "a2");
}

// Guards against two home VMs for one key, and so against two runs of its job, if VMs list their peers in a
// different order.
TEST(IdempotencyKeyTest, otherTextHasNoDateAndStableHomeVm)
{
    const auto key = parseIdempotencyKey("referral-17");
    ASSERT_TRUE(key.has_value());
    EXPECT_FALSE(key->date.has_value());
    const auto home = homeVmOf(*key, "team", "referral-17", vms);
    EXPECT_EQ(home, homeVmOf(*key, "team", "referral-17", {"b1", "a2", "a1"}));
}

// Guards against accepting an empty key, a key with a space and a key that is too long.
TEST(IdempotencyKeyTest, rejectsInvalidKeys)
{
    EXPECT_FALSE(parseIdempotencyKey("").has_value());
    EXPECT_FALSE(parseIdempotencyKey("with space").has_value());
    EXPECT_FALSE(parseIdempotencyKey(std::string(maximumKeyBytes + 1, 'k')).has_value());
}
