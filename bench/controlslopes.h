#pragma once

#include "linearfit.h"

#include <string>
#include <vector>

namespace Citronpitch {

/// Control bytes and processor time of one VM against the number of VMs in its failure domain and against the
/// number of domains, and control bytes against the upstreams of a domain.
std::vector<MeasuredSlope> measureControlSlopes(const std::string &programs);

} // namespace Citronpitch
