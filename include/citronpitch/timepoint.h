#pragma once

#include <chrono>
#include <cstdint>

namespace Citronpitch {

/// Duration in microseconds.
using Duration = std::chrono::microseconds;

/// Point in time in microseconds since the Unix epoch. The decision code takes the current time as a
/// parameter and never reads a clock.
using TimePoint = std::chrono::sys_time<Duration>;

/// Converts microseconds since the Unix epoch to a TimePoint.
constexpr TimePoint timePointOf(std::int64_t microseconds)
{
    return TimePoint(Duration(microseconds));
}

/// Converts a TimePoint to microseconds since the Unix epoch.
constexpr std::int64_t microsecondsOf(TimePoint moment)
{
    return moment.time_since_epoch().count();
}

} // namespace Citronpitch
