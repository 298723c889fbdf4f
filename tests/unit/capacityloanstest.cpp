#include "citronpitch/dispatcher.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <random>

using namespace Citronpitch;
using namespace std::chrono_literals;

namespace {

const TimePoint start = timePointOf(1'700'000'000'000'000);
const AttemptResult success{AttemptOutcome::Answered, 200, {}};

UpstreamAnnouncement upstream(const std::string &name, std::uint32_t slots, const Resources &capacity = {})
{
    UpstreamAnnouncement announcement;
    announcement.name = name;
    announcement.address = "127.0.0.1";
    announcement.port = 1;
    announcement.slots = slots;
    announcement.capacity = capacity;
    announcement.incarnation = 1;
    announcement.leaseDeadline = start + 1h;
    return announcement;
}

Submission submission(std::uint32_t tasks)
{
    Submission it;
    it.team = "t";
    it.key = "key";
    it.className = "c";
    it.deadline = start + 30min;
    it.tasks.resize(tasks);
    return it;
}

/// An entry VM of the failure domain.
struct Vm
{
    Dispatcher dispatcher;
    std::uint64_t incarnation = 1;
};

} // namespace

/// Entry VMs of one failure domain whose messages are delayed or lost.
class CapacityLoansTest : public testing::Test
{
protected:
    void build(std::uint32_t vmCount, const std::vector<UpstreamAnnouncement> &announcements)
    {
        Configuration configuration;
        configuration.classes = {{"c", 990000, 1s}};
        std::vector<std::string> names;
        for (std::uint32_t i = 0; i < vmCount; ++i)
            names.push_back(std::to_string(i));
        for (std::uint32_t i = 0; i < vmCount; ++i) {
            auto &dispatcher = vms[names[i]].dispatcher;
            dispatcher.setConfiguration(configuration);
            dispatcher.setShare(now, i, vmCount);
            for (const auto &it : announcements) {
                dispatcher.announce(now, it);
                slots[it.name] = it.slots;
            }
            auto others = names;
            std::erase(others, names[i]);
            dispatcher.setPeers(others);
        }
    }

    void add(const std::string &vm, std::uint32_t tasks)
    {
        vms.at(vm).dispatcher.add(now, nextJob++, submission(tasks));
    }

    /// Advances the time by @p length in steps of one millisecond.
    void run(Duration length)
    {
        for (const auto end = now + length; now < end; now += 1ms) {
            endTasks();
            deliver();
            for (auto &[name, vm] : vms)
                act(name, vm);
            for (const auto &[name, n] : slots)
                maximumOveruse =
                    std::max(maximumOveruse, static_cast<int>(inUse(name)) - static_cast<int>(n));
        }
    }

    std::uint32_t inUse(const std::string &upstreamName) const
    {
        return static_cast<std::uint32_t>(std::count_if(
            running.begin(), running.end(), [&](const auto &it) { return it.upstream == upstreamName; }));
    }

    std::uint32_t inUseBy(const std::string &vm) const
    {
        return static_cast<std::uint32_t>(
            std::count_if(running.begin(), running.end(), [&](const auto &it) { return it.vm == vm; }));
    }

    struct Running
    {
        std::string vm;
        std::string upstream;
        AttemptId attempt = 0;
        TimePoint end;
    };

    struct Message
    {
        TimePoint at;
        std::function<void()> deliver;
    };

    std::map<std::string, Vm> vms;
    std::map<std::string, std::uint32_t> slots;
    std::vector<Running> running;
    std::deque<Message> messages;
    TimePoint now = start;
    JobId nextJob = 1;
    int maximumOveruse = 0;
    std::uint32_t finished = 0;
    std::uint32_t sent = 0;
    std::function<Duration()> taskTime = [] { return 100ms; };
    std::function<Duration()> delay = [] { return 1ms; };
    std::function<bool(const std::string &from)> isMessageLost = [](const auto &) { return false; };

private:
    void endTasks()
    {
        for (std::size_t i = 0; i < running.size();) {
            if (running[i].end > now) {
                ++i;
                continue;
            }
            vms.at(running[i].vm).dispatcher.finish(now, running[i].attempt, success);
            running.erase(running.begin() + static_cast<std::ptrdiff_t>(i));
            ++finished;
        }
    }

    void act(const std::string &name, Vm &vm)
    {
        for (const auto &it : vm.dispatcher.place(now))
            running.push_back({name, it.upstream, it.attempt, now + taskTime()});
        for (const auto &it : vm.dispatcher.capacityRequests(now))
            send(name, [this, name, it] { lend(name, it); });
    }

    void lend(const std::string &borrower, const OutgoingCapacityRequest &outgoing)
    {
        auto &lender = vms.at(outgoing.vm);
        const auto grant =
            lender.dispatcher.lend(now, borrower, vms.at(borrower).incarnation, outgoing.request);
        if (!grant)
            return;
        send(outgoing.vm, [this, borrower, from = outgoing.vm, grant = *grant] {
            vms.at(borrower).dispatcher.borrow(now, from, vms.at(from).incarnation, grant);
        });
    }

    void send(const std::string &from, std::function<void()> deliverMessage)
    {
        ++sent;
        if (!isMessageLost(from))
            messages.push_back({now + delay(), std::move(deliverMessage)});
    }

    void deliver()
    {
        while (true) {
            const auto it = std::find_if(messages.begin(), messages.end(),
                                         [&](const auto &message) { return message.at <= now; });
            if (it == messages.end())
                return;
            const auto message = std::move(*it);
            messages.erase(it);
            message.deliver();
        }
    }
};

// Guards against idle slots: one VM has queued tasks, while the share of the other VM is unused.
TEST_F(CapacityLoansTest, borrowsIdleSlotsOfAnotherVm)
{
    build(2, {upstream("u", 8), upstream("v", 8)});
    add("0", 200);
    run(50ms);
    EXPECT_GE(inUseBy("0"), 15U);
    EXPECT_EQ(maximumOveruse, 0);
}

// Guards against a borrower that keeps loans after its tasks have ended, which leaves the lender without its
// own share.
TEST_F(CapacityLoansTest, returnsIdleLoans)
{
    build(2, {upstream("u", 8)});
    add("0", 16);
    run(400ms);
    ASSERT_EQ(finished, 16U);
    add("1", 200);
    run(60ms);
    EXPECT_GE(inUseBy("1"), 7U);
    EXPECT_EQ(maximumOveruse, 0);
}

// Guards against a lender that gets no slots back while the borrower has a long queue.
TEST_F(CapacityLoansTest, lenderWithQueuedWorkRecallsItsSlots)
{
    build(2, {upstream("u", 8)});
    add("0", 1000);
    run(300ms);
    add("1", 100);
    run(130ms);
    EXPECT_EQ(inUseBy("1"), 4U) << "a recalled loan is returned as soon as its task ends";
    run(600ms);
    EXPECT_EQ(inUseBy("0"), 4U);
    EXPECT_EQ(inUseBy("1"), 4U);
    run(4s);
    EXPECT_GE(inUseBy("0"), 7U) << "the other VM has no queued tasks left";
    EXPECT_EQ(maximumOveruse, 0);
}

// Guards against needless messages: a VM whose own share suffices has to send no request.
TEST_F(CapacityLoansTest, sendsNoRequestsWhileEachVmHasFreeSlots)
{
    build(3, {upstream("u", 9)});
    for (int i = 0; i < 10; ++i) {
        add("0", 1);
        add("1", 2);
        run(200ms);
    }
    EXPECT_EQ(sent, 0U);
}

// An upstream that counts resources belongs to one VM as a whole. Guards against tasks that wait forever on
// the other VM.
TEST_F(CapacityLoansTest, everyVmCanBorrowAnUpstreamCountedInResources)
{
    build(2, {upstream("w", 0, {8000, 1U << 30, 1})});
    slots["w"] = 8;
    add("0", 4);
    add("1", 4);
    run(400ms);
    EXPECT_EQ(finished, 8U);
    EXPECT_EQ(maximumOveruse, 0);
}

// Guards against double use of a slot when requests and grants arrive late and in a different order than they
// were sent.
TEST_F(CapacityLoansTest, noSlotIsUsedTwiceUnderDelaysAndUnevenLoad)
{
    std::mt19937_64 random(5);
    taskTime = [&random] { return Duration(10'000 + random() % 400'000); };
    delay = [&random] { return Duration(500 + random() % 15'000); };
    build(3, {upstream("u", 8), upstream("v", 5), upstream("w", 2)});
    std::uint32_t added = 0;
    for (int i = 0; i < 100; ++i) {
        const auto tasks = static_cast<std::uint32_t>(1 + random() % 12);
        add(std::to_string(random() % 3), tasks);
        added += tasks;
        run(Duration(random() % 200'000));
    }
    run(60s);
    EXPECT_EQ(finished, added);
    EXPECT_EQ(maximumOveruse, 0);
}

// Guards against double use of a slot when a grant or a return is lost, so that the two sides disagree on
// what is lent.
TEST_F(CapacityLoansTest, noSlotIsUsedTwiceWhenMessagesAreLost)
{
    std::mt19937_64 random(6);
    taskTime = [&random] { return Duration(10'000 + random() % 50'000); };
    isMessageLost = [&random](const auto &) { return random() % 3 == 0; };
    build(2, {upstream("u", 8)});
    std::uint32_t added = 0;
    for (int i = 0; i < 200; ++i) {
        add(std::to_string(random() % 2), 6);
        added += 6;
        run(Duration(random() % 100'000));
    }
    run(30s);
    EXPECT_EQ(finished, added);
    EXPECT_EQ(maximumOveruse, 0);
}

// Guards against double use of a slot when no message arrives any more: the lease of the borrower has to
// expire before the lender uses the slots again.
TEST_F(CapacityLoansTest, partitionedBorrowerStopsBeforeTheLenderReclaims)
{
    build(2, {upstream("u", 8)});
    taskTime = [] { return 20ms; };
    add("0", 100'000);
    run(300ms);
    ASSERT_GE(inUseBy("0"), 7U);
    isMessageLost = [](const auto &) { return true; };
    run(100ms);
    add("1", 100'000);
    run(5s);
    EXPECT_EQ(inUseBy("0"), 4U);
    EXPECT_EQ(inUseBy("1"), 4U);
    EXPECT_EQ(maximumOveruse, 0);
}

// Guards against loans to an earlier incarnation of the borrower that count for the new one, and against late
// requests of the earlier incarnation.
TEST_F(CapacityLoansTest, restartedBorrowerHoldsNoLoans)
{
    build(2, {upstream("u", 8)});
    add("0", 1000);
    run(50ms);
    const auto request = CapacityRequest{now + 1s, 0, 0, {}, {}};
    const auto grant = vms.at("1").dispatcher.lend(now, "0", 2, request);
    ASSERT_TRUE(grant.has_value());
    EXPECT_TRUE(grant->lent.empty());
    EXPECT_FALSE(vms.at("1").dispatcher.lend(now, "0", 1, request).has_value());
}
