#include "core/dispatch/baseline.h"

#include <gtest/gtest.h>

using namespace Citronpitch;

// Guards against a round-robin position counted in the list of free upstreams: when a busy upstream is
// missing from the list, another one would be skipped or chosen twice.
TEST(BaselineTest, roundRobinContinuesAfterThePreviousChoice)
{
    const auto choice = makeBaselineSelector(PlacementPolicy::RoundRobin, 0);
    EXPECT_EQ(choice({{0, 0}, {1, 0}, {2, 0}}), 0U);
    EXPECT_EQ(choice({{0, 0}, {2, 0}}), 1U);
    EXPECT_EQ(choice({{0, 0}, {1, 0}, {2, 0}}), 0U);
}

// Guards against baseline runs that cannot be repeated because the generator is not seeded by the option.
TEST(BaselineTest, randomIsReproducibleForASeed)
{
    const auto first = makeBaselineSelector(PlacementPolicy::Random, 7);
    const auto second = makeBaselineSelector(PlacementPolicy::Random, 7);
    const std::vector<BaselineCandidate> candidates{{0, 0}, {1, 0}, {2, 0}, {3, 0}};
    for (int i = 0; i < 20; ++i)
        EXPECT_EQ(first(candidates), second(candidates));
}

// Guards against a choice by the position of an upstream instead of its attempts in flight.
TEST(BaselineTest, leastOutstandingPicksTheFewestAttemptsInFlight)
{
    const auto choice = makeBaselineSelector(PlacementPolicy::LeastOutstanding, 0);
    EXPECT_EQ(choice({{0, 3}, {1, 1}, {2, 2}}), 1U);
}

// Guards against a target policy that places tasks with the selector of a baseline.
TEST(BaselineTest, targetPolicyHasNoSelector)
{
    EXPECT_FALSE(makeBaselineSelector(PlacementPolicy::Target, 0));
}
