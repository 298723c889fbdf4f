#pragma once

#include "fuzz/configurationcluster.h"

#include <cstdint>
#include <string>

namespace Citronpitch {

/// What a run of a fuzzer found.
struct FuzzResult
{
    bool hasPassed = false;
    std::uint64_t steps = 0;
    std::uint64_t events = 0;
    std::uint64_t faults = 0;
    std::uint64_t changesAccepted = 0;
    std::uint64_t changesRefused = 0;
    /// What failed, and the shrunk steps that lead to it; empty when the run passed.
    std::string failure;
};

/**
 * Runs about @p steps random steps against the replicated configuration. The same arguments give the same
 * run. @p faults switches a mechanism off, to show that the fuzzer notices; @p isShrinking looks for the
 * shortest steps that still fail. With @p toleratedLosses above zero the voters come and go, groups change
 * their holders, and as many disks are lost at once.
 */
FuzzResult fuzzConfiguration(std::uint64_t seed, std::uint64_t steps,
                             const ConfigurationTestFaults &faults = {}, bool isShrinking = true,
                             std::size_t toleratedLosses = 0);

} // namespace Citronpitch
