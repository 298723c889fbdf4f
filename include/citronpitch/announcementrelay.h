#pragma once

#include "citronpitch/fleetannouncement.h"
#include "citronpitch/timepoint.h"

#include <map>
#include <string>
#include <vector>

namespace Citronpitch {

/// An announcement that a control VM passes on to the others.
struct RelayedAnnouncement
{
    FleetAnnouncement announcement;
    /// When it arrived at this VM.
    TimePoint arrivedAt;
    /// The others know all of it but its sequence number and the upstream's clock.
    bool isRenewal = false;
};

/**
 * @brief Collects announcements of upstreams that a control VM passes on to the others, so that they are sent
 * in few messages.
 *
 * Answers the load of a large fleet, in which almost all announcements only renew a lease. Those wait for a
 * common message; news are due at once. Does no I/O and reads no clock. Used by FleetControl.
 */
class AnnouncementRelay
{
public:
    /// Renewals wait for up to @p interval, which must be short compared to the upstreams' leases.
    explicit AnnouncementRelay(Duration interval);

    /// Adds an announcement; it replaces an earlier one of the same upstream that was not taken yet.
    void add(RelayedAnnouncement announcement);

    /// Returns what has to be sent now, ordered by upstream; empty if nothing is due.
    std::vector<RelayedAnnouncement> take(TimePoint now);

private:
    Duration m_interval;
    std::map<std::string, RelayedAnnouncement> m_pending;
    bool m_hasNews = false;
    TimePoint m_nextSendAt;
};

} // namespace Citronpitch
