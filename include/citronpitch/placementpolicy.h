#pragma once

#include "citronpitch/nametable.h"

#include <array>

namespace Citronpitch {

/// How waiting tasks are ordered and upstreams chosen.
enum class PlacementPolicy {
    /// By targets, learned service times, health and admission.
    Target,
    /// Baseline: first in, first out; upstreams in turn.
    RoundRobin,
    /// Baseline: first in, first out; a free upstream drawn with a seeded generator.
    Random,
    /// Baseline: first in, first out; the upstream with the fewest attempts in flight.
    LeastOutstanding,
};

inline constexpr std::array placementPolicyNames{
    EnumName<PlacementPolicy>{PlacementPolicy::Target, "target"},
    EnumName<PlacementPolicy>{PlacementPolicy::RoundRobin, "round-robin"},
    EnumName<PlacementPolicy>{PlacementPolicy::Random, "random"},
    EnumName<PlacementPolicy>{PlacementPolicy::LeastOutstanding, "least-outstanding"},
};

} // namespace Citronpitch
