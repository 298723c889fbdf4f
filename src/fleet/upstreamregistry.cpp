#include "fleet/upstreamregistry.h"

#include "fleet/fleetwire.h"

#include "wire/fleet.pb.h"

#include <utility>

namespace Citronpitch {

UpstreamRegistry::UpstreamRegistry(Duration retention)
    : m_retention(retention)
{
}

bool UpstreamRegistry::update(const FleetAnnouncement &announcement, TimePoint arrivedAt)
{
    const auto [it, isNew] = m_upstreams.try_emplace(announcement.upstream.name);
    auto &known = it->second;
    if (!isNew) {
        const auto order = [](const FleetAnnouncement &of) {
            return std::pair(of.upstream.incarnation, of.sequence);
        };
        const bool isOlder = order(announcement) < order(known.announcement);
        // Announcements received after the upstream has left were delayed in transit.
        const bool isOfDepartedUpstream = known.announcement.hasLeft
            && known.announcement.upstream.incarnation >= announcement.upstream.incarnation;
        if (isOlder || isOfDepartedUpstream)
            return false;
        // A leaving upstream does not return to service in the same incarnation.
        const bool wasLeaving = known.announcement.upstream.leaving
            && known.announcement.upstream.incarnation == announcement.upstream.incarnation;
        known = {announcement, arrivedAt};
        known.announcement.upstream.leaving = known.announcement.upstream.leaving || wasLeaving;
        return true;
    }
    known = {announcement, arrivedAt};
    return true;
}

bool UpstreamRegistry::renew(const AnnouncementRenewal &renewal, TimePoint arrivedAt)
{
    const auto it = m_upstreams.find(renewal.upstream);
    if (it == m_upstreams.end() || it->second.announcement.upstream.incarnation != renewal.incarnation)
        return false;
    auto renewed = it->second.announcement;
    // What the upstream has announced since, such as other labels, has not arrived here.
    if (renewal.sequence > renewed.sequence && renewal.digest != 0 && renewal.digest != renewed.digest())
        return false;
    renewed.sequence = renewal.sequence;
    renewed.clockMs = renewal.clockMs;
    if (!renewed.upstream.leaving && !renewed.hasLeft)
        update(renewed, arrivedAt);
    return true;
}

bool UpstreamRegistry::renewAll(TimePoint now, const citronpitch::wire::fleet::AnnouncementBatch &batch,
                                const std::function<void(const RegisteredUpstream &)> &renewed)
{
    bool isComplete = true;
    for (const auto &it : batch.renewals()) {
        const auto renewal = fromWire(it);
        if (!renewal)
            continue;
        const bool isKnown = renew(*renewal, arrivalOf(now, it.age_us()));
        if (isKnown)
            renewed(m_upstreams.at(it.name()));
        isComplete = isComplete && isKnown;
    }
    return isComplete;
}

void UpstreamRegistry::expire(TimePoint now)
{
    std::erase_if(m_upstreams, [&](const auto &it) { return now - it.second.arrivedAt > m_retention; });
}

const std::map<std::string, RegisteredUpstream> &UpstreamRegistry::upstreams() const
{
    return m_upstreams;
}

} // namespace Citronpitch
