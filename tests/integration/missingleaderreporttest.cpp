#include "fleet/missingleaderreport.h"

#include <gtest/gtest.h>

using namespace Citronpitch;

// Guards against reports of ordinary elections, and against silence or a flood while no leader is elected.
TEST(MissingLeaderReportTest, onlyALastingLackIsReportedAtIntervals)
{
    MissingLeaderReport report;
    const auto start = timePointOf(1'000'000);
    int reports = 0;
    std::optional<Duration> last;
    for (auto now = start; now < start + std::chrono::seconds(25); now += std::chrono::milliseconds(10)) {
        if (const auto missing = report.observe(now, now == start + std::chrono::seconds(2))) {
            ++reports;
            last = missing;
        }
    }
    EXPECT_EQ(reports, 2);
    EXPECT_GE(*last, std::chrono::seconds(13));
    EXPECT_FALSE(report.observe(start + std::chrono::seconds(60), true));
}
