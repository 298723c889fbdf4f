#include "fuzz/configurationcluster.h"

#include <gtest/gtest.h>

#include <set>

using namespace Citronpitch;

namespace {

constexpr auto settlingTime = std::chrono::seconds(3);

ClusterPlan clusterPlan(std::size_t voters, std::size_t learners)
{
    ClusterPlan plan;
    plan.voters = voters;
    plan.learners = learners;
    return plan;
}

/// Proposes @p n changes one after the other at @p vm.
void proposeChanges(ConfigurationCluster &cluster, std::size_t vm, int n)
{
    for (int i = 0; i < n; ++i) {
        cluster.propose(vm, 0);
        cluster.advance(std::chrono::milliseconds(100));
    }
}

} // namespace

// Guards against slow distribution: a VM, learners included, that still uses the old configuration two
// seconds after a change was accepted.
TEST(ConfigurationNodeTest, changesReachEveryVmWithinTwoSecondsOfAcceptance)
{
    ConfigurationCluster cluster(clusterPlan(5, 2));
    cluster.advance(settlingTime);
    ASSERT_TRUE(cluster.leader());
    cluster.propose(6, 0);
    while (cluster.counts().accepted == 0 && cluster.failure().empty())
        cluster.advance(std::chrono::milliseconds(5));
    cluster.advance(std::chrono::seconds(2));
    for (std::size_t i = 0; i < cluster.size(); ++i)
        EXPECT_EQ(cluster.node(i).activeConfiguration().version, 1U);
}

// Guards against a fleet that serves nothing for another second after a power failure, since the pre-votes
// that its VMs sent before they were connected were lost.
TEST(ConfigurationNodeTest, restartedFleetElectsALeaderSoonAfterItsVmsAreConnected)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        auto plan = clusterPlan(4, 1);
        plan.seed = seed;
        plan.firstElectionTimeout = std::chrono::milliseconds(150);
        ConfigurationCluster cluster(plan);
        cluster.advance(settlingTime);
        for (std::size_t i = 0; i < cluster.size(); ++i)
            cluster.losePower(i);
        for (std::size_t i = 0; i < cluster.size(); ++i) {
            cluster.isolate(i);
            cluster.restart(i);
        }
        cluster.advance(3 * plan.firstElectionTimeout);
        cluster.healPartitions();
        cluster.advance(4 * plan.firstElectionTimeout);
        EXPECT_TRUE(cluster.leader()) << "seed " << seed;
        EXPECT_EQ(cluster.failure(), "");
    }
}

// Guards against a resent change that is applied twice, because the retained answers were lost in a change
// of the leader, a restart or a snapshot.
TEST(ConfigurationNodeTest, resentChangeGetsItsFirstAnswerAfterLeaderChangeRestartAndSnapshot)
{
    ConfigurationCluster cluster(clusterPlan(5, 0));
    cluster.advance(settlingTime);
    proposeChanges(cluster, 0, 90);
    ASSERT_EQ(cluster.counts().accepted, 90U);
    EXPECT_GT(cluster.node(0).log().snapshotIndex(), 0U);
    cluster.kill(*cluster.leader());
    cluster.advance(settlingTime);
    cluster.settle();
    for (std::size_t i = 0; i < cluster.size(); ++i) {
        cluster.kill(i);
        cluster.restart(i);
    }
    cluster.settle();
    for (std::size_t back = 0; back < 90; ++back)
        cluster.resend(back % 5, back);
    cluster.advance(settlingTime);
    EXPECT_EQ(cluster.failure(), "");
    EXPECT_EQ(cluster.node(0).activeConfiguration().version, 90U);
}

// Guards against a VM that votes under its old identity after it lost its disk, and with it its recorded
// vote and log. It must rejoin as a learner and become a voter under a new storage ID.
TEST(ConfigurationNodeTest, voterWithALostDiskIsALearnerUntilItIsReadmitted)
{
    ConfigurationCluster cluster(clusterPlan(5, 0));
    cluster.advance(settlingTime);
    proposeChanges(cluster, 0, 3);
    const auto lost = (*cluster.leader() + 1) % 5;
    cluster.wipeDisk(lost);
    cluster.restart(lost);
    EXPECT_EQ(cluster.node(lost).role(), ConfigurationRole::Learner);
    cluster.advance(settlingTime);
    EXPECT_EQ(cluster.node(lost).role(), ConfigurationRole::Follower);
    EXPECT_NE(cluster.node(lost).voterId(), initialStorageId);
    EXPECT_EQ(cluster.node(0).log().voters().size(), 5U);
    EXPECT_EQ(cluster.failure(), "");
}

// Guards against readmitting a voter before it has the accepted changes: the next lost disk would then lose
// them. Three voters lose their disks in turn; the seed varies the delay between two losses.
TEST(ConfigurationNodeTest, secondDiskLossAfterReadmissionLosesNoAcceptedChange)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        auto plan = clusterPlan(3, 1);
        plan.seed = seed;
        ConfigurationCluster cluster(plan);
        cluster.advance(settlingTime);
        for (std::size_t round = 0; round < 6; ++round) {
            proposeChanges(cluster, 3, 2);
            const auto lost = round % 3;
            for (int i = 0; i < 2000 && !cluster.wipeDisk(lost); ++i)
                cluster.advance(std::chrono::milliseconds(5));
            cluster.restart(lost);
            cluster.advance(std::chrono::milliseconds(20 * seed));
        }
        cluster.settle();
        EXPECT_EQ(cluster.failure(), "") << seed;
    }
}

// Guards against the loss of an accepted change in an election. One voter missed the change, another one
// lost its disk after acknowledging it, and the leader is down: the first two must not elect a leader.
TEST(ConfigurationNodeTest, voterWithALostDiskDoesNotElectACandidateThatLacksAcceptedChanges)
{
    ConfigurationCluster cluster(clusterPlan(3, 0));
    cluster.advance(settlingTime);
    const auto leader = *cluster.leader();
    const auto behind = (leader + 1) % 3;
    const auto wiped = (leader + 2) % 3;
    cluster.kill(behind);
    proposeChanges(cluster, leader, 1);
    ASSERT_EQ(cluster.counts().accepted, 1U);
    cluster.kill(leader);
    cluster.wipeDisk(wiped);
    cluster.restart(wiped);
    cluster.restart(behind);
    cluster.advance(std::chrono::seconds(20));
    EXPECT_FALSE(cluster.leader());
    EXPECT_EQ(cluster.failure(), "");
}

// Guards against an isolated VM that reports its configuration as recent, or stops using it, and against one
// that does not catch up once it is reachable again.
TEST(ConfigurationNodeTest, isolatedVmReportsTheAgeOfItsConfiguration)
{
    ConfigurationCluster cluster(clusterPlan(5, 1));
    cluster.advance(settlingTime);
    proposeChanges(cluster, 0, 1);
    cluster.advance(std::chrono::seconds(2));
    ASSERT_TRUE(cluster.node(5).configurationAge(cluster.now()));
    EXPECT_LT(*cluster.node(5).configurationAge(cluster.now()), std::chrono::seconds(2));
    cluster.isolate(5);
    cluster.advance(std::chrono::seconds(60));
    EXPECT_GE(*cluster.node(5).configurationAge(cluster.now()), std::chrono::seconds(59));
    EXPECT_EQ(cluster.node(5).activeConfiguration().version, 1U);
    proposeChanges(cluster, 0, 1);
    cluster.healPartitions();
    cluster.advance(std::chrono::seconds(3));
    EXPECT_EQ(cluster.node(5).activeConfiguration().version, 2U);
    EXPECT_LT(*cluster.node(5).configurationAge(cluster.now()), std::chrono::seconds(2));
}

// Guards against a leader that stays leader without a majority, and against an unnecessary election when it
// is reachable again.
TEST(ConfigurationNodeTest, isolatedLeaderStepsDown)
{
    ConfigurationCluster cluster(clusterPlan(5, 0));
    cluster.advance(settlingTime);
    const auto old = *cluster.leader();
    cluster.isolate(old);
    cluster.advance(settlingTime);
    EXPECT_NE(cluster.node(old).role(), ConfigurationRole::Leader);
    ASSERT_TRUE(cluster.leader());
    const auto term = cluster.node(*cluster.leader()).term();
    cluster.healPartitions();
    cluster.advance(settlingTime);
    EXPECT_EQ(cluster.node(*cluster.leader()).term(), term)
        << "the return of the old leader must not cause an election";
}

// Guards against a crash on a malformed journal record or on random bytes from a peer.
TEST(ConfigurationNodeTest, malformedMessagesAreIgnored)
{
    ConfigurationNodeOptions options;
    options.self = "a";
    options.members = {{"a", true}, {"b", true}};
    ConfigurationNode node(timePointOf(0), options, {"not a record"});
    std::uint64_t state = 1;
    for (int i = 0; i < 20000; ++i) {
        std::string bytes;
        for (int n = 0; n < i % 40; ++n) {
            state = state * 6364136223846793005 + 1442695040888963407;
            bytes.push_back(static_cast<char>(state >> 56));
        }
        node.receive(timePointOf(i), "b", bytes);
        node.takeActions();
    }
    EXPECT_EQ(node.activeConfiguration().version, 0U);
}

// Guards against a stale configuration that counts as confirmed: a VM learns of a newer commit, its disk
// fails before the commit is synced, and it keeps the older configuration active.
TEST(ConfigurationNodeTest, vmWithAFailedDiskConfirmsNoConfigurationThatItCouldNotActivate)
{
    constexpr std::size_t rounds = 40;
    constexpr int maximumTicks = 400;
    constexpr auto tickInterval = std::chrono::milliseconds(5);
    auto plan = clusterPlan(4, 0);
    plan.toleratedLosses = 1;
    ConfigurationCluster cluster(plan);
    cluster.advance(settlingTime);
    std::size_t refusals = 0;
    for (std::size_t i = 0; i < rounds; ++i) {
        const auto vm = i % cluster.size();
        cluster.kill(vm);
        cluster.advance(settlingTime);
        cluster.propose(vm + 1, 0);
        cluster.advance(settlingTime);
        cluster.restart(vm);
        // The disk fails after the VM has caught up and before the newest configuration becomes active.
        for (int n = 0; n < maximumTicks; ++n) {
            cluster.advance(tickInterval);
            const auto leads = cluster.leader();
            const bool isCaughtUp =
                leads && cluster.node(vm).commitIndex() == cluster.node(*leads).commitIndex();
            if (!isCaughtUp
                || cluster.node(vm).activeConfiguration() == cluster.node(vm).state().configuration())
                continue;
            ++refusals;
            cluster.failDisk(vm);
            break;
        }
        cluster.advance(std::chrono::milliseconds(100));
        cluster.kill(vm);
        cluster.restart(vm);
        cluster.advance(settlingTime);
    }
    EXPECT_EQ(cluster.failure(), "");
    EXPECT_GT(refusals, 0U);
}

// Guards against the loss of accepted changes when as many disks as tolerated are lost at once and all VMs
// lose power.
TEST(ConfigurationNodeTest, toleratedDiskLossesAtOnceLoseNoAcceptedChange)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        auto plan = clusterPlan(8, 0);
        plan.seed = seed;
        plan.toleratedLosses = 2;
        plan.failureDomains = {0, 1, 2, 3, 0, 1, 2, 3};
        ConfigurationCluster cluster(plan);
        cluster.advance(settlingTime);
        proposeChanges(cluster, 0, 2);
        // The lost disks include that of the leader, which holds the newest accepted change.
        const auto leader = *cluster.leader();
        ASSERT_TRUE(cluster.wipeDisk(leader)) << seed;
        ASSERT_TRUE(cluster.wipeDisk(leader == 0 ? 1 : 0)) << seed;
        for (std::size_t i = 0; i < cluster.size(); ++i)
            cluster.losePower(i);
        cluster.settle();
        EXPECT_EQ(cluster.failure(), "") << seed;
        EXPECT_EQ(cluster.node(0).activeConfiguration().version, 2U) << seed;
    }
}

// Guards against voters that stay in one failure domain, whose loss would then lose the majority.
TEST(ConfigurationNodeTest, noFailureDomainHoldsAMajorityOfVoters)
{
    // The three initial voters are all in the first failure domain.
    ClusterPlan plan = clusterPlan(6, 0);
    plan.toleratedLosses = 1;
    plan.failureDomains = {0, 0, 0, 1, 1, 2};
    ConfigurationCluster cluster(plan);
    cluster.advance(2 * settlingTime);
    ASSERT_TRUE(cluster.leader());
    const auto &voters = cluster.node(*cluster.leader()).log().voters();
    std::map<std::size_t, int> perDomain;
    for (const auto &it : voters)
        ++perDomain[plan.failureDomains[std::stoul(it.name.substr(2))]];
    EXPECT_EQ(voters.size(), 3U);
    for (const auto &[domain, n] : perDomain)
        EXPECT_LE(n, 1) << domain;
    EXPECT_EQ(cluster.failure(), "");
}

// Guards against a leader that runs out of memory after a restart of the whole fleet, and each leader after
// it. Entry VMs have no disk, so all of them need the document. On slow links their replies to heartbeats
// came before it had arrived, and each such reply made the leader send it again.
TEST(ConfigurationNodeTest, snapshotsAreSentOnceOverSlowLinks)
{
    constexpr std::size_t learners = 20;
    auto plan = clusterPlan(3, learners);
    plan.documentBytes = 102'400;
    ConfigurationCluster cluster(plan);
    cluster.advance(settlingTime);
    proposeChanges(cluster, 0, 45);
    for (std::size_t i = 3; i < cluster.size(); ++i) {
        ASSERT_TRUE(cluster.wipeDisk(i));
        cluster.restart(i);
    }
    const auto before = cluster.counts().messageBytes;
    cluster.setMaximumDelay(std::chrono::milliseconds(100));
    for (std::size_t i = 0; i < 100; ++i) {
        // Each small change makes the leader send to all VMs.
        cluster.assignHolder(i, i);
        cluster.advance(std::chrono::milliseconds(20));
    }
    EXPECT_LT(cluster.counts().messageBytes - before, 3 * learners * plan.documentBytes);
    cluster.settle();
    EXPECT_EQ(cluster.failure(), "");
}

// Guards against messages of many megabytes: a VM that missed large changes got up to 64 of them in one
// message.
TEST(ConfigurationNodeTest, missedLargeDocumentsAreSentInBoundedMessages)
{
    auto plan = clusterPlan(3, 2);
    plan.documentBytes = 204'800;
    plan.retainedEntries = 64;
    ConfigurationCluster cluster(plan);
    cluster.advance(settlingTime);
    proposeChanges(cluster, 0, 40);
    ASSERT_TRUE(cluster.wipeDisk(3));
    cluster.restart(3);
    cluster.settle();
    EXPECT_EQ(cluster.failure(), "");
    EXPECT_LT(cluster.counts().largestMessageBytes, 1U << 20);
}

// Guards against a VM that uses earlier versions one after the other while it catches up after a restart.
TEST(ConfigurationNodeTest, restartedLearnerActivatesNoVersionOlderThanTheNewestAtItsStart)
{
    auto plan = clusterPlan(3, 2);
    plan.documentBytes = 204'800;
    plan.retainedEntries = 64;
    ConfigurationCluster cluster(plan);
    cluster.advance(settlingTime);
    proposeChanges(cluster, 0, 40);
    ASSERT_TRUE(cluster.wipeDisk(3));
    cluster.restart(3);
    std::set<std::uint64_t> versions;
    for (int i = 0; i < 1000; ++i) {
        cluster.advance(std::chrono::milliseconds(1));
        versions.insert(cluster.node(3).activeConfiguration().version);
    }
    EXPECT_EQ(versions, (std::set<std::uint64_t>{0, 40}));
    EXPECT_EQ(cluster.failure(), "");
}

// Guards against a catch-up that costs the leader and slow links the whole history of a large document.
TEST(ConfigurationNodeTest, restartedLearnersReceiveTheNewestDocumentOnly)
{
    constexpr std::size_t learners = 12;
    auto plan = clusterPlan(3, learners);
    plan.documentBytes = 204'800;
    plan.retainedEntries = 64;
    ConfigurationCluster cluster(plan);
    cluster.advance(settlingTime);
    proposeChanges(cluster, 0, 40);
    for (std::size_t i = 3; i < cluster.size(); ++i) {
        ASSERT_TRUE(cluster.wipeDisk(i));
        cluster.restart(i);
    }
    const auto before = cluster.counts().messageBytes;
    cluster.advance(settlingTime);
    EXPECT_LT(cluster.counts().messageBytes - before, 2 * learners * plan.documentBytes);
    cluster.settle();
    EXPECT_EQ(cluster.failure(), "");
}
