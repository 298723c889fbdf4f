#pragma once

#include <string>

namespace Citronpitch {

/// Where a run of the state bench works and what it writes into its results.
struct StateBenchOptions
{
    /// Folder for journals; emptied.
    std::string folder = "build/statebench";
    /// File for the results.
    std::string resultFile = "bench/results/state-claims.json";
    /// Commit that is measured.
    std::string commit = "unknown";
};

/**
 * Measures what claims cost with and without a synced write, and how long a restart takes for journals of
 * several lengths. Writes JSON and prints it. Returns the exit code.
 */
int runStateBench(const StateBenchOptions &options);

} // namespace Citronpitch
