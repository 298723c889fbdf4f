#pragma once

#include "loaddeployment.h"

#include <cstdint>
#include <string>

namespace Citronpitch {

/// One experiment of the load tool.
struct LoadBenchPlan
{
    std::string programs;
    Scenario scenario;
    SiteName site = SiteName::Clydeside;
    std::uint64_t seed = 1;
};

/// Runs a scenario once under each policy, prints a line for each, and writes `load-SCENARIO.json` and `.svg`
/// under bench/results. Returns 0 only where every run was sound.
int runLoadBench(const LoadBenchPlan &plan);

} // namespace Citronpitch
