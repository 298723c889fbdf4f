#pragma once

#include "citronpitch/timepoint.h"

namespace Citronpitch {

/// Returns the system time, which may be set back or forward. Used for log lines and to number incarnations.
inline TimePoint wallClock()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now());
}

} // namespace Citronpitch
