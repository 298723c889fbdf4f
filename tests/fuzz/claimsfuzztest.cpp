#include "fuzz/claimsmodel.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <ostream>

using namespace Citronpitch;

namespace {

/// A breach of one promise, and a pattern of what the fuzzer says of it.
struct InjectedFault
{
    const char *name;
    bool FaultInjection::*fault;
    const char *text;
};

std::ostream &operator<<(std::ostream &os, const InjectedFault &broken)
{
    return os << broken.name;
}

/// What the oracle says first where work under a key runs again, by what else had been said of the key.
constexpr const char *rerunPattern =
    "start number 2|started after it was reported|two bodies started|refused as not run"
    "|two different final answers";

constexpr std::uint64_t stepsPerSeed = 20'000;

class ClaimsFuzzTest : public testing::TestWithParam<std::uint64_t>
{
};

class FaultyClaimsTest : public testing::TestWithParam<InjectedFault>
{
};

} // namespace

TEST_P(ClaimsFuzzTest, holdsEveryInvariant)
{
    const auto report = fuzzClaims({GetParam(), stepsPerSeed, {}, true});
    EXPECT_TRUE(report.hasPassed) << report.text;
}

INSTANTIATE_TEST_SUITE_P(Seeds, ClaimsFuzzTest, testing::Values(1, 2, 3, 4));

TEST_P(FaultyClaimsTest, isFound)
{
    FaultInjection faults;
    faults.*GetParam().fault = true;
    const auto report = fuzzClaims({1, 10 * stepsPerSeed, faults, false});
    EXPECT_FALSE(report.hasPassed);
    EXPECT_THAT(report.text, testing::ContainsRegex(GetParam().text));
}

INSTANTIATE_TEST_SUITE_P(
    Faults, FaultyClaimsTest,
    testing::Values(
        InjectedFault{"ForgetsAnsweredKeys", &FaultInjection::rerunsAnsweredKeys, rerunPattern},
        InjectedFault{"RaisesNoFloors", &FaultInjection::omitsRecoveryFloors, rerunPattern},
        InjectedFault{"IgnoresStartIntents", &FaultInjection::ignoresStartIntents, rerunPattern},
        InjectedFault{"StartsBeforeSync", &FaultInjection::startsBeforeSync, rerunPattern},
        InjectedFault{"RetriesBrokenAttempts", &FaultInjection::retriesBrokenAttempts, rerunPattern},
        InjectedFault{"AnswersPartially", &FaultInjection::answersPartially, "complete answer"},
        InjectedFault{"ReversesResults", &FaultInjection::reversesResults, "complete answer"},
        InjectedFault{"MixesUpAnswers", &FaultInjection::misroutesAnswers, "answer"},
        InjectedFault{"RefusesUnreachable", &FaultInjection::refusesWhenHomeUnreachable, "refused"},
        InjectedFault{"ReportsInFlightAsNotRun", &FaultInjection::reportsInFlightAsNotRun, "not run"},
        InjectedFault{"ForgetsRefusals", &FaultInjection::dropsCachedRefusals,
                      "submission of it was refused|refused as not run"},
        InjectedFault{"IgnoresDeadlines", &FaultInjection::ignoresDeadlines,
                      "never answered|still has work"}),
    [](const auto &info) { return info.param.name; });
