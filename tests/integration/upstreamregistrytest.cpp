#include "fleet/upstreamregistry.h"

#include <gtest/gtest.h>

using namespace Citronpitch;

namespace {

constexpr auto retention = std::chrono::seconds(30);
constexpr TimePoint start{std::chrono::seconds(1000)};

/// A registry that knows upstream "u0" of incarnation 7 with sequence number 5.
class UpstreamRegistryTest : public testing::Test
{
protected:
    UpstreamRegistryTest()
    {
        announcement.upstream.name = "u0";
        announcement.upstream.incarnation = 7;
        announcement.sequence = 5;
        registry.update(announcement, start);
    }

    const RegisteredUpstream &known() const
    {
        return registry.upstreams().at("u0");
    }

    FleetAnnouncement announcement;
    UpstreamRegistry registry{retention};
};

} // namespace

TEST_F(UpstreamRegistryTest, renewalKeepsTheUpstream)
{
    EXPECT_TRUE(registry.renew({"u0", 7, 6, 1500}, start + retention));
    registry.expire(start + retention + std::chrono::seconds(1));
    ASSERT_TRUE(registry.upstreams().contains("u0"));
    EXPECT_EQ(known().announcement.sequence, 6U);
    EXPECT_EQ(known().announcement.clockMs, 1500);
}

// The caller has to ask for the whole announcement then.
TEST_F(UpstreamRegistryTest, renewalOfAnUnknownIncarnationIsReported)
{
    EXPECT_FALSE(registry.renew({"u0", 8, 1, 0}, start));
    EXPECT_FALSE(registry.renew({"u1", 7, 6, 0}, start));
    EXPECT_FALSE(registry.upstreams().contains("u1"));
}

TEST_F(UpstreamRegistryTest, delayedRenewalHasNoEffect)
{
    EXPECT_TRUE(registry.renew({"u0", 7, 4, 900}, start + std::chrono::seconds(1)));
    EXPECT_EQ(known().announcement.sequence, 5U);
    EXPECT_EQ(known().arrivedAt, start);
}

// A renewal that was delayed must not bring back an upstream that is leaving or has left.
TEST_F(UpstreamRegistryTest, leavingUpstreamIsNotRenewed)
{
    announcement.sequence = 6;
    announcement.upstream.leaving = true;
    registry.update(announcement, start);
    EXPECT_TRUE(registry.renew({"u0", 7, 7, 0}, start + std::chrono::seconds(1)));
    EXPECT_EQ(known().announcement.sequence, 6U);
    EXPECT_TRUE(known().announcement.upstream.leaving);
}

// News in the same incarnation, such as other labels, that did not arrive must not be renewed away.
TEST_F(UpstreamRegistryTest, renewalOfNewsThatDidNotArriveIsReported)
{
    auto relabelled = announcement;
    relabelled.upstream.labels = {"b"};
    EXPECT_FALSE(relabelled.isRenewalOf(announcement));
    EXPECT_FALSE(registry.renew({"u0", 7, 6, 0, relabelled.digest()}, start + retention));
    EXPECT_EQ(known().arrivedAt, start);
    EXPECT_TRUE(registry.renew({"u0", 7, 6, 0, announcement.digest()}, start + retention));
    relabelled.sequence = 7;
    registry.update(relabelled, start + retention);
    // Of a VM that has not heard of the news yet.
    EXPECT_TRUE(registry.renew({"u0", 7, 6, 0, announcement.digest()}, start + retention));
    EXPECT_EQ(known().announcement.upstream.labels, std::vector<std::string>{"b"});
}
