#pragma once

#include "citronpitch/groupdispatcher.h"
#include "support/simulatedupstream.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace Citronpitch {

/// Network faults between a GroupHarness and its upstreams, in thousandths of the orders.
struct GroupFaults
{
    /// The order is executed immediately, but its answer is lost.
    unsigned lostAnswers = 0;
    /// The order gets no answer and is executed 2 to 12 s later.
    unsigned lateOrders = 0;
    /// Of the stop orders only: the order is not executed and gets no answer.
    unsigned lostStops = 0;
};

/**
 * @brief Runs a GroupDispatcher with simulated upstreams in virtual time.
 *
 * Counts tasks that run more than once at the same time. Used by tests of GroupDispatcher.
 */
class GroupHarness
{
public:
    explicit GroupHarness(std::uint64_t seed = 1);

    /// Adds an upstream and announces it.
    SimulatedUpstream &add(const SimulatedUpstreamOptions &options);

    static constexpr Duration announcementLease = std::chrono::seconds(6);

    /// Replaces the dispatcher by one with a higher fencing token; runs on the upstreams continue.
    void takeOver();

    /// Announces an upstream again, under a lease of @p lease.
    void announce(const std::string &name, bool isLeaving = false, Duration lease = announcementLease);

    /// Returns the announcement that an upstream has left.
    FleetAnnouncement departureOf(const std::string &name);

    /// Announces that an upstream has left.
    void leave(const std::string &name);

    /// Announces another capacity of an upstream, which executes more all the same if its options say so.
    void setSlots(const std::string &name, std::uint32_t slots);

    /// Labels that each upstream announces, from its next announcement on.
    std::map<std::string, std::vector<std::string>> labels;
    /// Constraints of the jobs that are submitted from now on.
    PlacementConstraints constraints;
    /// Start orders for upstreams without the label of their job, and starts beyond its limit per upstream.
    unsigned misplacedStarts = 0;

    /// Whether upstreams announce processors instead of slots; a task needs one slot's worth.
    bool countsResources = false;

    /// Sets whether orders to @p name time out without reaching it.
    void setUnreachable(const std::string &name, bool isUnreachable);

    /// @p age is how long the message was delayed.
    void submit(const std::string &key, std::uint64_t number, std::size_t tasks,
                Duration timeout = std::chrono::seconds(5), Duration age = {}, bool reserve = false);

    /// Starts a reserved job.
    bool start(std::uint64_t number);

    void advance(Duration time);

    /// Lets @p time pass without the dispatcher, and then hands over the answers that came meanwhile, without
    /// a tick.
    void pause(Duration time);

    GroupDispatcher &dispatcher();
    TimePoint now() const;
    SimulatedUpstream &upstream(const std::string &name);

    /// Answers by job number, and when they came.
    std::map<std::uint64_t, Answer> answers;
    std::map<std::uint64_t, TimePoint> answeredAt;
    /// Numbers of the jobs that were reported as reserved.
    std::set<std::uint64_t> reserved;
    /// Number of starts by task.
    std::map<std::string, unsigned> starts;
    /// Tasks that ran on two upstreams at the same time.
    unsigned concurrentRuns = 0;
    /// Those with a run that was started late, by an incarnation that no order of the dispatcher had reached
    /// in time; not in concurrentRuns.
    unsigned strayRuns = 0;
    /// Runs that continued for longer than one lease after their first stop order.
    unsigned overdueRuns = 0;
    GroupFaults faults;
    /// Whether late orders also reach upstreams that are unreachable by then.
    bool deliversLateOrders = false;

    /// Whether the start of @p task crashes its upstream; none does if it is not set.
    std::function<bool(const std::string &task)> crashes;
    /// Whether a crashing start is answered before the upstream crashes.
    bool answersBeforeCrash = true;
    /// How long a crashed upstream is down.
    Duration downTime = std::chrono::seconds(3);
    /// Whether a crashed upstream comes back under another name, at its address.
    bool changesNameAfterCrash = false;
    /// Upstreams that have crashed while they ran a task, by task.
    std::map<std::string, unsigned> crashesUnder;
    /// Starts of a task after crashLimit upstreams have crashed under it.
    std::map<std::string, unsigned> startsAfterCrashes;
    static constexpr unsigned crashLimit = 3;

private:
    struct Event
    {
        enum class Kind { Execute, Answer };
        Kind kind = Kind::Execute;
        std::uint64_t fence = 0;
        RunOrder order;
        OrderResult result;
        bool isAnswered = true;
        bool isLate = false;
    };

    void checkLabel(const RunOrder &order);
    void checkLimit(const std::string &upstream, const std::string &task);
    FleetAnnouncement announcementOf(const std::string &name, Duration lease);
    void executeActions();
    void sendOrder(const RunOrder &order);
    /// Handles the events that are due; answers only if @p areAnswersRead.
    void handleEvents(bool areAnswersRead);
    void handle(const Event &event);
    void checkRuns();
    /// Restarts an upstream that answers nothing until downTime has passed.
    void crash(const std::string &name);
    void beginCrashes();
    void endCrashes();

    TimePoint m_now{std::chrono::seconds(1000)};
    std::mt19937_64 m_random;
    std::uint64_t m_fence = 0;
    /// Of the present holder; a new holder has the records that were reported.
    std::unique_ptr<CrashLedger> m_ledger;
    std::vector<TaskCrash> m_reportedCrashes;
    std::unique_ptr<GroupDispatcher> m_dispatcher;
    std::map<std::string, std::unique_ptr<SimulatedUpstream>> m_upstreams;
    /// Announced slots, where they are not the usual two.
    std::map<std::string, std::uint32_t> m_slots;
    std::map<std::string, bool> m_unreachable;
    /// Labels as announced, and the constraints of each job by its key.
    std::map<std::string, std::vector<std::string>> m_announcedLabels;
    std::map<std::string, PlacementConstraints> m_constraints;
    /// Upstreams that a started task crashes, and when.
    std::map<std::string, TimePoint> m_crashing;
    /// When crashed upstreams are back.
    std::map<std::string, TimePoint> m_backAt;
    /// Names whose address another upstream has now.
    std::set<std::string> m_replaced;
    /// Upstream and task of each run with a stop order, and when the run must have ended.
    std::map<std::tuple<std::string, std::string, std::uint32_t>, TimePoint> m_stopDeadlines;
    /// Incarnations that have executed an order in time, by upstream.
    std::map<std::string, std::uint64_t> m_reachedIncarnations;
    /// Runs of strayRuns, by upstream and task.
    std::set<std::pair<std::string, std::string>> m_strayRuns;
    std::multimap<TimePoint, Event> m_events;
    std::uint64_t m_sequence = 0;
};

} // namespace Citronpitch
