#include "core/dispatch/capacityshare.h"

#include <xxhash.h>

#include <algorithm>

namespace Citronpitch {

bool CapacityShare::setParts(std::uint32_t part, std::uint32_t parts)
{
    const auto newParts = std::max(parts, 1U);
    const bool isChange = part != m_part || newParts != m_parts;
    m_part = part;
    m_parts = newParts;
    return isChange;
}

Capacity CapacityShare::base(const UpstreamEntry &upstream) const
{
    const auto &name = upstream.announcement.name;
    const auto rotation = static_cast<std::uint32_t>(XXH3_64bits(name.data(), name.size()) % m_parts);
    const auto position = (m_part + rotation) % m_parts;
    if (hasResources(upstream.whole))
        return position == 0 ? upstream.whole : Capacity();
    const auto slots = upstream.whole.slots;
    return {slots / m_parts + (position < slots % m_parts ? 1 : 0), {}};
}

} // namespace Citronpitch
