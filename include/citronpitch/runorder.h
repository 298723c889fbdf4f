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

/// What an upstream is told to do.
enum class OrderKind {
    Start,
    Stop,
    /// List what runs and what has ended, forget the ends that were seen, and renew the lease.
    Poll,
};

inline constexpr std::array orderKindNames{
    EnumName<OrderKind>{OrderKind::Start, "start"},
    EnumName<OrderKind>{OrderKind::Stop, "stop"},
    EnumName<OrderKind>{OrderKind::Poll, "poll"},
};

/// One order to an upstream.
struct RunOrder
{
    OrderId id = 0;
    OrderKind kind = OrderKind::Poll;
    std::string upstream;
    std::string address;
    std::uint16_t port = 0;
    /// Fencing token; the upstream obeys no lower one than it has seen.
    std::uint64_t fence = 0;
    /// Start and Stop: the task and the number of its run.
    std::string task;
    std::uint32_t run = 0;
    /// Start: what the task is to do.
    std::string payload;
    /// Moment on the upstream's clock, in milliseconds, until which everything there may run; zero: as
    /// before.
    std::int64_t leaseMs = 0;
    /// Poll: ends up to this number were seen.
    std::uint64_t acknowledgedThrough = 0;
    /// Poll: how long the upstream may wait for an end.
    Duration wait{};
    /// The order counts as unanswered after this time.
    Duration timeout{};
};

/// How an upstream took an order.
enum class OrderVerdict {
    Accepted,
    /// Nothing was started: no room.
    NoRoom,
    /// A higher fencing token was seen there.
    StaleFence,
    /// Nothing was started: a run with this number or a higher one was stopped or has ended there.
    StaleRun,
    /// Nothing was started: the lease that the order gives is over.
    TooLate,
    /// Nothing was done: the upstream is not well.
    Unhealthy,
    /// Another life of the upstream answered; nothing of before runs there.
    OtherIncarnation,
    /// The upstream can't read the order; nothing was done.
    Invalid,
    /// No byte was sent.
    NotSent,
    /// It may be carried out, also later.
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
    EnumName<OrderVerdict>{OrderVerdict::NoAnswer, "noAnswer"},
};

/// How a run ended on its upstream.
enum class RunEndKind {
    Done,
    Failed,
    /// It was stopped by an order.
    Stopped,
    /// Its lease was over.
    Lapsed,
    /// It ended with others that it depends on.
    Aborted,
};

inline constexpr std::array runEndKindNames{
    EnumName<RunEndKind>{RunEndKind::Done, "done"},       EnumName<RunEndKind>{RunEndKind::Failed, "failed"},
    EnumName<RunEndKind>{RunEndKind::Stopped, "stopped"}, EnumName<RunEndKind>{RunEndKind::Lapsed, "lapsed"},
    EnumName<RunEndKind>{RunEndKind::Aborted, "aborted"},
};

/// A run that an upstream lists as running.
struct RunId
{
    std::string task;
    std::uint32_t run = 0;
};

/// A run that an upstream lists as ended.
struct EndedRun
{
    /// Rises from one with each end of one incarnation.
    std::uint64_t number = 0;
    std::string task;
    std::uint32_t run = 0;
    RunEndKind kind = RunEndKind::Done;
};

/// What came back for an order.
struct OrderResult
{
    OrderVerdict verdict = OrderVerdict::NoAnswer;
    /// The upstream's clock, in milliseconds, when it answered.
    std::optional<std::int64_t> clockMs;
    /// Start of the life that answered, in the unit of UpstreamAnnouncement::incarnation; zero: not said.
    std::uint64_t incarnation = 0;
    /// Accepted polls only.
    std::vector<RunId> running;
    std::vector<EndedRun> ended;
};

} // namespace Citronpitch
