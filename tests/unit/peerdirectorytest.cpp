#include "citronpitch/peerdirectory.h"

#include <gtest/gtest.h>

#include <functional>

using namespace Citronpitch;

namespace {

constexpr TimePoint start{std::chrono::seconds(1000)};
constexpr auto second = std::chrono::seconds(1);

PeerDirectory directoryOf(VmRole role)
{
    return PeerDirectory({{"self:1", role, "a", 1}, {"seed:1"}});
}

/// Delivers a heartbeat of @p name that acknowledges this VM's newest message.
void receive(PeerDirectory &directory, TimePoint now, const std::string &name, VmRole role,
             std::uint64_t incarnation = 1, const std::vector<FleetPeer> &controlVms = {})
{
    if (directory.messageReceived(now, name, incarnation, 1, now))
        directory.heartbeatReceived(now, {name, role, "b", incarnation}, false, controlVms);
}

} // namespace

TEST(PeerDirectoryTest, controlVmsAreDiscoveredThroughASeed)
{
    auto directory = directoryOf(VmRole::Entry);
    EXPECT_EQ(directory.heartbeatTargets(), std::vector<std::string>{"seed:1"});
    receive(directory, start, "seed:1", VmRole::Control, 1, {{"other:1", VmRole::Control, "c", 1}});
    EXPECT_EQ(directory.heartbeatTargets(), (std::vector<std::string>{"other:1", "seed:1"}));
}

TEST(PeerDirectoryTest, entryVmsKeepNoLinksWithEachOther)
{
    auto directory = directoryOf(VmRole::Entry);
    receive(directory, start, "entry:1", VmRole::Entry);
    EXPECT_EQ(directory.heartbeatTargets(), std::vector<std::string>{"seed:1"});
}

// Guards against entry VMs that don't answer the heartbeats of a VM which routes jobs to them, and against
// links that stay after they are no longer wanted.
TEST(PeerDirectoryTest, entryVmsKeepLinksWithHoldersAndSubscribers)
{
    auto directory = directoryOf(VmRole::Entry);
    EXPECT_TRUE(directory.setSubscriptions({"holder:1", "self:1"}));
    EXPECT_FALSE(directory.setSubscriptions({"holder:1"}));
    receive(directory, start, "holder:1", VmRole::Entry);
    ASSERT_TRUE(directory.messageReceived(start, "reader:1", 1, 1, start));
    directory.heartbeatReceived(start, {"reader:1", VmRole::Entry, "b", 1}, false, {}, true);
    EXPECT_EQ(directory.heartbeatTargets(), (std::vector<std::string>{"holder:1", "reader:1", "seed:1"}));
    EXPECT_FALSE(directory.isSubscribedTo("reader:1"));
    directory.setSubscriptions({});
    receive(directory, start + second, "reader:1", VmRole::Entry);
    EXPECT_EQ(directory.heartbeatTargets(), std::vector<std::string>{"seed:1"});
}

// A holder that had been paused for longer than it remembers VMs took jobs that had waited as long for new
// ones.
TEST(PeerDirectoryTest, delayOfMessagesReadAfterALongPauseIsUnknown)
{
    auto directory = directoryOf(VmRole::Control);
    receive(directory, start, "entry:1", VmRole::Entry);
    EXPECT_EQ(directory.messageDelay("entry:1"), Duration());
    const auto resumed = start + 61 * second;
    directory.tick(resumed);
    ASSERT_TRUE(directory.messageReceived(resumed, "entry:1", 1, 2, start));
    EXPECT_EQ(directory.messageDelay("entry:1"), std::nullopt);
    receive(directory, resumed, "entry:1", VmRole::Entry);
    EXPECT_TRUE(directory.messageDelay("entry:1").has_value());
}

/// With a link that fails in one direction, a VM receives messages but can't send any. The peer must not
/// count as reachable then.
TEST(PeerDirectoryTest, vmIsReachableOnlyWithTwoWayTraffic)
{
    auto directory = directoryOf(VmRole::Control);
    ASSERT_TRUE(directory.messageReceived(start, "x:1", 1, 1, TimePoint()));
    directory.heartbeatReceived(start, {"x:1", VmRole::Control, "b", 1}, false, {});
    EXPECT_FALSE(directory.isAlive("x:1"));
    receive(directory, start, "x:1", VmRole::Control);
    EXPECT_TRUE(directory.isAlive("x:1"));
}

/// After a suspension, a VM reads messages that arrived long ago. Only the times that they echo show their
/// age.
TEST(PeerDirectoryTest, messagesDelayedByASuspensionDoNotMakeAVmReachable)
{
    auto directory = directoryOf(VmRole::Control);
    receive(directory, start, "x:1", VmRole::Control);
    const auto afterSuspension = start + 5 * second;
    ASSERT_TRUE(directory.messageReceived(afterSuspension, "x:1", 1, 2, start));
    EXPECT_FALSE(directory.isAlive("x:1"));
}

TEST(PeerDirectoryTest, unresponsiveVmIsUnreachableAndItsReturnIsReported)
{
    auto directory = directoryOf(VmRole::Control);
    receive(directory, start, "x:1", VmRole::Control);
    directory.takeChanges();
    directory.tick(start + second);
    auto changes = directory.takeChanges();
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_FALSE(changes[0].isAlive);
    receive(directory, start + second, "x:1", VmRole::Control);
    changes = directory.takeChanges();
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_TRUE(changes[0].isAlive);
}

TEST(PeerDirectoryTest, newIncarnationReplacesThePreviousOne)
{
    auto directory = directoryOf(VmRole::Control);
    receive(directory, start, "x:1", VmRole::Control, 5);
    directory.takeChanges();
    receive(directory, start, "x:1", VmRole::Control, 6);
    const auto changes = directory.takeChanges();
    ASSERT_EQ(changes.size(), 2U);
    EXPECT_EQ(changes[0].peer.incarnation, 5U);
    EXPECT_FALSE(changes[0].isAlive);
    EXPECT_EQ(changes[1].peer.incarnation, 6U);
}

TEST(PeerDirectoryTest, messageOfAPreviousIncarnationIsDropped)
{
    auto directory = directoryOf(VmRole::Control);
    receive(directory, start, "x:1", VmRole::Control, 6);
    EXPECT_FALSE(directory.messageReceived(start, "x:1", 5, 1, start));
}

/// An incarnation is a start time, so a VM whose clock stepped back restarts with a lower one. It must not be
/// ignored forever.
TEST(PeerDirectoryTest, lowerIncarnationIsAcceptedOnceThePreviousOneIsUnreachable)
{
    auto directory = directoryOf(VmRole::Control);
    receive(directory, start, "x:1", VmRole::Control, 6);
    directory.tick(start + second);
    receive(directory, start + second, "x:1", VmRole::Control, 5);
    EXPECT_TRUE(directory.isAlive("x:1"));
}

TEST(PeerDirectoryTest, closedLinkShortensTheSuspicionTimeout)
{
    auto directory = directoryOf(VmRole::Control);
    receive(directory, start, "x:1", VmRole::Control);
    directory.linkClosed(start, "x:1");
    directory.tick(start + std::chrono::milliseconds(250));
    EXPECT_FALSE(directory.isAlive("x:1"));
}

/// In a large fleet the list of control VMs would be most of each heartbeat. It is repeated once a second for
/// VMs that missed a heartbeat, and at once for those that need it.
TEST(PeerDirectoryTest, controlVmsAreListedOnceASecondAndWhenTheyChange)
{
    auto directory = directoryOf(VmRole::Control);
    const std::vector<FleetPeer> one{{"self:1", VmRole::Control, "a", 1}};
    EXPECT_TRUE(directory.takeListing(start, "x:1", one)) << "never heard of";
    receive(directory, start, "x:1", VmRole::Entry);
    EXPECT_TRUE(directory.takeListing(start, "x:1", one));
    EXPECT_FALSE(directory.takeListing(start + second / 2, "x:1", one));
    EXPECT_TRUE(directory.takeListing(start + second, "x:1", one));
    auto two = one;
    two.push_back({"other:1", VmRole::Control, "b", 1});
    EXPECT_TRUE(directory.takeListing(start + second, "x:1", two));
    EXPECT_FALSE(directory.takeListing(start + second, "x:1", two));
    receive(directory, start + second, "x:1", VmRole::Entry, 2);
    EXPECT_TRUE(directory.takeListing(start + second, "x:1", two)) << "restarted";
}

// Heartbeats between 280 entry VMs and 6 control VMs took much of their processor time. A VM must still be
// heard several times within the suspicion timeout.
TEST(PeerDirectoryTest, heartbeatsAreLessFrequentWithManyPeers)
{
    auto directory = directoryOf(VmRole::Control);
    EXPECT_EQ(directory.heartbeatInterval(), std::chrono::milliseconds(100));
    for (int i = 0; i < 63; ++i)
        receive(directory, start, "entry:" + std::to_string(i), VmRole::Entry);
    EXPECT_EQ(directory.heartbeatInterval(), std::chrono::milliseconds(100));
    receive(directory, start, "entry:63", VmRole::Entry);
    EXPECT_EQ(directory.heartbeatInterval(), std::chrono::milliseconds(200));
    EXPECT_LE(3 * directory.heartbeatInterval(), defaultSuspicionTimeout);
}

// Links were compared with all VMs for each heartbeat. They need it only when the VMs change, but then
// always.
TEST(PeerDirectoryTest, versionChangesWithTheVms)
{
    auto directory = directoryOf(VmRole::Control);
    const auto changesVersion = [&](const std::function<void()> &event) {
        const auto before = directory.version();
        event();
        return directory.version() != before;
    };
    const std::vector<FleetPeer> listed{{"other:1", VmRole::Control, "c", 1}};
    EXPECT_TRUE(changesVersion([&] { receive(directory, start, "entry:1", VmRole::Entry); }));
    EXPECT_FALSE(changesVersion([&] { receive(directory, start + second, "entry:1", VmRole::Entry); }));
    EXPECT_TRUE(changesVersion([&] { receive(directory, start, "entry:1", VmRole::Control); }));
    EXPECT_TRUE(changesVersion([&] { receive(directory, start, "entry:1", VmRole::Control, 1, listed); }));
    EXPECT_FALSE(changesVersion([&] { receive(directory, start, "entry:1", VmRole::Control, 1, listed); }));
    EXPECT_TRUE(changesVersion([&] { directory.tick(start + 100 * second); }));
}
