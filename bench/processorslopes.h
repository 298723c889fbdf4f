#pragma once

#include "linearfit.h"

#include <string>
#include <vector>

namespace Citronpitch {

/// Processor seconds of an entry VM for each task start, forwarded job, announcement and heartbeat.
std::vector<MeasuredSlope> measureProcessorSlopes(const std::string &programs);

} // namespace Citronpitch
