#pragma once

#include "citronpitch/nametable.h"
#include "citronpitch/resources.h"
#include "citronpitch/timepoint.h"

#include <array>
#include <cstdint>
#include <string>

namespace Citronpitch {

/// What an upstream says of itself when it announces or renews.
struct UpstreamAnnouncement
{
    std::string name;
    /// IP number on which the upstream takes start messages.
    std::string address;
    std::uint16_t port = 0;
    /// Tasks it runs side by side.
    std::uint32_t slots = 0;
    Resources capacity;
    std::string rack;
    /// Start of the upstream's life, in microseconds since the Unix epoch; a later one replaces an earlier
    /// one.
    std::uint64_t incarnation = 0;
    /// No new work is sent after this moment unless the lease is renewed.
    TimePoint leaseDeadline;
    bool leaving = false;
};

/// How an attempt to run a task ended.
enum class AttemptEnd {
    /// The start message was never written to a socket.
    NotSent,
    /// The upstream said that it did not start the task.
    Declined,
    /// The upstream answered with the task's result.
    Answered,
    /// The start message was written in whole or in part, and no answer came.
    Broken,
    /// The task was stopped, or is known to have ended without a result through no fault of its upstream.
    Stopped,
};

inline constexpr std::array attemptEndNames{
    EnumName<AttemptEnd>{AttemptEnd::NotSent, "not-sent"},
    EnumName<AttemptEnd>{AttemptEnd::Declined, "declined"},
    EnumName<AttemptEnd>{AttemptEnd::Answered, "answered"},
    EnumName<AttemptEnd>{AttemptEnd::Broken, "broken"},
    EnumName<AttemptEnd>{AttemptEnd::Stopped, "stopped"},
};

/// Whether an upstream's HTTP status says that the task succeeded.
constexpr bool isSuccess(int status)
{
    constexpr int firstSuccess = 200;
    constexpr int firstRedirect = 300;
    return status >= firstSuccess && status < firstRedirect;
}

/// Result of one attempt, as the connection to the upstream saw it.
struct AttemptResult
{
    AttemptEnd end = AttemptEnd::Broken;
    /// HTTP status for Answered and Declined, else zero.
    int status = 0;
    std::string body;
};

} // namespace Citronpitch
