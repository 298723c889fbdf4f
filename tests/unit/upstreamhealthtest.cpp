#include "core/dispatch/upstreamhealth.h"

#include <gtest/gtest.h>

using namespace Citronpitch;
using namespace std::chrono_literals;

namespace {

const TimePoint start = timePointOf(1'700'000'000'000'000);
constexpr ClassIndex someClass = 0;
constexpr ClassIndex otherClass = 1;

} // namespace

class UpstreamHealthTest : public testing::Test
{
protected:
    UpstreamHealthTest()
    {
        for (UpstreamIndex it = 0; it < upstreams; ++it)
            health.add(it);
    }

    void everyoneSucceeds(ClassIndex of)
    {
        for (UpstreamIndex it = 0; it < upstreams; ++it)
            health.observe(start, it, of, HealthSign::Succeeded);
    }

    /// Failures of @p sign on upstream 0 until it is ejected.
    int failuresUntilEjected(HealthSign sign)
    {
        for (int n = 1; n <= 100; ++n) {
            health.observe(start, 0, someClass, sign);
            if (health.state(0) == UpstreamState::Ejected)
                return n;
        }
        return 0;
    }

    static constexpr UpstreamIndex upstreams = 12;
    UpstreamHealth health;
};

TEST_F(UpstreamHealthTest, oneThatFailsEverythingIsFoundWithinAFewTasks)
{
    for (const auto sign : {HealthSign::TaskFailed, HealthSign::ConnectionFailed, HealthSign::Stuck}) {
        health.add(0);
        everyoneSucceeds(someClass);
        const auto n = failuresUntilEjected(sign);
        EXPECT_GE(n, 2);
        EXPECT_LE(n, 5);
    }
}

TEST_F(UpstreamHealthTest, oneThatFailsFromTheStartIsFoundBeforeOthersHaveShownAnything)
{
    const auto n = failuresUntilEjected(HealthSign::TaskFailed);
    EXPECT_GE(n, 2);
    EXPECT_LE(n, 5);
}

TEST_F(UpstreamHealthTest, anEjectedOneComesBackWhenAllOthersFailAsWell)
{
    failuresUntilEjected(HealthSign::TaskFailed);
    for (UpstreamIndex it = 1; it < upstreams; ++it)
        health.observe(start, it, someClass, HealthSign::TaskFailed);
    const auto now = health.backoffUntil(0);
    health.passTime(now, 0);
    health.observe(now, 0, someClass, HealthSign::TaskFailed);
    health.observe(now, 0, someClass, HealthSign::TaskFailed);
    EXPECT_EQ(health.state(0), UpstreamState::Serving);
}

TEST_F(UpstreamHealthTest, aFailureNowAndThenIsNoReason)
{
    for (int i = 0; i < 200; ++i) {
        everyoneSucceeds(someClass);
        health.observe(start, 0, someClass, HealthSign::TaskFailed);
        everyoneSucceeds(someClass);
        everyoneSucceeds(someClass);
    }
    EXPECT_EQ(health.state(0), UpstreamState::Serving);
}

TEST_F(UpstreamHealthTest, aClassThatFailsEverywhereBlamesNoUpstream)
{
    everyoneSucceeds(otherClass);
    for (int i = 0; i < 50; ++i) {
        for (UpstreamIndex it = 0; it < upstreams; ++it)
            health.observe(start, it, someClass, HealthSign::TaskFailed);
    }
    int ejected = 0;
    for (UpstreamIndex it = 0; it < upstreams; ++it)
        ejected += health.state(it) == UpstreamState::Serving ? 0 : 1;
    EXPECT_EQ(ejected, 0);
}

TEST_F(UpstreamHealthTest, aWaveOfBrokenConnectionsEjectsAtMostHalf)
{
    everyoneSucceeds(someClass);
    for (UpstreamIndex it = 0; it < upstreams; ++it) {
        for (int i = 0; i < 10; ++i)
            health.observe(start, it, someClass, HealthSign::ConnectionFailed);
    }
    UpstreamIndex ejected = 0;
    for (UpstreamIndex it = 0; it < upstreams; ++it)
        ejected += health.state(it) == UpstreamState::Serving ? 0 : 1;
    EXPECT_LE(ejected, upstreams / 2);
}

TEST_F(UpstreamHealthTest, getsOnlyATrickleAndComesBackByItself)
{
    everyoneSucceeds(someClass);
    failuresUntilEjected(HealthSign::TaskFailed);
    EXPECT_EQ(health.taskLimit(0), 0U);
    auto now = start;
    int trials = 0;
    while (now < start + 60s) {
        now = health.backoffUntil(0);
        ASSERT_TRUE(health.passTime(now, 0));
        EXPECT_EQ(health.taskLimit(0), 1U);
        health.observe(now, 0, someClass, HealthSign::TaskFailed);
        ++trials;
    }
    EXPECT_LE(trials, 8);
    now = health.backoffUntil(0);
    health.passTime(now, 0);
    health.observe(now, 0, someClass, HealthSign::Succeeded);
    health.observe(now, 0, someClass, HealthSign::Succeeded);
    EXPECT_EQ(health.state(0), UpstreamState::Serving);
}

TEST_F(UpstreamHealthTest, aNewIncarnationStartsAfresh)
{
    everyoneSucceeds(someClass);
    failuresUntilEjected(HealthSign::TaskFailed);
    health.add(0);
    EXPECT_EQ(health.state(0), UpstreamState::Serving);
    EXPECT_GE(failuresUntilEjected(HealthSign::TaskFailed), 2);
}
