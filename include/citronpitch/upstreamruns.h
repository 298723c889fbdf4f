#pragma once

#include "citronpitch/fleetannouncement.h"
#include "citronpitch/runorder.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Citronpitch {

/// Periods of UpstreamRuns.
struct UpstreamRunsOptions
{
    std::uint64_t fence = 0;
    /// How long what runs on an upstream goes on without a renewal. Short enough that runs of a lost VM are
    /// over before its callers send their jobs again.
    Duration lease = std::chrono::milliseconds(600);
    /// How long an upstream may keep a poll while nothing ends there.
    Duration longPollTimeout = std::chrono::milliseconds(100);
    /// Time beyond which an order counts as unanswered.
    Duration orderTimeout = std::chrono::milliseconds(80);
    /// Pause before an order is repeated that got no answer; polls double it each time in a row.
    Duration retryDelay = std::chrono::milliseconds(40);
    Duration maximumPollDelay = std::chrono::milliseconds(500);
    /// Silence after which a poll no longer renews the lease, so that it ends soon.
    Duration renewalTimeout = std::chrono::milliseconds(300);
    /// Part of real time, in thousandths, by which an upstream's clock runs at least.
    int minimumClockRatePermille = 980;
};

/// How a run that start() began is over.
enum class RunOutcome {
    Done,
    Failed,
    /// It was never started, by the upstream's own word.
    Declined,
    /// Nothing was sent.
    NotSent,
    /// It is over without a result: stopped, or its lease ended, or its upstream started anew.
    Lost,
    /// It was stopped because stop() was called.
    Stopped,
    /// Another holder has taken the upstream over; the run may go on there.
    TakenOver,
};

/// The end of a run, told once.
struct FinishedRun
{
    std::uint64_t attempt = 0;
    std::string task;
    RunOutcome outcome = RunOutcome::Lost;
    /// For Declined: what the upstream said.
    OrderVerdict verdict = OrderVerdict::Accepted;
};

/**
 * @brief What one holder runs on one upstream: orders, their answers, and the lease.
 *
 * An order without an answer may be carried out later; its run is over only once a stop of it was
 * acknowledged, its lease has ended on the upstream's clock, or the upstream started anew. Does no I/O and
 * reads no clock. Used by GroupDispatcher.
 */
class UpstreamRuns
{
public:
    /// Gives @p order a number and keeps it for sending.
    using SendOrder = std::function<OrderId(RunOrder order)>;

    UpstreamRuns(TimePoint now, const UpstreamRunsOptions &options, const FleetAnnouncement &announcement,
                 SendOrder send);

    /// A newer announcement of the same upstream arrived.
    void announced(TimePoint now, const FleetAnnouncement &announcement);

    /// The upstream has left: nothing runs there any more.
    void upstreamLeft();

    /// Orders run @p run of @p task; takeFinished() tells its end under @p attempt. Only while isReady().
    void start(TimePoint now, std::uint64_t attempt, const std::string &task, std::uint32_t run,
               const std::string &payload);

    /// Orders the run of @p attempt to be stopped; its end is told once it is certain.
    void stop(TimePoint now, std::uint64_t attempt);

    /// The order @p id has ended.
    void orderEnded(TimePoint now, OrderId id, const OrderResult &result);

    void tick(TimePoint now);

    /// Whether runs may be started: the fencing token is known there, nothing of another holder runs, and the
    /// last order was answered.
    bool isReady() const;
    bool isIdle() const;
    const FleetAnnouncement &announcement() const;

    std::vector<FinishedRun> takeFinished();

private:
    enum class Phase {
        /// The start is on its way.
        Starting,
        Running,
        /// No answer came to the start.
        Unconfirmed,
    };

    struct Run
    {
        std::uint64_t attempt = 0;
        std::uint32_t run = 0;
        Phase phase = Phase::Starting;
        /// Whether it is not to go on.
        bool needsStop = false;
        /// Whether stop() asked for it, rather than a missing answer.
        bool isStopRequested = false;
        bool isStopAcknowledged = false;
        OrderId stopOrder = 0;
        TimePoint stopRetryAt;
        /// Number of the first poll that was sent after the stop was acknowledged.
        std::uint64_t confirmingPoll = 0;
    };

    /// A run of an earlier holder.
    struct ForeignRun
    {
        OrderId stopOrder = 0;
        TimePoint stopRetryAt;
    };

    struct OpenOrder
    {
        OrderKind kind = OrderKind::Poll;
        std::string task;
        std::uint32_t run = 0;
        std::uint64_t poll = 0;
    };

    std::int64_t clockLowerBound(TimePoint now) const;
    void updateClock(TimePoint now, std::int64_t clockMs);
    void recordAnswer(TimePoint now, const OrderResult &result);
    RunOrder newOrder(OrderKind kind) const;
    OrderId send(RunOrder order, OpenOrder open);
    void sendPoll(TimePoint now);
    void sendStop(TimePoint now, const std::string &task, std::uint32_t run, OrderId &order,
                  TimePoint &retryAt);
    void startEnded(TimePoint now, const OpenOrder &open, const OrderResult &result);
    void stopEnded(TimePoint now, const OpenOrder &open, OrderId id, const OrderResult &result);
    void pollEnded(TimePoint now, const OpenOrder &open, const OrderResult &result);
    void recordEnd(const EndedRun &end);
    void finish(std::map<std::string, Run>::iterator it, RunOutcome outcome,
                OrderVerdict verdict = OrderVerdict::Accepted);
    void finishAll(RunOutcome outcome);
    void resetForNewIncarnation();
    bool hasWork() const;

    UpstreamRunsOptions m_options;
    FleetAnnouncement m_announcement;
    SendOrder m_send;
    std::map<std::string, Run> m_runs;
    std::map<RunId, ForeignRun, bool (*)(const RunId &, const RunId &)> m_foreignRuns;
    std::map<OrderId, OpenOrder> m_orders;
    std::int64_t m_clockMs = 0;
    std::optional<TimePoint> m_clockReadAt;
    /// Latest lease given with any order, also one without an answer.
    std::int64_t m_leaseMs = 0;
    std::uint64_t m_lastSeenEnd = 0;
    std::uint64_t m_acknowledgedThrough = 0;
    std::uint64_t m_nextPoll = 1;
    bool m_isPolling = false;
    Duration m_pollDelay{};
    TimePoint m_nextPollAt;
    std::optional<TimePoint> m_lastAnswerAt;
    bool m_isFenceKnown = false;
    bool m_isUnresponsive = false;
    bool m_isTakenOver = false;
    bool m_hasLeft = false;
    std::vector<FinishedRun> m_finished;
};

} // namespace Citronpitch
