#pragma once

#include "citronpitch/faultinjection.h"
#include "fuzz/fuzzmodel.h"

#include <cstdint>

namespace Citronpitch {

/// One run of the claims model.
struct ClaimsFuzzOptions
{
    std::uint64_t seed = 1;
    std::uint64_t steps = 10'000;
    FaultInjection faults;
    /// Whether a failing sequence is shrunk.
    bool isShrinking = true;
};

/**
 * Fuzzes entry VMs in a Simulation, in sequences of which each starts from nothing and ends with all faults
 * healed.
 */
FuzzReport fuzzClaims(const ClaimsFuzzOptions &fuzz);

} // namespace Citronpitch
