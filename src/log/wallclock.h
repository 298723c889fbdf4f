#pragma once

#include "citronpitch/timepoint.h"

namespace Citronpitch {

/// The time of day, which may jump; for logs, and for telling lives of a process apart.
inline TimePoint wallClock()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now());
}

} // namespace Citronpitch
