#include "fuzz/configurationmodel.h"

#include <gtest/gtest.h>

#include <ostream>
#include <string>

using namespace Citronpitch;

class ConfigurationFuzzTest : public testing::TestWithParam<std::uint64_t>
{
};

TEST_P(ConfigurationFuzzTest, promisesHoldUnderFaults)
{
    const auto result = fuzzConfiguration(GetParam(), 3000, {}, false);
    EXPECT_TRUE(result.hasPassed) << result.failure;
    EXPECT_GT(result.faults, 0U);
    EXPECT_GT(result.changesAccepted, 0U);
    EXPECT_GT(result.changesRefused, 0U);
}

INSTANTIATE_TEST_SUITE_P(Seeds, ConfigurationFuzzTest, testing::Values(1, 2, 3, 4));

TEST_P(ConfigurationFuzzTest, promisesHoldWhileVotersComeAndGo)
{
    const auto result = fuzzConfiguration(GetParam(), 3000, {}, false, 1);
    EXPECT_TRUE(result.hasPassed) << result.failure;
    EXPECT_GT(result.faults, 0U);
    EXPECT_GT(result.changesAccepted, 0U);
}

TEST_P(ConfigurationFuzzTest, promisesHoldWhileTwoDisksAreLostAtOnce)
{
    const auto result = fuzzConfiguration(GetParam(), 1500, {}, false, 2);
    EXPECT_TRUE(result.hasPassed) << result.failure;
    EXPECT_GT(result.faults, 0U);
    EXPECT_GT(result.changesAccepted, 0U);
}

/// One mechanism that is switched off, and the promise that must be found broken.
struct BrokenVariant
{
    std::string name;
    bool ConfigurationTestFaults::*fault = nullptr;
    /// Start of the failure's text.
    std::string promise;
    std::uint64_t seed = 1;
    std::size_t toleratedLosses = 0;
};

std::ostream &operator<<(std::ostream &os, const BrokenVariant &variant)
{
    return os << variant.name;
}

class BrokenConfigurationTest : public testing::TestWithParam<BrokenVariant>
{
};

TEST_P(BrokenConfigurationTest, isCaught)
{
    constexpr std::uint64_t steps = 60'000;
    ConfigurationTestFaults faults;
    faults.*GetParam().fault = true;
    const auto result = fuzzConfiguration(GetParam().seed, steps, faults, false, GetParam().toleratedLosses);
    EXPECT_FALSE(result.hasPassed);
    EXPECT_NE(result.failure.find(GetParam().promise), std::string::npos) << result.failure;
}

INSTANTIATE_TEST_SUITE_P(
    Mechanisms, BrokenConfigurationTest,
    testing::Values(
        BrokenVariant{"unsyncedWrites", &ConfigurationTestFaults::skipsSync, "revert", 2},
        BrokenVariant{"voteForAnyLog", &ConfigurationTestFaults::votesForAnyLog, "lost", 3},
        BrokenVariant{"forgottenVote", &ConfigurationTestFaults::forgetsVote, "leaders", 3},
        BrokenVariant{"amnesia", &ConfigurationTestFaults::ignoresStorage, "lost", 17},
        BrokenVariant{"logMatching", &ConfigurationTestFaults::skipsLogMatching, "order", 3},
        BrokenVariant{"forgottenAnswers", &ConfigurationTestFaults::forgetsAnswers, "answers", 3},
        BrokenVariant{"ignoredVersion", &ConfigurationTestFaults::ignoresBasedOn, "compare-and-set", 3},
        BrokenVariant{"noMajority", &ConfigurationTestFaults::commitsWithoutMajority, "lost", 3},
        BrokenVariant{"forgottenCommit", &ConfigurationTestFaults::forgetsCommit, "revert", 3},
        BrokenVariant{"noCatchUp", &ConfigurationTestFaults::neverCatchesUp, "liveness", 3},
        BrokenVariant{"trustedArrivals", &ConfigurationTestFaults::trustsArrivals, "stale", 3, 1}),
    [](const auto &variant) { return variant.param.name; });
