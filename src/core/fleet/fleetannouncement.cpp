#include "citronpitch/fleetannouncement.h"

#include <xxhash.h>

namespace Citronpitch {

bool FleetAnnouncement::isRenewalOf(const FleetAnnouncement &earlier) const
{
    const auto &old = earlier.upstream;
    return upstream.incarnation == old.incarnation && upstream.address == old.address
        && upstream.port == old.port && upstream.slots == old.slots && upstream.capacity == old.capacity
        && upstream.rack == old.rack && upstream.labels == old.labels && upstream.leaving == old.leaving
        && hasLeft == earlier.hasLeft && domain == earlier.domain && pool == earlier.pool;
}

std::uint32_t FleetAnnouncement::digest() const
{
    // Two bytes keep the renewals of a large fleet small.
    constexpr std::uint64_t digests = 0xffff;
    std::string text;
    const auto add = [&](const auto &value) {
        if constexpr (std::is_arithmetic_v<std::remove_cvref_t<decltype(value)>>)
            text += std::to_string(value);
        else
            text += value;
        text += '\0';
    };
    add(upstream.address);
    add(upstream.port);
    add(upstream.slots);
    add(upstream.capacity.millicores);
    add(upstream.capacity.memoryBytes);
    add(upstream.capacity.accelerators);
    add(upstream.rack);
    add(domain);
    add(pool);
    for (const auto &it : upstream.labels)
        add(it);
    return static_cast<std::uint32_t>(XXH3_64bits(text.data(), text.size()) % digests) + 1;
}

} // namespace Citronpitch
