#pragma once

#include "citronpitch/fleetannouncement.h"
#include "citronpitch/timepoint.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace citronpitch::wire::fleet {
class AnnouncementBatch;
} // namespace citronpitch::wire::fleet

namespace Citronpitch {

/// The newest announcement of an upstream, and when it arrived at a control VM.
struct RegisteredUpstream
{
    FleetAnnouncement announcement;
    TimePoint arrivedAt;
};

/**
 * @brief Holds the newest announcement of each upstream in all failure domains.
 *
 * Used by FleetControl.
 */
class UpstreamRegistry
{
public:
    /// Upstreams without an announcement for longer than @p retention are removed.
    explicit UpstreamRegistry(Duration retention);

    /// Records @p announcement. Returns false if a newer one is known or the upstream has left.
    bool update(const FleetAnnouncement &announcement, TimePoint arrivedAt);

    /// Renews the announcement of an upstream that did not change otherwise. Returns false, and renews
    /// nothing, if the announcement that is renewed is not known; an older sequence number has no effect.
    bool renew(const AnnouncementRenewal &renewal, TimePoint arrivedAt);

    /// Applies the renewals of @p batch, which arrived at @p now, and calls @p renewed with each upstream
    /// that is known. Returns whether all are; if not, this VM has missed an announcement.
    bool renewAll(TimePoint now, const citronpitch::wire::fleet::AnnouncementBatch &batch,
                  const std::function<void(const RegisteredUpstream &)> &renewed);

    /// Removes upstreams without recent announcements.
    void expire(TimePoint now);

    const std::map<std::string, RegisteredUpstream> &upstreams() const;

private:
    Duration m_retention;
    std::map<std::string, RegisteredUpstream> m_upstreams;
};

} // namespace Citronpitch
