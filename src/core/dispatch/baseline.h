#pragma once

#include "citronpitch/placementpolicy.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

namespace Citronpitch {

/// A free upstream as a baseline sees it.
struct BaselineCandidate
{
    /// Position of the upstream in a fixed order of all of them.
    std::size_t upstream = 0;
    /// Attempts in flight on it.
    std::uint32_t outstanding = 0;
};

/// Picks a position in a non-empty list of candidates that is ordered by upstream.
using BaselineSelector = std::function<std::size_t(const std::vector<BaselineCandidate> &candidates)>;

/// Choice of the baseline @p policy; empty for PlacementPolicy::Target. @p seed is used by the random one.
BaselineSelector makeBaselineSelector(PlacementPolicy policy, std::uint64_t seed);

} // namespace Citronpitch
