#include "core/dispatch/capacity.h"

#include <algorithm>

namespace Citronpitch {

namespace {

template <typename Number> Number difference(Number from, Number amount)
{
    return from > amount ? from - amount : 0;
}

} // namespace

Capacity &Capacity::operator+=(const Capacity &other)
{
    slots += other.slots;
    resources.millicores += other.resources.millicores;
    resources.memoryBytes += other.resources.memoryBytes;
    resources.accelerators += other.resources.accelerators;
    return *this;
}

Capacity &Capacity::operator-=(const Capacity &other)
{
    slots = difference(slots, other.slots);
    resources.millicores = difference(resources.millicores, other.resources.millicores);
    resources.memoryBytes = difference(resources.memoryBytes, other.resources.memoryBytes);
    resources.accelerators = difference(resources.accelerators, other.resources.accelerators);
    return *this;
}

bool Capacity::contains(const Capacity &other) const
{
    return slots >= other.slots && resources.millicores >= other.resources.millicores
        && resources.memoryBytes >= other.resources.memoryBytes
        && resources.accelerators >= other.resources.accelerators;
}

bool Capacity::isEmpty() const
{
    return *this == Capacity();
}

Capacity least(const Capacity &left, const Capacity &right)
{
    return {std::min(left.slots, right.slots),
            {std::min(left.resources.millicores, right.resources.millicores),
             std::min(left.resources.memoryBytes, right.resources.memoryBytes),
             std::min(left.resources.accelerators, right.resources.accelerators)}};
}

Capacity capacityOf(const UpstreamAnnouncement &announcement)
{
    return {announcement.slots, announcement.capacity};
}

bool hasResources(const Capacity &whole)
{
    return whole.resources != Resources();
}

Capacity costOf(const Resources &need, const Capacity &whole)
{
    Capacity cost{whole.slots > 0 ? 1U : 0U, need};
    if (whole.slots == 0 && need == Resources())
        cost.resources.millicores = defaultMillicores;
    return cost;
}

} // namespace Citronpitch
