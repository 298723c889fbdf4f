#pragma once

#include "citronpitch/fleetannouncement.h"
#include "citronpitch/timepoint.h"

#include <map>
#include <string>
#include <vector>

namespace Citronpitch {

/// An upstream that announced itself, and when its announcement arrived at a control VM.
struct RegisteredUpstream
{
    FleetAnnouncement announcement;
    TimePoint arrivedAt;
};

/**
 * @brief The upstreams of every failure domain, by the newest announcement of each.
 *
 * Used by FleetControl.
 */
class UpstreamRegistry
{
public:
    /// Silence after which an upstream is forgotten.
    explicit UpstreamRegistry(Duration retention);

    /// Takes over @p announcement. Returns false for one that is older than what is known.
    bool update(const FleetAnnouncement &announcement, TimePoint arrivedAt);

    /// Forgets what was silent for long.
    void expire(TimePoint now);

    const std::map<std::string, RegisteredUpstream> &upstreams() const;

private:
    Duration m_retention;
    std::map<std::string, RegisteredUpstream> m_upstreams;
};

} // namespace Citronpitch
