#pragma once

#include "linearfit.h"

#include <string>
#include <vector>

namespace Citronpitch {

/// Bytes on all links for each change of the configuration, and the longest time until one is in force
/// everywhere, against the number of VMs.
std::vector<MeasuredSlope> measureConfigurationSlopes(const std::string &programs);

} // namespace Citronpitch
