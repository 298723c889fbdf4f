#include "citronpitch/holderassignment.h"

#include <gtest/gtest.h>

using namespace Citronpitch;

namespace {

constexpr TimePoint now{std::chrono::seconds(1000)};
constexpr auto longAgo = std::chrono::seconds(5);

AssignmentVm vmOf(const std::string &name, const std::string &domain, VmRole role = VmRole::Control)
{
    return {{name, role, domain, 1}, true, false, now};
}

AssignmentVm unreachable(AssignmentVm vm)
{
    vm.isAlive = false;
    vm.lastMessageAt = now - longAgo;
    return vm;
}

std::vector<GroupHolder> assign(const std::vector<GroupHolder> &holders, const std::vector<AssignmentVm> &vms,
                                const std::map<std::string, TimePoint> &aliveSince = {})
{
    return assignHolders(now, {}, {"a", "b"}, holders, vms, aliveSince);
}

} // namespace

TEST(HolderAssignmentTest, eachGroupIsAssignedToAVmOfItsDomain)
{
    const auto changes = assign({}, {vmOf("x", "a"), vmOf("y", "b")});
    ASSERT_EQ(changes.size(), 2U);
    EXPECT_EQ(changes[0], (GroupHolder{"a", "x", 1, 0}));
    EXPECT_EQ(changes[1], (GroupHolder{"b", "y", 1, 0}));
}

TEST(HolderAssignmentTest, entryVmsAreAssignedNoGroups)
{
    EXPECT_TRUE(assign({}, {vmOf("x", "a", VmRole::Entry)}).empty());
}

TEST(HolderAssignmentTest, reachableHoldersAreKept)
{
    EXPECT_TRUE(assign({{"a", "x", 1, 1}, {"b", "y", 1, 2}}, {vmOf("x", "a"), vmOf("y", "b")}).empty());
}

TEST(HolderAssignmentTest, unreachableHolderIsReplacedWhileItsDomainIsReachable)
{
    const auto changes = assign({{"a", "x", 1, 1}, {"b", "y", 1, 2}},
                                {unreachable(vmOf("x", "a")), vmOf("e", "a", VmRole::Entry), vmOf("y", "b")});
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes[0], (GroupHolder{"a", "y", 1, 1}));
}

/// A partition that separates a whole domain doesn't stop its holder, which continues to serve the domain.
TEST(HolderAssignmentTest, unreachableDomainKeepsItsHolder)
{
    const auto entry = unreachable(vmOf("e", "a", VmRole::Entry));
    EXPECT_TRUE(
        assign({{"a", "x", 1, 1}, {"b", "y", 1, 2}}, {unreachable(vmOf("x", "a")), entry, vmOf("y", "b")})
            .empty());
}

/// Right after a partition heals, an entry VM of the domain may be reachable before the holder. The holder
/// must not be replaced because of that.
TEST(HolderAssignmentTest, domainThatHasJustBecomeReachableKeepsItsHolder)
{
    const std::vector<GroupHolder> holders{{"a", "x", 1, 1}, {"b", "y", 1, 2}};
    const std::vector<AssignmentVm> vms{unreachable(vmOf("x", "a")), vmOf("e", "a", VmRole::Entry),
                                        vmOf("y", "b")};
    EXPECT_TRUE(assign(holders, vms, {{"e", now - std::chrono::milliseconds(100)}}).empty());
    EXPECT_EQ(assign(holders, vms, {{"e", now - longAgo}}).size(), 1U);
}

/// A restarted holder has lost its state, so the orders of its previous incarnation must become invalid.
TEST(HolderAssignmentTest, restartedHolderGetsANewFencingToken)
{
    auto restarted = vmOf("x", "a");
    restarted.peer.incarnation = 9;
    const auto changes = assign({{"a", "x", 1, 1}, {"b", "y", 1, 2}}, {restarted, vmOf("y", "b")});
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes[0], (GroupHolder{"a", "x", 9, 1}));
}

TEST(HolderAssignmentTest, groupOfADrainingHolderIsReassigned)
{
    auto draining = vmOf("x", "a");
    draining.isDraining = true;
    const auto changes = assign({{"a", "x", 1, 1}, {"b", "y", 1, 2}}, {draining, vmOf("y", "b")});
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes[0].vm, "y");
}

/// Without the delay, a VM that restarts repeatedly would move its group back and forth.
TEST(HolderAssignmentTest, groupFailsBackOnceAVmOfItsDomainIsStable)
{
    const std::vector<GroupHolder> holders{{"a", "y", 1, 5}, {"b", "y", 1, 2}};
    const std::vector<AssignmentVm> vms{vmOf("x", "a"), vmOf("y", "b")};
    EXPECT_TRUE(assign(holders, vms, {{"x", now}}).empty());
    const auto changes = assign(holders, vms, {{"x", now - longAgo}});
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes[0], (GroupHolder{"a", "x", 1, 5}));
}
