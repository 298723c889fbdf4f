#pragma once

#include "citronpitch/resources.h"
#include "citronpitch/upstream.h"

#include <cstdint>

namespace Citronpitch {

/// Processor time that a task without declared needs takes of an upstream that is not counted in slots, in
/// thousandths of a core.
constexpr std::uint32_t defaultMillicores = 1000;

/// An amount of what an upstream offers: slots, resources, or both.
struct Capacity
{
    std::uint32_t slots = 0;
    Resources resources;

    bool operator==(const Capacity &) const = default;
    Capacity &operator+=(const Capacity &other);
    /// Takes @p other away; no dimension goes below zero.
    Capacity &operator-=(const Capacity &other);
    /// Whether every dimension of @p other is contained.
    bool contains(const Capacity &other) const;
    bool isEmpty() const;
};

/// The lesser of two amounts in each dimension.
Capacity elementwiseMinimum(const Capacity &left, const Capacity &right);

/// All that @p announcement offers.
Capacity capacityOf(const UpstreamAnnouncement &announcement);

/// Whether an upstream of capacity @p total is counted in resources, alone or besides slots.
bool hasResources(const Capacity &total);

/// What a task that needs @p need takes of an upstream of capacity @p total.
Capacity costOf(const Resources &need, const Capacity &total);

} // namespace Citronpitch
