#pragma once

#include "settings/settings.h"

#include <cstdint>
#include <string>

namespace Citronpitch {

/// Many upstreams that exist only as announcements.
struct AnnouncedUpstreams
{
    std::uint32_t count = 0;
    std::uint32_t slots = 8;
    /// First part of their names.
    std::string prefix;
    /// Announcements that one PUT follows another by; zero: at once.
    Duration spacing{};
    /// Number of the first one.
    std::uint32_t first = 0;
};

/// Announces each of @p upstreams once over one connection to the control port @p control. Returns how many
/// were accepted.
std::uint32_t announceMany(const Endpoint &control, const AnnouncedUpstreams &upstreams);

} // namespace Citronpitch
