#pragma once

#include "citronpitch/configuration.h"
#include "citronpitch/fleetpeer.h"
#include "citronpitch/timepoint.h"

#include <map>
#include <string>
#include <vector>

namespace Citronpitch {

/// A VM as the leader sees it when it assigns groups.
struct AssignmentVm
{
    FleetPeer peer;
    bool isAlive = false;
    bool isDraining = false;
    TimePoint lastHeardAt;
};

/// When groups change their holder.
struct AssignmentPolicy
{
    /// Silence after which a holder is replaced where its failure domain is in reach without it.
    Duration holderTimeout = std::chrono::milliseconds(700);
    /// How long a VM has to be in reach before it gets a group that another one holds.
    Duration failbackDelay = std::chrono::seconds(2);
};

/**
 * The holders that have to change, each with the fence that it replaces.
 *
 * There is one group for each failure domain in @p domains, held there where a VM of it can. A failure domain
 * that is out of reach as a whole keeps its holder, which goes on serving it. @p aliveSince tells since when
 * each control VM has been in reach, by name.
 */
std::vector<GroupHolder> assignHolders(TimePoint now, const AssignmentPolicy &policy,
                                       const std::vector<std::string> &domains,
                                       const std::vector<GroupHolder> &holders,
                                       const std::vector<AssignmentVm> &vms,
                                       const std::map<std::string, TimePoint> &aliveSince);

} // namespace Citronpitch
