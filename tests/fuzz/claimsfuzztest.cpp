#include "fuzz/claimsmodel.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <ostream>

using namespace Citronpitch;

namespace {

/// An injected fault and a pattern for the violation that the fuzzer must report.
struct InjectedFault
{
    const char *name;
    bool FaultInjection::*fault;
    const char *text;
};

std::ostream &operator<<(std::ostream &os, const InjectedFault &fault)
{
    return os << fault.name;
}

/// First violation reported when a job runs a second time; which one depends on the earlier answers for its
/// key.
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

// Guards against violations of any invariant that Oracle checks, under random faults.
TEST_P(ClaimsFuzzTest, holdsEveryInvariant)
{
    const auto report = fuzzClaims({GetParam(), stepsPerSeed, {}, true});
    EXPECT_TRUE(report.hasPassed) << report.text;
}

INSTANTIATE_TEST_SUITE_P(Seeds, ClaimsFuzzTest, testing::Values(1, 2, 3, 4));

// Guards against a fuzzer that no longer detects violations: each injected fault must be reported.
TEST_P(FaultyClaimsTest, isDetected)
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
        InjectedFault{"RerunsAnsweredKeys", &FaultInjection::rerunsAnsweredKeys, rerunPattern},
        InjectedFault{"OmitsRecoveryCutoffs", &FaultInjection::omitsRecoveryCutoffs, rerunPattern},
        InjectedFault{"IgnoresStartIntents", &FaultInjection::ignoresStartIntents, rerunPattern},
        InjectedFault{"StartsBeforeSync", &FaultInjection::startsBeforeSync, rerunPattern},
        InjectedFault{"RetriesUnresolvedAttempts", &FaultInjection::retriesUnresolvedAttempts, rerunPattern},
        InjectedFault{"AnswersPartially", &FaultInjection::answersPartially, "complete answer"},
        InjectedFault{"ReversesResults", &FaultInjection::reversesResults, "complete answer"},
        InjectedFault{"MisroutesAnswers", &FaultInjection::misroutesAnswers, "answer"},
        InjectedFault{"RefusesWhenHomeUnreachable", &FaultInjection::refusesWhenHomeUnreachable, "refused"},
        InjectedFault{"ReportsInFlightAsNotRun", &FaultInjection::reportsInFlightAsNotRun, "not run"},
        InjectedFault{"DropsCachedRefusals", &FaultInjection::dropsCachedRefusals,
                      "submission of it was refused|refused as not run"},
        InjectedFault{"IgnoresDeadlines", &FaultInjection::ignoresDeadlines,
                      "never answered|still has work"}),
    [](const auto &info) { return info.param.name; });
