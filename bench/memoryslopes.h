#pragma once

#include "linearfit.h"

#include <string>
#include <vector>

namespace Citronpitch {

/// Resident bytes of an entry VM for each announced upstream, remembered key, open job and queued task.
std::vector<MeasuredSlope> measureMemorySlopes(const std::string &programs);

} // namespace Citronpitch
