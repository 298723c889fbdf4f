#pragma once

#include "citronpitch/eventlooplag.h"
#include "citronpitch/groupdispatcher.h"
#include "citronpitch/jobrouter.h"
#include "citronpitch/peerdirectory.h"
#include "support/simulatedupstream.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace Citronpitch {

/// Faults of the orders between control VMs and upstreams, in thousandths of the orders.
struct FleetOrderFaults
{
    /// The order is lost.
    unsigned lost = 0;
    /// The order gets no answer and is executed 2 to 12 s later.
    unsigned late = 0;
    /// Of the stop orders only: the order is lost.
    unsigned lostStops = 0;
};

/**
 * @brief Runs entry VMs, control VMs, simulated upstreams and callers that submit again, in virtual time.
 *
 * Each failure domain has an entry VM "eN", a group "dN", control VMs "cN" and "bN" and upstreams "uN.M".
 * Joins JobRouter, GroupDispatcher, PeerDirectory and CrashLedger as FleetEntry and HeldGroups do. Counts
 * tasks that run more than once at the same time.
 */
class FleetHarness
{
public:
    /// Tasks take @p taskTime, or from 60 to 900 ms.
    FleetHarness(std::uint64_t seed, int domains, std::optional<Duration> taskTime = {});

    /// Submits a job at entry VM @p vm, or at a random one, and again after 1.3 s when its outcome is
    /// unknown.
    void submit(const std::string &key, std::size_t tasks, Duration timeout, const std::string &vm = {});
    /// Breaks the connections of all callers of an entry VM.
    void resetConnections(const std::string &vm);
    /// The VM runs nothing until @p time has passed; its input waits.
    void pause(const std::string &vm, Duration time);
    /// Each turn of the VM's event loop takes @p turn until @p time has passed.
    void slow(const std::string &vm, Duration time, Duration turn);
    /// Kills a VM and starts it again after @p time.
    void kill(const std::string &vm, Duration time);
    /// Nothing passes from @p from, a VM or an upstream, to @p to. VMs' messages arrive afterwards unless
    /// they are lost.
    void cut(const std::string &from, const std::string &to, Duration time, bool areLost = false);
    void cutBothWays(const std::string &one, const std::string &other, Duration time, bool areLost = false);
    void restart(const std::string &upstream);
    /// Assigns a group to another control VM.
    void reassign(const std::string &group);

    void advance(Duration time);
    /// Advances with random jobs and faults.
    void advanceWithFaults(Duration time);

    /// Starts of each task.
    std::map<std::string, unsigned> starts;
    /// Tasks that ran on two upstreams at the same time, with the upstreams.
    std::vector<std::string> concurrentRuns;
    /// Those with a run that was started late, by an incarnation that no order had reached in time.
    unsigned strayRuns = 0;
    unsigned answeredJobs = 0;
    FleetOrderFaults faults;
    bool isTraced = false;
    /// When callers submit again.
    Duration retryTime = std::chrono::milliseconds(1300);

    /// Keys of the jobs of which a task has started although each submission was refused.
    std::vector<std::string> refusedButStarted() const;

private:
    struct Takeover
    {
        std::uint64_t fence = 0;
        std::string previousHolder;
        TimePoint deadline;
    };

    struct Vm
    {
        FleetPeer self;
        std::unique_ptr<PeerDirectory> directory;
        EventLoopLag lag;
        std::deque<std::function<void()>> messages;
        std::deque<std::function<void()>> answers;
        bool isUp = true;
        TimePoint nextTurnAt;
        TimePoint slowUntil;
        Duration turn{};
        TimePoint nextTickAt;
        TimePoint nextHeartbeatAt;
        /// The assignment of the groups that this VM knows.
        std::map<std::string, GroupHolder> holders;
        std::unique_ptr<JobRouter> router;
        std::unique_ptr<CrashLedger> crashes;
        std::map<std::string, std::unique_ptr<GroupDispatcher>> groups;
        std::map<std::string, Takeover> takeovers;
        std::map<std::string, std::set<std::string>> reportedGroups;
        std::map<std::string, std::vector<std::uint64_t>> receipts;
    };

    struct Client
    {
        std::string key;
        std::size_t tasks = 0;
        Duration timeout{};
        unsigned submissions = 0;
        /// Submissions again reach other VMs.
        std::string lastVm;
        bool areAllRefused = true;
    };

    struct Connection
    {
        std::size_t client = 0;
        std::string vm;
    };

    using Body = std::function<void(Vm &receiver, Duration age)>;

    Duration delay();
    std::uint64_t random(std::uint64_t below);
    void at(TimePoint time, std::function<void()> event);
    void trace(const std::string &text) const;
    void boot(Vm &vm);
    void turn(Vm &vm);
    void tick(Vm &vm);
    void sendHeartbeats(Vm &vm);
    void reportChanges(Vm &vm);
    bool send(Vm &from, const std::string &to, Body body, bool isHeartbeat = false);
    void configure(Vm &vm);
    void takeOver(Vm &vm, const std::string &group, std::uint64_t fence);
    void announceAll(Vm &vm, const std::string &group);
    void execute(Vm &vm);
    void executeRouter(Vm &vm);
    void sendOrder(Vm &vm, const std::string &group, const RunOrder &order);
    void executeOrder(const std::string &vm, const RunOrder &order, bool isLate,
                      const std::function<void(OrderResult)> &answer);
    void finish(Vm &vm, const FinishedJob &finished);
    void submitAgain(std::size_t client, const std::string &vm);
    void close(std::uint64_t connection);
    void answer(std::uint64_t connection, const Answer &answer);
    bool isCut(const std::string &from, const std::string &to) const;
    void injectFault();
    void checkRuns();

    TimePoint m_now{std::chrono::seconds(1000)};
    std::mt19937_64 m_random;
    std::multimap<TimePoint, std::function<void()>> m_events;
    std::map<std::string, Vm> m_vms;
    std::map<std::string, std::unique_ptr<SimulatedUpstream>> m_upstreams;
    std::vector<std::string> m_names;
    std::map<std::string, GroupHolder> m_holders;
    std::uint64_t m_lastFence = 0;
    std::uint64_t m_sequence = 0;
    /// Ends of the cuts, and whether messages are lost meanwhile.
    std::map<std::pair<std::string, std::string>, std::pair<TimePoint, bool>> m_cuts;
    std::map<std::pair<std::string, std::string>, TimePoint> m_lastArrivals;
    std::vector<Client> m_clients;
    std::map<std::uint64_t, Connection> m_connections;
    std::uint64_t m_lastConnection = 0;
    /// Incarnations that have executed an order in time, by upstream.
    std::map<std::string, std::uint64_t> m_reachedIncarnations;
    std::set<std::pair<std::string, std::string>> m_strays;
    std::set<std::string> m_concurrent;
    int m_domains = 0;
    /// Kinds of the random faults.
    std::vector<std::uint64_t> m_faultKinds;
};

} // namespace Citronpitch
