#include "core/dispatch/servicetimemodel.h"

#include <gtest/gtest.h>

using namespace Citronpitch;
using namespace std::chrono_literals;

namespace {

const TimePoint start = timePointOf(1'700'000'000'000'000);

double ratio(Duration left, Duration right)
{
    return static_cast<double>(left.count()) / static_cast<double>(right.count());
}

} // namespace

TEST(ServiceTimeModelTest, declaredTimeIsAPrior)
{
    ServiceTimeModel times;
    EXPECT_NEAR(ratio(times.expected(0, 1s), 1s), 1, 0.01);
    for (int i = 0; i < 4; ++i)
        times.recordSuccess(start, 0, 0, 1s, 100ms);
    EXPECT_NEAR(ratio(times.expected(0, 1s), 100ms), 1, 0.2);
}

TEST(ServiceTimeModelTest, usesDeclaredTimesThatPredict)
{
    ServiceTimeModel times;
    for (int i = 0; i < 20; ++i) {
        const auto declared = std::chrono::milliseconds(50 << (i % 5));
        times.recordSuccess(start, 0, 0, declared, declared * 3);
    }
    EXPECT_NEAR(ratio(times.expected(0, 50ms), 150ms), 1, 0.2);
    EXPECT_NEAR(ratio(times.expected(0, 800ms), 2400ms), 1, 0.2);
}

TEST(ServiceTimeModelTest, detectsASlowUpstreamFromFewSamples)
{
    ServiceTimeModel times;
    for (int i = 0; i < 10; ++i)
        times.recordSuccess(start, 0, 0, {}, 100ms);
    for (int i = 0; i < 3; ++i)
        times.recordSuccess(start, 0, 1, {}, 400ms);
    EXPECT_GT(ratio(times.expected(start, 0, 1, {}), times.expected(start, 0, 0, {})), 2.5);
}

TEST(ServiceTimeModelTest, upstreamSpeedAppliesToOtherClasses)
{
    ServiceTimeModel times;
    for (int i = 0; i < 20; ++i) {
        times.recordSuccess(start, 0, 0, {}, 100ms);
        times.recordSuccess(start, 0, 1, {}, 400ms);
        times.recordSuccess(start, 1, 0, {}, 1s);
    }
    EXPECT_GT(ratio(times.expected(start, 1, 1, {}), times.expected(start, 1, 0, {})), 1.8);
}

TEST(ServiceTimeModelTest, speedOfAnUnusedUpstreamDecays)
{
    ServiceTimeModel times;
    for (int i = 0; i < 10; ++i) {
        times.recordSuccess(start, 0, 0, {}, 100ms);
        times.recordSuccess(start, 0, 1, {}, 800ms);
    }
    const auto fresh = times.expected(start, 0, 1, {});
    EXPECT_LT(times.expected(start + 5min, 0, 1, {}), fresh);
}

TEST(ServiceTimeModelTest, taskOnAFourTimesSlowerUpstreamIsNotStuck)
{
    ServiceTimeModel times;
    for (int i = 0; i < 20; ++i)
        times.recordSuccess(start, 0, 0, {}, 2s);
    EXPECT_GT(times.stuckTimeout(start, 0, 1, {}), 10s);
    EXPECT_LT(times.stuckTimeout(start, 0, 1, {}), 60s);
}

TEST(ServiceTimeModelTest, upstreamWithoutSuccessesHasMeanSpeed)
{
    ServiceTimeModel times;
    times.recordSuccess(start, 0, 0, {}, 100ms);
    EXPECT_EQ(times.expected(start, 0, 7, {}), times.expected(0, {}));
}
