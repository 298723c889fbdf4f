#pragma once

#include "citronpitch/nametable.h"
#include "citronpitch/resources.h"
#include "citronpitch/timepoint.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace Citronpitch {

/// Registration of an upstream, sent at its start and to renew its lease.
struct UpstreamAnnouncement
{
    std::string name;
    /// IP address on which the upstream accepts start messages.
    std::string address;
    std::uint16_t port = 0;
    /// Number of tasks that it runs concurrently; zero if it counts resources alone.
    std::uint32_t slots = 0;
    Resources capacity;
    std::string rack;
    /// Start time of the upstream process, in microseconds since the Unix epoch; a later incarnation replaces
    /// an earlier one.
    std::uint64_t incarnation = 0;
    /// No tasks are started after this time unless the lease is renewed.
    TimePoint leaseDeadline;
    bool leaving = false;
    /// Properties that jobs may require, such as its kind and its rack; in any order.
    std::vector<std::string> labels;
};

/// How an attempt to run a task ended.
enum class AttemptOutcome {
    /// The start message was never written to a socket.
    NotSent,
    /// The upstream answered that it did not start the task.
    Declined,
    /// The upstream answered with the task's result.
    Answered,
    /// The start message was written in whole or in part, but no answer was received.
    Broken,
    /// The task was stopped, or ended without a result for a reason that is not a fault of the upstream.
    Stopped,
};

inline constexpr std::array attemptOutcomeNames{
    EnumName<AttemptOutcome>{AttemptOutcome::NotSent, "not-sent"},
    EnumName<AttemptOutcome>{AttemptOutcome::Declined, "declined"},
    EnumName<AttemptOutcome>{AttemptOutcome::Answered, "answered"},
    EnumName<AttemptOutcome>{AttemptOutcome::Broken, "broken"},
    EnumName<AttemptOutcome>{AttemptOutcome::Stopped, "stopped"},
};

/// Whether an upstream's HTTP status says that the task succeeded.
constexpr bool isSuccess(int status)
{
    constexpr int firstSuccess = 200;
    constexpr int firstRedirect = 300;
    return status >= firstSuccess && status < firstRedirect;
}

/// Result of one attempt, as observed on the connection to the upstream.
struct AttemptResult
{
    AttemptOutcome outcome = AttemptOutcome::Broken;
    /// HTTP status for Answered and Declined, else zero.
    int status = 0;
    std::string body;
};

} // namespace Citronpitch
