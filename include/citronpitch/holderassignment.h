#pragma once

#include "citronpitch/configuration.h"
#include "citronpitch/fleetpeer.h"
#include "citronpitch/timepoint.h"

#include <map>
#include <string>
#include <vector>

namespace Citronpitch {

/// A VM of the fleet as the leader knows it when it assigns groups.
struct AssignmentVm
{
    FleetPeer peer;
    bool isAlive = false;
    bool isDraining = false;
    TimePoint lastMessageAt;
    /// It reports that its groups accept no jobs, so that others come first when groups are assigned.
    bool isOverloaded = false;
};

/// Conditions under which a group gets another holder.
struct AssignmentPolicy
{
    /// Time without a message after which a holder is replaced if its failure domain is reachable without it.
    Duration holderTimeout = std::chrono::milliseconds(700);
    /// How long a VM has to be reachable before a group of its domain fails back to it.
    Duration failbackDelay = std::chrono::seconds(2);
};

/**
 * Returns the holders to change, each with the fencing token that it replaces.
 *
 * @p domains are the failure domains with one group; PartitionAssigner assigns those of partitioned ones. The
 * group is held by a VM of that domain where possible, and otherwise by the control VM that holds the fewest
 * groups. A failure domain that is unreachable as a whole
 * keeps its holder, which continues to serve it. @p aliveSince holds, by VM name, the time since which each
 * VM has been reachable.
 */
std::vector<GroupHolder> assignHolders(TimePoint now, const AssignmentPolicy &policy,
                                       const std::vector<std::string> &domains,
                                       const std::vector<GroupHolder> &holders,
                                       const std::vector<AssignmentVm> &vms,
                                       const std::map<std::string, TimePoint> &aliveSince);

} // namespace Citronpitch
