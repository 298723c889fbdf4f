#include "support/fleetharness.h"

#include <gtest/gtest.h>

#include <cstdlib>

namespace Citronpitch {
namespace {

constexpr int domains = 3;
constexpr int seeds = 20;

/// Reads a number that selects more seeds, or a trace, by hand.
int environment(const char *name, int usual)
{
    const auto *text = std::getenv(name);
    return text == nullptr ? usual : std::atoi(text);
}

} // namespace

TEST(FleetTest, noTaskRunsTwiceAtATimeWhenCallersSubmitAgain)
{
    const int first = environment("FLEET_SEED", 1);
    const int n = environment("FLEET_SEEDS", seeds);
    unsigned strays = 0;
    std::size_t started = 0;
    for (int seed = first; seed < first + n; ++seed) {
        FleetHarness harness(static_cast<std::uint64_t>(seed), domains);
        harness.isTraced = environment("FLEET_TRACE", 0) != 0;
        harness.advanceWithFaults(std::chrono::seconds(10));
        harness.advance(std::chrono::seconds(8));
        EXPECT_TRUE(harness.concurrentRuns.empty())
            << "seed " << seed << ": " << harness.concurrentRuns.front();
        const auto refused = harness.refusedButStarted();
        EXPECT_TRUE(refused.empty()) << "seed " << seed << ": refused " << refused.front();
        strays += harness.strayRuns;
        started += harness.starts.size();
    }
    std::printf("%d seeds, %zu tasks started, %u ms with late starts on incarnations that were not reached\n",
                n, started, strays);
    EXPECT_GT(started, 0U);
}

// The lease of a run counts from when its entry VM was heard, not from when the holder notices its silence.
TEST(FleetTest, runOfAnUnreachableEntryVmEndsBeforeItsCallersRetryAfterAPauseOfItsHolder)
{
    using std::chrono::milliseconds;
    for (int pause = 50; pause <= 600; pause += 50) {
        FleetHarness harness(1, 2, milliseconds(1600));
        harness.isTraced = environment("FLEET_TRACE", 0) != 0;
        harness.submit("job", 1, std::chrono::seconds(3), "e0");
        harness.advance(milliseconds(100));
        for (const auto *vm : {"c0", "b0", "c1", "b1"})
            harness.cutBothWays("e0", vm, std::chrono::seconds(3));
        harness.resetConnections("e0");
        harness.faults.lostStops = 1000;
        harness.advance(milliseconds(400));
        harness.pause("c0", milliseconds(pause));
        harness.advance(std::chrono::seconds(3));
        EXPECT_TRUE(harness.concurrentRuns.empty()) << "pause of " << pause << " ms";
        EXPECT_EQ(harness.starts["job.0"], 2U);
    }
}

} // namespace Citronpitch
