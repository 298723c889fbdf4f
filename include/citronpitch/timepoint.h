#pragma once

#include <chrono>
#include <cstdint>

namespace Citronpitch {

/// A length of time, in microseconds.
using Duration = std::chrono::microseconds;

/// A moment in microseconds since the Unix epoch. Decision code is given the current one and never reads a
/// clock.
using TimePoint = std::chrono::sys_time<Duration>;

/// The moment @p microseconds after the Unix epoch.
constexpr TimePoint timePointOf(std::int64_t microseconds)
{
    return TimePoint(Duration(microseconds));
}

/// Microseconds from the Unix epoch to @p moment.
constexpr std::int64_t microsecondsOf(TimePoint moment)
{
    return moment.time_since_epoch().count();
}

} // namespace Citronpitch
