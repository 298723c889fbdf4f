#pragma once

#include "citronpitch/resources.h"
#include "citronpitch/upstream.h"

#include <cstdint>

namespace Citronpitch {

/// Processor time, in thousandths of a core, that is counted for a task without declared needs on an upstream
/// without slots.
constexpr std::uint32_t defaultMillicores = 1000;

/// An amount of capacity of an upstream: slots, resources, or both.
struct Capacity
{
    std::uint32_t slots = 0;
    Resources resources;

    bool operator==(const Capacity &) const = default;
    Capacity &operator+=(const Capacity &other);
    /// Subtracts @p other; each dimension saturates at zero.
    Capacity &operator-=(const Capacity &other);
    /// Whether no dimension of @p other is greater.
    bool contains(const Capacity &other) const;
    bool isEmpty() const;
};

/// Returns the minimum of two amounts in each dimension.
Capacity elementwiseMinimum(const Capacity &left, const Capacity &right);

/// Returns the larger of each component.
Capacity elementwiseMaximum(const Capacity &left, const Capacity &right);

/// Returns the total capacity in @p announcement.
Capacity capacityOf(const UpstreamAnnouncement &announcement);

/// Whether an upstream of capacity @p total is counted in resources, alone or besides slots.
bool hasResources(const Capacity &total);

/// Returns the capacity that a task with @p need occupies on an upstream with capacity @p total.
Capacity costOf(const Resources &need, const Capacity &total);

} // namespace Citronpitch
