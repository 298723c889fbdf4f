#include "fuzz/configurationmodel.h"

#include <gtest/gtest.h>

#include <ostream>
#include <string>

using namespace Citronpitch;

class ConfigurationFuzzTest : public testing::TestWithParam<std::uint64_t>
{
};

// Guards against violated invariants under random faults with static membership.
TEST_P(ConfigurationFuzzTest, invariantsHoldUnderFaults)
{
    const auto result = fuzzConfiguration(GetParam(), 3000, {}, false);
    EXPECT_TRUE(result.hasPassed) << result.failure;
    EXPECT_GT(result.faults, 0U);
    EXPECT_GT(result.changesAccepted, 0U);
    EXPECT_GT(result.changesRefused, 0U);
}

INSTANTIATE_TEST_SUITE_P(Seeds, ConfigurationFuzzTest, testing::Values(1, 2, 3, 4));

// As above with dynamic membership that tolerates one lost disk: voters are replaced while faults occur.
TEST_P(ConfigurationFuzzTest, invariantsHoldWithDynamicMembership)
{
    const auto result = fuzzConfiguration(GetParam(), 3000, {}, false, 1);
    EXPECT_TRUE(result.hasPassed) << result.failure;
    EXPECT_GT(result.faults, 0U);
    EXPECT_GT(result.changesAccepted, 0U);
}

// As above with two tolerated losses, so that two disks may be lost at once.
TEST_P(ConfigurationFuzzTest, invariantsHoldWhenTwoDisksAreLostAtOnce)
{
    const auto result = fuzzConfiguration(GetParam(), 1500, {}, false, 2);
    EXPECT_TRUE(result.hasPassed) << result.failure;
    EXPECT_GT(result.faults, 0U);
    EXPECT_GT(result.changesAccepted, 0U);
}

/// An injected fault and the invariant that it must violate.
struct InjectedFault
{
    std::string name;
    bool ConfigurationTestFaults::*fault = nullptr;
    /// Beginning of the failure message.
    std::string invariant;
    std::uint64_t seed = 1;
    std::size_t toleratedLosses = 0;
};

std::ostream &operator<<(std::ostream &os, const InjectedFault &variant)
{
    return os << variant.name;
}

class ConfigurationFaultDetectionTest : public testing::TestWithParam<InjectedFault>
{
};

// Guards against a fuzzer that detects nothing: each injected fault must violate the expected invariant.
TEST_P(ConfigurationFaultDetectionTest, isDetected)
{
    constexpr std::uint64_t steps = 60'000;
    ConfigurationTestFaults faults;
    faults.*GetParam().fault = true;
    const auto result = fuzzConfiguration(GetParam().seed, steps, faults, false, GetParam().toleratedLosses);
    EXPECT_FALSE(result.hasPassed);
    EXPECT_NE(result.failure.find(GetParam().invariant), std::string::npos) << result.failure;
}

INSTANTIATE_TEST_SUITE_P(
    Mechanisms, ConfigurationFaultDetectionTest,
    testing::Values(
        InjectedFault{"unsyncedWrites", &ConfigurationTestFaults::skipsSync, "revert", 2},
        InjectedFault{"voteForAnyLog", &ConfigurationTestFaults::votesForAnyLog, "lost", 3},
        InjectedFault{"forgottenVote", &ConfigurationTestFaults::forgetsVote, "leaders", 2},
        InjectedFault{"amnesia", &ConfigurationTestFaults::ignoresStorageId, "lost", 28},
        InjectedFault{"logMatching", &ConfigurationTestFaults::skipsLogMatchingCheck, "order", 2},
        InjectedFault{"forgottenAnswers", &ConfigurationTestFaults::forgetsAnswers, "answers", 2},
        InjectedFault{"ignoredVersion", &ConfigurationTestFaults::ignoresBasedOn, "compare-and-set", 3},
        InjectedFault{"noMajority", &ConfigurationTestFaults::commitsWithoutMajority, "lost", 3},
        InjectedFault{"forgottenCommit", &ConfigurationTestFaults::forgetsCommit, "revert", 3},
        InjectedFault{"noCatchUp", &ConfigurationTestFaults::skipsCatchUp, "liveness", 3},
        InjectedFault{"trustedArrivals", &ConfigurationTestFaults::usesArrivalTimes, "stale", 3, 1}),
    [](const auto &variant) { return variant.param.name; });

/// As InjectedFault, for the journal.
struct InjectedJournalFault
{
    std::string name;
    bool JournalTestFaults::*fault = nullptr;
    std::string invariant;
    std::uint64_t seed = 1;
};

std::ostream &operator<<(std::ostream &os, const InjectedJournalFault &variant)
{
    return os << variant.name;
}

class JournalFaultDetectionTest : public testing::TestWithParam<InjectedJournalFault>
{
};

// Guards against power losses that are too weak to show a fault of the journal.
TEST_P(JournalFaultDetectionTest, isDetected)
{
    constexpr std::uint64_t steps = 60'000;
    JournalTestFaults faults;
    faults.*GetParam().fault = true;
    const auto result = fuzzConfiguration(GetParam().seed, steps, {}, false, 2, faults);
    EXPECT_FALSE(result.hasPassed);
    EXPECT_NE(result.failure.find(GetParam().invariant), std::string::npos) << result.failure;
}

INSTANTIATE_TEST_SUITE_P(
    Mechanisms, JournalFaultDetectionTest,
    testing::Values(InjectedJournalFault{"rejectedGap", &JournalTestFaults::rejectsGaps, "liveness", 1},
                    InjectedJournalFault{"keptGap", &JournalTestFaults::keepsGaps, "journal", 1},
                    InjectedJournalFault{"trustedRecords", &JournalTestFaults::trustsFoundRecords, "revert",
                                         1}),
    [](const auto &variant) { return variant.param.name; });
