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

// Guards against a wrong declared time that still decides the estimate after a few samples.
TEST(ServiceTimeModelTest, declaredTimeIsAPrior)
{
    ServiceTimeModel times;
    EXPECT_NEAR(ratio(times.expected(0, 1s), 1s), 1, 0.01);
    for (int i = 0; i < 4; ++i)
        times.recordSuccess(start, 0, 0, 1s, 100ms);
    EXPECT_NEAR(ratio(times.expected(0, 1s), 100ms), 1, 0.2);
}

// Guards against one mean for tasks of very different declared times, if these are proportional to the
// service times.
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

// Guards against an upstream four times slower than another that is not known as slow after three samples.
TEST(ServiceTimeModelTest, detectsASlowUpstreamFromFewSamples)
{
    ServiceTimeModel times;
    for (int i = 0; i < 10; ++i)
        times.recordSuccess(start, 0, 0, {}, 100ms);
    for (int i = 0; i < 3; ++i)
        times.recordSuccess(start, 0, 1, {}, 400ms);
    EXPECT_GT(ratio(times.expected(start, 0, 1, {}), times.expected(start, 0, 0, {})), 2.5);
}

// Guards against a slow upstream that each class has to discover by itself.
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

// Guards against an upstream that was slow once and is never tried again.
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

// Guards against a slow upstream that is ejected as unhealthy because its tasks count as stuck.
TEST(ServiceTimeModelTest, taskOnAFourTimesSlowerUpstreamIsNotStuck)
{
    ServiceTimeModel times;
    for (int i = 0; i < 20; ++i)
        times.recordSuccess(start, 0, 0, {}, 2s);
    EXPECT_GT(times.stuckTimeout(start, 0, 1, {}), 10s);
    EXPECT_LT(times.stuckTimeout(start, 0, 1, {}), 60s);
}

// Guards against an unknown upstream that is preferred or avoided without any sample.
TEST(ServiceTimeModelTest, upstreamWithoutSuccessesHasMeanSpeed)
{
    ServiceTimeModel times;
    times.recordSuccess(start, 0, 0, {}, 100ms);
    EXPECT_EQ(times.expected(start, 0, 7, {}), times.expected(0, {}));
}
