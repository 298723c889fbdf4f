#pragma once

#include "citronpitch/placementpolicy.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

namespace Citronpitch {

/// A free upstream that a baseline policy can choose.
struct BaselineCandidate
{
    /// Position of the upstream in a fixed order of all upstreams.
    std::size_t upstream = 0;
    /// Attempts in flight on it.
    std::uint32_t outstanding = 0;
};

/// Returns the position of the chosen candidate in a non-empty list that is sorted by upstream.
using BaselineSelector = std::function<std::size_t(const std::vector<BaselineCandidate> &candidates)>;

/// Returns the selector of a baseline @p policy; empty for PlacementPolicy::Target. @p seed is used by
/// PlacementPolicy::Random.
BaselineSelector makeBaselineSelector(PlacementPolicy policy, std::uint64_t seed);

} // namespace Citronpitch
