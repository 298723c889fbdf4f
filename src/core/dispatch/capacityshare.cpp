#include "core/dispatch/capacityshare.h"

#include <xxhash.h>

#include <algorithm>

namespace Citronpitch {

bool CapacityShare::setShare(std::uint32_t index, std::uint32_t count)
{
    const auto newCount = std::max(count, 1U);
    const bool isChange = index != m_index || newCount != m_count;
    m_index = index;
    m_count = newCount;
    return isChange;
}

Capacity CapacityShare::shareOf(const UpstreamEntry &upstream) const
{
    const auto &name = upstream.announcement.name;
    const auto rotation = static_cast<std::uint32_t>(XXH3_64bits(name.data(), name.size()) % m_count);
    const auto position = (m_index + rotation) % m_count;
    if (hasResources(upstream.total))
        return position == 0 ? upstream.total : Capacity();
    const auto slots = upstream.total.slots;
    return {slots / m_count + (position < slots % m_count ? 1 : 0), {}};
}

} // namespace Citronpitch
