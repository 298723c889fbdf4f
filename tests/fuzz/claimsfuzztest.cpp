#include "fuzz/claimsmodel.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <ostream>

using namespace Citronpitch;

namespace {

/// A breach of one promise, and a pattern of what the fuzzer says of it.
struct Broken
{
    const char *name;
    bool TestFaults::*fault;
    const char *text;
};

std::ostream &operator<<(std::ostream &os, const Broken &broken)
{
    return os << broken.name;
}

/// What the oracle says first where work under a key runs again, by what else had been said of the key.
constexpr const char *runsAgain =
    "start number 2|started after it was reported|two bodies started|refused as not run"
    "|two different final answers";

constexpr std::uint64_t stepsPerSeed = 20'000;

class ClaimsFuzzTest : public testing::TestWithParam<std::uint64_t>
{
};

class BrokenClaimsTest : public testing::TestWithParam<Broken>
{
};

} // namespace

TEST_P(ClaimsFuzzTest, keepsEveryPromise)
{
    const auto report = fuzzClaims({GetParam(), stepsPerSeed, {}, true});
    EXPECT_TRUE(report.hasPassed) << report.text;
}

INSTANTIATE_TEST_SUITE_P(Seeds, ClaimsFuzzTest, testing::Values(1, 2, 3, 4));

TEST_P(BrokenClaimsTest, isFound)
{
    TestFaults faults;
    faults.*GetParam().fault = true;
    const auto report = fuzzClaims({1, 10 * stepsPerSeed, faults, false});
    EXPECT_FALSE(report.hasPassed);
    EXPECT_THAT(report.text, testing::ContainsRegex(GetParam().text));
}

INSTANTIATE_TEST_SUITE_P(
    Faults, BrokenClaimsTest,
    testing::Values(Broken{"ForgetsAnsweredKeys", &TestFaults::forgetsAnsweredKeys, runsAgain},
                    Broken{"RaisesNoFloors", &TestFaults::raisesNoFloors, runsAgain},
                    Broken{"IgnoresStartIntents", &TestFaults::ignoresStartIntents, runsAgain},
                    Broken{"StartsBeforeSync", &TestFaults::startsBeforeSync, runsAgain},
                    Broken{"RetriesBrokenAttempts", &TestFaults::retriesBrokenAttempts, runsAgain},
                    Broken{"AnswersPartially", &TestFaults::answersPartially, "complete answer"},
                    Broken{"ReversesResults", &TestFaults::reversesResults, "complete answer"},
                    Broken{"MixesUpAnswers", &TestFaults::mixesUpAnswers, "answer"},
                    Broken{"RefusesUnreachable", &TestFaults::refusesUnreachable, "refused"},
                    Broken{"ReportsInFlightAsNotRun", &TestFaults::reportsInFlightAsNotRun, "not run"},
                    Broken{"ForgetsRefusals", &TestFaults::forgetsRefusals,
                           "submission of it was refused|refused as not run"},
                    Broken{"IgnoresDeadlines", &TestFaults::ignoresDeadlines,
                           "never answered|still has work"}),
    [](const auto &info) { return info.param.name; });
