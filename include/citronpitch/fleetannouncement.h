#pragma once

#include "citronpitch/upstream.h"

#include <cstdint>
#include <string>

namespace Citronpitch {

/// What an upstream of a fleet says of itself.
struct FleetAnnouncement
{
    UpstreamAnnouncement upstream;
    std::string domain;
    /// Pool of upstreams that run the same work.
    std::string pool;
    /// Rises with each announcement of one incarnation.
    std::uint64_t sequence = 0;
    /// The upstream's own steady clock, in milliseconds.
    std::int64_t clockMs = 0;
    /// It has left; nothing runs there any more.
    bool hasLeft = false;
};

} // namespace Citronpitch
