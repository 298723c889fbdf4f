#include "core/dispatch/capacity.h"

#include <algorithm>

namespace Citronpitch {

namespace {

template <typename Number> Number subtractSaturating(Number from, Number amount)
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
    slots = subtractSaturating(slots, other.slots);
    resources.millicores = subtractSaturating(resources.millicores, other.resources.millicores);
    resources.memoryBytes = subtractSaturating(resources.memoryBytes, other.resources.memoryBytes);
    resources.accelerators = subtractSaturating(resources.accelerators, other.resources.accelerators);
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

Capacity elementwiseMinimum(const Capacity &left, const Capacity &right)
{
    return {std::min(left.slots, right.slots),
            {std::min(left.resources.millicores, right.resources.millicores),
             std::min(left.resources.memoryBytes, right.resources.memoryBytes),
             std::min(left.resources.accelerators, right.resources.accelerators)}};
}

Capacity elementwiseMaximum(const Capacity &left, const Capacity &right)
{
    return {std::max(left.slots, right.slots),
            {std::max(left.resources.millicores, right.resources.millicores),
             std::max(left.resources.memoryBytes, right.resources.memoryBytes),
             std::max(left.resources.accelerators, right.resources.accelerators)}};
}

Capacity capacityOf(const UpstreamAnnouncement &announcement)
{
    return {announcement.slots, announcement.capacity};
}

bool hasResources(const Capacity &total)
{
    return total.resources != Resources();
}

Capacity costOf(const Resources &need, const Capacity &total)
{
    Capacity cost{total.slots > 0 ? 1U : 0U, need};
    if (total.slots == 0 && need == Resources())
        cost.resources.millicores = defaultMillicores;
    return cost;
}

} // namespace Citronpitch
