#pragma once

#include "citronpitch/nametable.h"

#include <array>

namespace Citronpitch {

/// How queued tasks are ordered and upstreams are chosen.
enum class PlacementPolicy {
    /// By latency targets, learned service times, upstream health and admission control.
    Target,
    /// Baseline: first in, first out; upstreams in round-robin order.
    RoundRobin,
    /// Baseline: first in, first out; a random free upstream, from a seeded generator.
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
