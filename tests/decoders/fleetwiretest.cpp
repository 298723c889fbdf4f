#include "fleet/fleetwire.h"

#include "wire/fleet.pb.h"

#include <gtest/gtest.h>

using namespace Citronpitch;
namespace wire = citronpitch::wire::fleet;

namespace {

constexpr TimePoint now{std::chrono::seconds(1000)};

/// Sends @p message and returns what arrives.
template <typename Message> Message delivered(const Message &message)
{
    Message received;
    EXPECT_TRUE(received.ParseFromString(message.SerializeAsString()));
    return received;
}

} // namespace

TEST(FleetWireTest, constraintsOfAJobReachItsHolder)
{
    RoutedJob job;
    job.submission.key = "key";
    job.submission.deadline = now + std::chrono::seconds(1);
    job.submission.constraints = {"b", 3};
    job.submission.tasks.assign(640, {std::string(4000, 's'), {}, {}});
    wire::RunJob message;
    toWire(now, job, "group", &message);
    // The payload and the constraints are sent once.
    EXPECT_LT(message.ByteSizeLong(), 10'000U);
    const auto received = fromWire(now, delivered(message));
    ASSERT_TRUE(received);
    EXPECT_EQ(received->submission.constraints, job.submission.constraints);
    EXPECT_EQ(received->submission.tasks.back().payload, job.submission.tasks.back().payload);
}

TEST(FleetWireTest, labelsTravelInAnnouncementsAndNotInRenewals)
{
    FleetAnnouncement announcement;
    announcement.upstream.name = "u";
    announcement.upstream.port = 1;
    announcement.upstream.labels = {"b", "r1-3"};
    wire::Announcement message;
    toWire(now, now, announcement, &message);
    const auto received = fromWire(delivered(message));
    ASSERT_TRUE(received);
    EXPECT_EQ(received->upstream.labels, announcement.upstream.labels);
    EXPECT_EQ(received->digest(), announcement.digest());
    wire::Renewal renewal;
    toWire(now, now, announcement, &renewal);
    EXPECT_EQ(renewal.SerializeAsString().find("r1-3"), std::string::npos);
    EXPECT_EQ(fromWire(delivered(renewal))->digest, announcement.digest());
    auto other = announcement;
    other.upstream.labels = {"a", "r1-3"};
    EXPECT_NE(other.digest(), announcement.digest());
}

TEST(FleetWireTest, loadOfALabelReachesTheRouter)
{
    GroupLoad load{"group", 7, true, 5, 10, {}, {}};
    load.labels = {{"pool", "b", 1, 2, 3, std::chrono::milliseconds(40)}};
    load.upstreams = 4;
    wire::GroupLoad message;
    toWire(load, &message);
    const auto received = fromWire(delivered(message));
    ASSERT_EQ(received.labels.size(), 1U);
    const auto &label = received.labels[0];
    EXPECT_EQ(label.pool, "pool");
    EXPECT_EQ(label.label, "b");
    EXPECT_EQ(label.freeTasks, 1U);
    EXPECT_EQ(label.parallelTasks, 2U);
    EXPECT_EQ(label.upstreams, 3U);
    EXPECT_EQ(label.waitingWork, std::chrono::milliseconds(40));
    EXPECT_EQ(received.upstreams, 4U);
}
