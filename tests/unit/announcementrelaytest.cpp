#include "citronpitch/announcementrelay.h"

#include <gtest/gtest.h>

using namespace Citronpitch;

namespace {

constexpr auto interval = std::chrono::milliseconds(200);
constexpr TimePoint start{std::chrono::seconds(1000)};

FleetAnnouncement announcementOf(const std::string &name, std::uint64_t sequence)
{
    FleetAnnouncement announcement;
    announcement.upstream.name = name;
    announcement.upstream.address = "10.0.0.1";
    announcement.upstream.incarnation = 7;
    announcement.sequence = sequence;
    return announcement;
}

} // namespace

TEST(AnnouncementRelayTest, renewalsOfManyUpstreamsLeaveTogether)
{
    AnnouncementRelay relay(interval);
    relay.add({announcementOf("u0", 1), start, false});
    ASSERT_EQ(relay.take(start).size(), 1U);
    for (int i = 0; i < 90; ++i)
        relay.add({announcementOf("u" + std::to_string(i), 2), start, true});
    EXPECT_TRUE(relay.take(start + interval / 2).empty());
    EXPECT_EQ(relay.take(start + interval).size(), 90U);
    EXPECT_TRUE(relay.take(start + 2 * interval).empty());
}

TEST(AnnouncementRelayTest, newsDoNotWait)
{
    AnnouncementRelay relay(interval);
    relay.add({announcementOf("u0", 1), start, false});
    ASSERT_FALSE(relay.take(start).empty());
    relay.add({announcementOf("u1", 1), start, false});
    const auto due = relay.take(start);
    ASSERT_EQ(due.size(), 1U);
    EXPECT_EQ(due.front().announcement.upstream.name, "u1");
    EXPECT_FALSE(due.front().isRenewal);
}

// A renewal that replaces news which were not sent yet has to be sent whole: the others know no earlier one.
TEST(AnnouncementRelayTest, renewalOfPendingNewsIsSentWhole)
{
    AnnouncementRelay relay(interval);
    relay.add({announcementOf("u0", 1), start, false});
    relay.add({announcementOf("u0", 2), start, true});
    const auto due = relay.take(start);
    ASSERT_EQ(due.size(), 1U);
    EXPECT_EQ(due.front().announcement.sequence, 2U);
    EXPECT_FALSE(due.front().isRenewal);
}

TEST(AnnouncementRelayTest, onlyTheSequenceAndTheClockChangeInARenewal)
{
    const auto first = announcementOf("u0", 1);
    auto second = announcementOf("u0", 2);
    second.clockMs = 1500;
    EXPECT_TRUE(second.isRenewalOf(first));
    auto restarted = second;
    restarted.upstream.incarnation = 8;
    EXPECT_FALSE(restarted.isRenewalOf(first));
    auto leaving = second;
    leaving.upstream.leaving = true;
    EXPECT_FALSE(leaving.isRenewalOf(first));
    auto moved = second;
    moved.pool = "other";
    EXPECT_FALSE(moved.isRenewalOf(first));
}
