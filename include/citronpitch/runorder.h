#pragma once

#include "citronpitch/nametable.h"
#include "citronpitch/timepoint.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Citronpitch {

using OrderId = std::uint64_t;

/// Number of low bits of an order's fencing token that distinguish the incarnations of one upstream under one
/// holder. JSON parsers that read numbers as doubles leave 21 bits for the tokens of holders.
inline constexpr int incarnationFenceBits = 32;

/// Returns the fencing token of orders to an incarnation of an upstream. It increases with the token of the
/// holder, and with @p sequence under one holder.
constexpr std::uint64_t orderFence(std::uint64_t holderFence, std::uint32_t sequence)
{
    return (holderFence << incarnationFenceBits) | sequence;
}

/// Kind of an order to an upstream.
enum class OrderKind {
    Start,
    Stop,
    /// List the running and ended runs, discard the acknowledged ends, and renew the lease.
    Poll,
};

inline constexpr std::array orderKindNames{
    EnumName<OrderKind>{OrderKind::Start, "start"},
    EnumName<OrderKind>{OrderKind::Stop, "stop"},
    EnumName<OrderKind>{OrderKind::Poll, "poll"},
};

/// An order to an upstream.
struct RunOrder
{
    OrderId id = 0;
    OrderKind kind = OrderKind::Poll;
    std::string upstream;
    std::string address;
    std::uint16_t port = 0;
    /// Incarnation of the upstream that the order is meant for, as far as the holder knows.
    std::uint64_t incarnation = 0;
    /// Fencing token; the upstream rejects an order whose token is lower than the highest that it has seen.
    std::uint64_t fence = 0;
    /// Start and Stop: the task and the number of its run.
    std::string task;
    std::uint32_t run = 0;
    /// Start: what the task executes.
    std::string payload;
    /// Time on the upstream's clock, in milliseconds, until which its runs may continue; zero leaves the
    /// lease as it is.
    std::int64_t leaseMs = 0;
    /// Poll: ends up to this number were received.
    std::uint64_t acknowledgedThrough = 0;
    /// Poll: how long the upstream may delay its answer while no run ends.
    Duration wait{};
    /// Time after which the order counts as unanswered.
    Duration timeout{};
    /// An order that starts a run or renews the lease must not be sent from then on: its run may have been
    /// given up, and an upstream that has restarted meanwhile would execute it. Nothing if it may be sent at
    /// any time.
    std::optional<TimePoint> sendDeadline;
};

/// How an upstream answered an order, or why there is no answer.
enum class OrderVerdict {
    Accepted,
    /// Not started: no capacity.
    NoRoom,
    /// Rejected: the upstream has seen a higher fencing token.
    StaleFence,
    /// Not started: a run with this or a higher number was stopped or has ended there.
    StaleRun,
    /// Not started: the lease in the order has expired.
    TooLate,
    /// Not executed: the upstream is unhealthy.
    Unhealthy,
    /// Another incarnation of the upstream answered; runs of the previous one have ended.
    OtherIncarnation,
    /// Not executed: the upstream can't parse the order.
    Invalid,
    /// Nothing was sent, so the order can't be executed.
    NotSent,
    /// Nothing was sent because of a limit of this VM, so the order can't be executed. Says nothing about the
    /// upstream.
    Limited,
    /// No answer; the order may have been executed or be executed later.
    NoAnswer,
};

inline constexpr std::array orderVerdictNames{
    EnumName<OrderVerdict>{OrderVerdict::Accepted, "accepted"},
    EnumName<OrderVerdict>{OrderVerdict::NoRoom, "noRoom"},
    EnumName<OrderVerdict>{OrderVerdict::StaleFence, "staleFence"},
    EnumName<OrderVerdict>{OrderVerdict::StaleRun, "staleRun"},
    EnumName<OrderVerdict>{OrderVerdict::TooLate, "tooLate"},
    EnumName<OrderVerdict>{OrderVerdict::Unhealthy, "unhealthy"},
    EnumName<OrderVerdict>{OrderVerdict::OtherIncarnation, "otherIncarnation"},
    EnumName<OrderVerdict>{OrderVerdict::Invalid, "invalid"},
    EnumName<OrderVerdict>{OrderVerdict::NotSent, "notSent"},
    EnumName<OrderVerdict>{OrderVerdict::Limited, "limited"},
    EnumName<OrderVerdict>{OrderVerdict::NoAnswer, "noAnswer"},
};

/// How a run ended on its upstream.
enum class RunEndKind {
    Done,
    Failed,
    /// Stopped by an order.
    Stopped,
    /// Its lease expired.
    Lapsed,
    /// Ended because a run that it depends on ended.
    Aborted,
};

inline constexpr std::array runEndKindNames{
    EnumName<RunEndKind>{RunEndKind::Done, "done"},       EnumName<RunEndKind>{RunEndKind::Failed, "failed"},
    EnumName<RunEndKind>{RunEndKind::Stopped, "stopped"}, EnumName<RunEndKind>{RunEndKind::Lapsed, "lapsed"},
    EnumName<RunEndKind>{RunEndKind::Aborted, "aborted"},
};

/// Identifies a run by its task and number.
struct RunId
{
    std::string task;
    std::uint32_t run = 0;
};

/// The end of a run as its upstream reports it.
struct EndedRun
{
    /// Numbers the ends of one incarnation, from one.
    std::uint64_t number = 0;
    std::string task;
    std::uint32_t run = 0;
    RunEndKind kind = RunEndKind::Done;
};

/// Result of an order.
struct OrderResult
{
    OrderVerdict verdict = OrderVerdict::NoAnswer;
    /// The upstream's clock when it answered, in milliseconds.
    std::optional<std::int64_t> clockMs;
    /// Incarnation that answered, in the unit of UpstreamAnnouncement::incarnation; zero if not reported.
    std::uint64_t incarnation = 0;
    /// Accepted polls only.
    std::vector<RunId> running;
    std::vector<EndedRun> ended;
};

} // namespace Citronpitch
