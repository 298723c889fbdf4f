#pragma once

#include <string>

namespace Citronpitch {

/// Measures how memory, processor time and control traffic grow with the size of a deployment, at three sizes
/// or more each, and fits a line. Writes `bench/results/slopes.json`. Returns the exit code.
int runSlopesBench(const std::string &programs);

} // namespace Citronpitch
