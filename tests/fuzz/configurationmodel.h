#pragma once

#include "fuzz/configurationcluster.h"

#include <cstdint>
#include <string>

namespace Citronpitch {

/// Result of a fuzzer run.
struct FuzzResult
{
    bool hasPassed = false;
    std::uint64_t steps = 0;
    std::uint64_t events = 0;
    std::uint64_t faults = 0;
    std::uint64_t changesAccepted = 0;
    std::uint64_t changesRefused = 0;
    /// The violated invariant and the shrunk steps that cause it; empty if the run passed.
    std::string failure;
};

/**
 * Runs about @p steps random steps against the replicated configuration. The same arguments give the same
 * run. @p faults and @p journalFaults inject faults to show that the fuzzer detects them. @p isShrinking
 * minimizes the failing steps. A non-zero @p toleratedLosses selects dynamic membership: voters are replaced,
 * groups change holders, and that many disks are lost at once.
 */
FuzzResult fuzzConfiguration(std::uint64_t seed, std::uint64_t steps,
                             const ConfigurationTestFaults &faults = {}, bool isShrinking = true,
                             std::size_t toleratedLosses = 0, const JournalTestFaults &journalFaults = {});

} // namespace Citronpitch
