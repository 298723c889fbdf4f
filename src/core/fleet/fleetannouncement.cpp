#include "citronpitch/fleetannouncement.h"

namespace Citronpitch {

bool FleetAnnouncement::isRenewalOf(const FleetAnnouncement &earlier) const
{
    const auto &old = earlier.upstream;
    return upstream.incarnation == old.incarnation && upstream.address == old.address
        && upstream.port == old.port && upstream.slots == old.slots && upstream.capacity == old.capacity
        && upstream.rack == old.rack && upstream.leaving == old.leaving && hasLeft == earlier.hasLeft
        && domain == earlier.domain && pool == earlier.pool;
}

} // namespace Citronpitch
