#include "fleet/lastingfaultreport.h"

#include <gtest/gtest.h>

using namespace Citronpitch;

// Guards against reports of ordinary elections, and against silence or a flood while no leader is elected.
TEST(LastingFaultReportTest, onlyALastingFaultIsReportedAtIntervals)
{
    LastingFaultReport report(std::chrono::seconds(3));
    const auto start = timePointOf(1'000'000);
    int reports = 0;
    std::optional<Duration> last;
    for (auto now = start; now < start + std::chrono::seconds(25); now += std::chrono::milliseconds(10)) {
        if (const auto missing = report.observe(now, now != start + std::chrono::seconds(2))) {
            ++reports;
            last = missing;
        }
        EXPECT_FALSE(report.takeEnded(now));
    }
    EXPECT_EQ(reports, 2);
    EXPECT_GE(*last, std::chrono::seconds(13));
    const auto end = start + std::chrono::seconds(60);
    EXPECT_FALSE(report.observe(end, false));
    EXPECT_GE(report.takeEnded(end), std::chrono::seconds(55));
    EXPECT_FALSE(report.takeEnded(end));
}
