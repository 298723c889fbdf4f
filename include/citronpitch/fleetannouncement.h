#pragma once

#include "citronpitch/upstream.h"

#include <cstdint>
#include <string>

namespace Citronpitch {

/// What an upstream of a fleet announces about itself.
struct FleetAnnouncement
{
    UpstreamAnnouncement upstream;
    std::string domain;
    /// Pool of interchangeable upstreams that it belongs to.
    std::string pool;
    /// Increases with each announcement of one incarnation.
    std::uint64_t sequence = 0;
    /// The upstream's own steady clock, in milliseconds.
    std::int64_t clockMs = 0;
    /// The upstream has shut down, so nothing runs there any more.
    bool hasLeft = false;

    /// Whether this announcement only renews the lease of @p earlier.
    bool isRenewalOf(const FleetAnnouncement &earlier) const;

    /// Digest of what renewals leave out, except for whether the upstream leaves or has left. Never zero.
    std::uint32_t digest() const;
};

/// What changes in an announcement that only renews the lease of its upstream.
struct AnnouncementRenewal
{
    std::string upstream;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    std::int64_t clockMs = 0;
    /// FleetAnnouncement::digest() of the renewed announcement; zero if it is not known.
    std::uint32_t digest = 0;
};

} // namespace Citronpitch
