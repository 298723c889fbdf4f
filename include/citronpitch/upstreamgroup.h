#pragma once

#include "citronpitch/configuration.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Citronpitch {

/**
 * Groups of upstreams by name.
 *
 * The group of a failure domain that is not partitioned has the name of the domain; those of a partitioned
 * one are named DOMAIN/GROUPS/INDEX. The number of groups is part of the name, so that groups of different
 * partitions never have the same name.
 */

/// Number of groups of @p domain; zero if it is not partitioned.
std::uint32_t partitionGroups(const std::vector<DomainPartition> &partitions, std::string_view domain);

/// Name of group @p index of a domain that is partitioned into @p groups groups.
std::string partitionGroupName(std::string_view domain, std::uint32_t groups, std::uint32_t index);

/// Names of all groups of @p domain.
std::vector<std::string> groupsOfDomain(const std::vector<DomainPartition> &partitions,
                                        const std::string &domain);

/// Name of the group that upstream @p upstream of @p domain belongs to.
std::string groupOfUpstream(const std::vector<DomainPartition> &partitions, const std::string &domain,
                            std::string_view upstream);

/// Whether @p upstream of @p domain belongs to @p group while the domain is divided so that the group exists.
bool isUpstreamOfGroup(std::string_view group, std::string_view domain, std::string_view upstream);

/// Whether @p group is a group of @p domain in any partition of it.
bool isGroupOfDomain(std::string_view group, std::string_view domain);

/// Whether the upstreams of a failure domain are divided so that @p group is one of its groups. Also true if
/// no domain in @p partitions has a group of this name in any partition.
bool isCurrentGroup(std::string_view group, const std::vector<DomainPartition> &partitions);

/// Rendezvous hash, which ranks VMs for a group, or groups for a VM.
std::uint64_t rendezvousHash(std::string_view group, std::string_view vm);

} // namespace Citronpitch
