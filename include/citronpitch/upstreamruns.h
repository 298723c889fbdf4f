#pragma once

#include "citronpitch/crashledger.h"
#include "citronpitch/fleetannouncement.h"
#include "citronpitch/runorder.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Citronpitch {

/// Time limits of UpstreamRuns.
struct UpstreamRunsOptions
{
    /// Returns a higher fencing token with each call. One is taken for each incarnation of the upstream, so
    /// that orders that were meant for an earlier incarnation are rejected.
    std::function<std::uint64_t()> takeFence = [] { return std::uint64_t{0}; };
    /// How long runs continue on an upstream without a renewal. Short enough that the runs of an unreachable
    /// VM end before its callers retry their jobs.
    Duration lease = std::chrono::milliseconds(600);
    /// How long an upstream may delay the answer to a poll while no run ends.
    Duration longPollTimeout = std::chrono::milliseconds(100);
    /// The upstream shortens longer leases to this.
    Duration maximumLease = std::chrono::milliseconds(1000);
    /// Time after which an unanswered order is not executed any more.
    Duration maximumOrderDelay = std::chrono::seconds(15);
    /// Time after which an order counts as unanswered, beyond the delay that it allows.
    Duration orderTimeout = std::chrono::milliseconds(80);
    /// Delay before an unanswered order is repeated; doubles with each unanswered poll in a row.
    Duration retryDelay = std::chrono::milliseconds(40);
    Duration maximumPollDelay = std::chrono::milliseconds(500);
    /// Time without an answer after which polls no longer renew the lease, so that it expires soon.
    Duration renewalTimeout = std::chrono::milliseconds(300);
    /// Time since the last tick after which polls are answered at once, so that the next one can extend the
    /// lease.
    Duration maximumTickAge = std::chrono::milliseconds(80);
    /// Lower bound for the rate of an upstream's clock, in thousandths of real time.
    int minimumClockRatePermille = 980;
};

/// How a run that start() ordered has ended.
enum class RunOutcome {
    Done,
    Failed,
    /// The upstream reported that it did not start the run.
    Declined,
    /// Nothing was sent.
    NotSent,
    /// Ended without a result: it was stopped, its lease expired, or its upstream restarted.
    Lost,
    /// Stopped on request of stop().
    Stopped,
    /// Another holder has taken over the upstream; the run may continue there.
    TakenOver,
};

inline constexpr std::array runOutcomeNames{
    EnumName<RunOutcome>{RunOutcome::Done, "done"},
    EnumName<RunOutcome>{RunOutcome::Failed, "failed"},
    EnumName<RunOutcome>{RunOutcome::Declined, "declined"},
    EnumName<RunOutcome>{RunOutcome::NotSent, "notSent"},
    EnumName<RunOutcome>{RunOutcome::Lost, "lost"},
    EnumName<RunOutcome>{RunOutcome::Stopped, "stopped"},
    EnumName<RunOutcome>{RunOutcome::TakenOver, "takenOver"},
};

/// Why a run has ended without a result.
enum class RunLoss {
    None,
    /// Its start order was not answered, and it was stopped.
    StartUnanswered,
    /// The upstream answered other orders, but not the stop of a run until the lease had expired.
    StopUnanswered,
    /// The upstream did not answer until the lease had expired; it may have crashed or be unreachable.
    UpstreamSilent,
    /// The upstream has restarted, or another one has its address.
    UpstreamRestarted,
    /// The upstream has left, or its run was stopped because it leaves.
    UpstreamLeft,
    /// The upstream reported that the lease expired, or that it ended the run.
    EndedByUpstream,
};

inline constexpr std::array runLossNames{
    EnumName<RunLoss>{RunLoss::None, "none"},
    EnumName<RunLoss>{RunLoss::StartUnanswered, "startUnanswered"},
    EnumName<RunLoss>{RunLoss::StopUnanswered, "stopUnanswered"},
    EnumName<RunLoss>{RunLoss::UpstreamSilent, "upstreamSilent"},
    EnumName<RunLoss>{RunLoss::UpstreamRestarted, "upstreamRestarted"},
    EnumName<RunLoss>{RunLoss::UpstreamLeft, "upstreamLeft"},
    EnumName<RunLoss>{RunLoss::EndedByUpstream, "endedByUpstream"},
};

/// What a holder knew of an upstream when it concluded that a run there had ended.
struct RunEndBasis
{
    std::uint64_t incarnation = 0;
    /// Latest lease sent to this incarnation, on its clock; zero if there is none.
    std::int64_t leaseMs = 0;
    /// The upstream's clock when it was last read.
    std::int64_t clockMs = 0;
    /// Orders to the upstream without an answer so far, of any run and incarnation.
    std::size_t unansweredOrders = 0;
};

/// The end of a run; reported once.
struct FinishedRun
{
    std::uint64_t attempt = 0;
    std::string task;
    std::uint32_t run = 0;
    RunOutcome outcome = RunOutcome::Lost;
    /// For Declined and NotSent: the verdict on the order.
    OrderVerdict verdict = OrderVerdict::Accepted;
    /// For Lost: the reason.
    RunLoss loss = RunLoss::None;
    RunEndBasis basis;
};

/**
 * @brief Tracks the runs of one holder on one upstream: orders, their answers, and the lease.
 *
 * An unanswered order may be executed later. Its run has ended only once a stop was acknowledged, the lease
 * has expired on the upstream's clock, or the upstream has restarted. What ends it there says nothing about
 * the next incarnation, which may execute the start too; so on an upstream that leaves or is silent it has
 * ended only once the next incarnation has answered, or the order can't be executed any more. Does no I/O and
 * reads no clock. Used by GroupDispatcher.
 */
class UpstreamRuns
{
public:
    /// Assigns a number to @p order, queues it for sending, and returns the number.
    using SendOrder = std::function<OrderId(RunOrder order)>;

    UpstreamRuns(TimePoint now, const UpstreamRunsOptions &options, const FleetAnnouncement &announcement,
                 SendOrder send);

    /// Handles a newer announcement of the same upstream, also that it leaves: its runs are stopped then.
    void announced(TimePoint now, const FleetAnnouncement &announcement);

    /// Orders run @p run of @p task; takeFinished() reports its end as @p attempt. Requires isReady().
    void start(TimePoint now, std::uint64_t attempt, const std::string &task, std::uint32_t run,
               const std::string &payload);

    /// Orders a stop of the run of @p attempt; its end is reported once it is certain.
    void stop(TimePoint now, std::uint64_t attempt);

    /// Handles the result of order @p id.
    void orderEnded(TimePoint now, OrderId id, const OrderResult &result);

    /// @p lag is how long input may have been waiting to be read; nothing is concluded from silence that is
    /// not longer than usual without it.
    void tick(TimePoint now, Duration lag = {});

    /// Whether runs may be started: the upstream knows the fencing token, runs nothing of another holder,
    /// answered the last order, and has no stop that was unanswered for half of the lease.
    bool isReady(TimePoint now) const;
    bool isIdle() const;
    /// Whether the order of an unanswered start, whose run has ended, may still be executed after a restart.
    /// The upstream is polled meanwhile, as its next incarnation rejects the order only once it was reached.
    bool isStartOrderOut(TimePoint now) const;
    /// Whether the upstream has seen the fencing token of a later holder.
    bool isTakenOver() const;
    /// Whether another upstream has answered at its address since the last announcement of a new one.
    bool isReplaced() const;
    const FleetAnnouncement &announcement() const;

    /// Asks an upstream without runs for an answer, unless a poll is in flight.
    void probe(TimePoint now);

    /// Returns when the latest order was sent that the announced incarnation has answered under this holder's
    /// fencing token; the earliest time point if there is none.
    TimePoint confirmedAt() const;

    bool hasFinished() const;
    std::vector<FinishedRun> takeFinished();

    /// Returns the crashes of the upstream, certain or possible, under the tasks that it ran.
    std::vector<TaskCrash> takeCrashes();

private:
    enum class Phase {
        /// The start order is unanswered.
        Starting,
        Running,
        /// The start order timed out; the run may start later.
        Unconfirmed,
    };

    /// The stop orders of a run.
    struct Stop
    {
        OrderId stopOrder = 0;
        TimePoint stopRetryAt;
        /// When the run must have ended, which bounds the lease in all orders: the end of the lease at the
        /// first stop order.
        std::optional<TimePoint> endDeadline;
    };

    struct Run : Stop
    {
        std::uint64_t attempt = 0;
        std::uint32_t run = 0;
        /// When the run has ended on any incarnation, whenever the start order was executed.
        TimePoint startOrderEndsAt;
        Phase phase = Phase::Starting;
        /// Whether the run has to be stopped.
        bool isStopNeeded = false;
        /// Whether stop() requested it, as opposed to a start order without an answer.
        bool isStopRequested = false;
        bool isStopAcknowledged = false;
        /// Whether the upstream has accepted the start order, or listed the run.
        bool hasRun = false;
        /// Whether it is known to be the present incarnation that has the run, by its list or its clock.
        bool isConfirmed = false;
        /// Whether the present incarnation has listed the run.
        bool isListed = false;
        /// Whether the upstream has restarted since the start order was sent.
        bool hasUpstreamRestarted = false;
        /// Whether the silence of the upstream was recorded for the count of crashes.
        bool isSilenceRecorded = false;
        /// Whether the present incarnation has ended the run and rejects its start order.
        bool isEndConfirmed = false;
        /// Earlier incarnation that had ended when the start order was unanswered. It has crashed under the
        /// task unless it did not get the order, or the present one has the run.
        std::optional<std::uint64_t> incarnationInDoubt;
        /// Whether the start order was answered, or was not sent, so that it is not executed later.
        bool isStartAnswered = false;
        /// First poll sent after the stop was acknowledged; if it lists no such run, the run has ended.
        std::uint64_t confirmingPoll = 0;
    };

    /// A run that another holder started.
    struct ForeignRun : Stop
    {
    };

    struct OpenOrder
    {
        OrderKind kind = OrderKind::Poll;
        std::string task;
        std::uint32_t run = 0;
        std::uint64_t poll = 0;
        TimePoint sentAt;
        /// Tells the incarnation that it was meant for, and where it was sent.
        std::uint64_t fence = 0;
        std::string address;
        std::uint16_t port = 0;
    };

    std::int64_t clockLowerBound(TimePoint now) const;
    /// Whether the runs have ended although the upstream did not report it.
    bool isLeaseExpired(TimePoint now) const;
    /// Whether the upstream is about to end, or may have ended.
    bool isEnding(TimePoint now) const;
    /// Whether the next incarnation, which is to be expected, may execute the start order of @p run.
    bool mayStartLater(TimePoint now, const Run &run) const;
    /// Handles that every lease given to the upstream has expired.
    void leaseExpired(TimePoint now);
    /// Whether the clock in an answer shows that an incarnation has answered that is not known yet.
    bool isOfUnknownIncarnation(const OpenOrder &open, const OrderResult &result) const;
    void updateClock(TimePoint now, std::int64_t clockMs);
    /// Returns the earliest end deadline of the runs with an unanswered stop, if there is one.
    std::optional<TimePoint> earliestEndDeadline() const;
    /// Returns the lease for an order sent now, on the upstream's clock.
    std::int64_t newLeaseMs(TimePoint now) const;
    /// Whether the upstream has answered an order within the renewal timeout.
    bool isAnswering(TimePoint now) const;
    void recordAnswer(TimePoint now, const OpenOrder &open, const OrderResult &result);
    RunOrder newOrder(OrderKind kind) const;
    /// Whether the upstream has neither moved nor restarted since the order was sent.
    bool isForPresentIncarnation(const OpenOrder &open) const;
    OrderId send(RunOrder order, OpenOrder open);
    void sendPoll(TimePoint now);
    void sendStop(TimePoint now, const std::string &task, std::uint32_t run, Stop &stop);
    void startEnded(TimePoint now, const OpenOrder &open, const OrderResult &result);
    void stopEnded(TimePoint now, const OpenOrder &open, OrderId id, const OrderResult &result);
    void pollEnded(TimePoint now, const OpenOrder &open, const OrderResult &result);
    void recordEnd(const EndedRun &end);
    void finish(std::map<std::string, Run>::iterator it, RunOutcome outcome,
                OrderVerdict verdict = OrderVerdict::Accepted);
    /// Ends a run without a result.
    void lose(std::map<std::string, Run>::iterator it, RunLoss loss);
    void loseAll(RunLoss loss);
    /// Continues with a new incarnation; @p previous is what the earlier one announced.
    void resetForNewIncarnation(TimePoint now, const UpstreamAnnouncement &previous);
    /// Records for each run that the incarnation announced by @p announcement may have had that it has ended,
    /// or only been silent.
    void recordCrashes(const UpstreamAnnouncement &announcement, bool hasEnded);
    void recordCrash(const std::string &task, std::uint64_t incarnation, CrashState state);
    /// Records what became of the incarnation in doubt of a run, if there is one.
    void concludeDoubt(const std::string &task, Run &run, CrashState state);
    /// The upstream leaves. It may continue its runs until it gets the acknowledgement of its departure.
    void upstreamLeft(TimePoint now);
    /// Another upstream has the address of this one, which has ended.
    void upstreamReplaced();
    bool hasWork(TimePoint now) const;

    UpstreamRunsOptions m_options;
    FleetAnnouncement m_announcement;
    SendOrder m_send;
    std::map<std::string, Run> m_runs;
    std::map<RunId, ForeignRun, bool (*)(const RunId &, const RunId &)> m_foreignRuns;
    std::map<OrderId, OpenOrder> m_orders;
    std::int64_t m_clockMs = 0;
    std::optional<TimePoint> m_clockReadAt;
    std::uint64_t m_fence = 0;
    /// Latest lease sent in any order, including unanswered ones, or that an order with an earlier fencing
    /// token may have given.
    std::int64_t m_leaseMs = 0;
    /// When the last order to an earlier incarnation can't be executed any more. Set when one has ended; no
    /// run is started before the first answer.
    TimePoint m_earlierOrdersEndAt;
    /// When the latest lease ends if an incarnation has got it that is not known yet: its clock is behind.
    TimePoint m_unconfirmedRunsEndAt;
    /// When isStartOrderOut() ends.
    TimePoint m_startOrdersEndAt;
    std::uint64_t m_lastSeenEnd = 0;
    std::uint64_t m_acknowledgedThrough = 0;
    std::uint64_t m_nextPoll = 1;
    bool m_isPolling = false;
    Duration m_lag{};
    TimePoint m_tickedAt;
    Duration m_pollDelay{};
    TimePoint m_nextPollAt;
    std::optional<TimePoint> m_lastAnswerAt;
    TimePoint m_confirmedAt;
    bool m_isFenceKnown = false;
    bool m_isUnresponsive = false;
    bool m_isTakenOver = false;
    bool m_hasLeft = false;
    bool m_isReplaced = false;
    std::vector<FinishedRun> m_finished;
    std::vector<TaskCrash> m_crashes;
};

} // namespace Citronpitch
