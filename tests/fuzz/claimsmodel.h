#pragma once

#include "citronpitch/testfaults.h"
#include "fuzz/fuzzmodel.h"

#include <cstdint>

namespace Citronpitch {

/// One run of the claims model.
struct ClaimsFuzz
{
    std::uint64_t seed = 1;
    std::uint64_t steps = 10'000;
    TestFaults faults;
    /// Whether a failing sequence is shrunk.
    bool isShrinking = true;
};

/**
 * Fuzzes entry VMs in a Simulation, in sequences of which each starts from nothing and ends with all faults
 * healed.
 */
FuzzReport fuzzClaims(const ClaimsFuzz &fuzz);

} // namespace Citronpitch
