#pragma once

#include <string>

namespace Citronpitch {

/// Measures the path of a task through one entry VM and through two; @p programs is the folder of the
/// programs. Writes `bench/results/path.json`. Returns the exit code.
int runPathBench(const std::string &programs);

} // namespace Citronpitch
