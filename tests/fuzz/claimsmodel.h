#pragma once

#include "citronpitch/faultinjection.h"
#include "fuzz/fuzzmodel.h"

#include <cstdint>

namespace Citronpitch {

/// Parameters of a run of the claims model.
struct ClaimsFuzzOptions
{
    std::uint64_t seed = 1;
    std::uint64_t steps = 10'000;
    FaultInjection faults;
    /// Whether a failing command sequence is minimized.
    bool isShrinking = true;
};

/**
 * Runs random command sequences against entry VMs in a Simulation until @p fuzz.steps commands were executed
 * or a sequence fails. Each sequence starts with a new simulation and ends with all faults removed.
 */
FuzzReport fuzzClaims(const ClaimsFuzzOptions &fuzz);

} // namespace Citronpitch
