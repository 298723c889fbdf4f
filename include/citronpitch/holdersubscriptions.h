#pragma once

#include "citronpitch/configuration.h"

#include <cstddef>
#include <set>
#include <string>
#include <vector>

namespace Citronpitch {

/// Number of groups that an entry VM routes jobs to, in its own failure domain and in each other one. They
/// bound the links between entry VMs in a large fleet.
constexpr std::size_t subscribedOwnGroups = 6;
constexpr std::size_t subscribedOtherGroups = 1;

/// Returns the holders with which entry VM @p vm of @p domain exchanges heartbeats: those of a few groups of
/// each partitioned failure domain, chosen by a rendezvous hash so that all groups have about equally many
/// subscribers. @p vm itself is left out.
std::set<std::string> subscribedHolders(const std::string &vm, const std::string &domain,
                                        const std::vector<GroupHolder> &holders,
                                        const std::vector<DomainPartition> &partitions);

} // namespace Citronpitch
