#include "citronpitch/fleetannouncement.h"

#include <xxhash.h>

#include <tuple>
#include <type_traits>

namespace Citronpitch {

namespace {

/// What renewals leave out, except for whether the upstream leaves or has left.
auto propertiesOf(const FleetAnnouncement &announcement)
{
    const auto &upstream = announcement.upstream;
    const auto &capacity = upstream.capacity;
    return std::tie(upstream.address, upstream.port, upstream.slots, capacity.millicores,
                    capacity.memoryBytes, capacity.accelerators, upstream.rack, announcement.domain,
                    announcement.pool, upstream.labels);
}

void append(std::string &text, const std::string &value)
{
    text += value;
    text += '\0';
}

template <typename Number>
requires std::is_arithmetic_v<Number>
void append(std::string &text, Number value)
{
    append(text, std::to_string(value));
}

void append(std::string &text, const std::vector<std::string> &values)
{
    for (const auto &it : values)
        append(text, it);
}

} // namespace

bool FleetAnnouncement::isRenewalOf(const FleetAnnouncement &earlier) const
{
    return upstream.incarnation == earlier.upstream.incarnation
        && upstream.leaving == earlier.upstream.leaving && hasLeft == earlier.hasLeft
        && propertiesOf(*this) == propertiesOf(earlier);
}

std::uint32_t FleetAnnouncement::digest() const
{
    // Two bytes keep the renewals of a large fleet small.
    constexpr std::uint64_t digests = 0xffff;
    std::string text;
    std::apply([&](const auto &...it) { (append(text, it), ...); }, propertiesOf(*this));
    return static_cast<std::uint32_t>(XXH3_64bits(text.data(), text.size()) % digests) + 1;
}

} // namespace Citronpitch
