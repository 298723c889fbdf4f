#pragma once

#include "citronpitch/configuration.h"
#include "citronpitch/timepoint.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Citronpitch {

/// When a failure domain is partitioned, and into how many groups.
struct PartitionPolicy
{
    /// A domain with more upstreams is partitioned.
    std::uint32_t partitionAbove = 600;
    /// Largest mean number of upstreams per group of a new partition.
    std::uint32_t upstreamsPerGroup = 24;
    /// A partition is changed only once its mean group size has been outside the permitted range for this
    /// long. Longer than two intervals between announcements, as a leader that has just started knows only
    /// some of the upstreams.
    Duration settleTime = std::chrono::milliseconds(3500);

    /// Range of the mean group size within which a partition is kept.
    std::uint32_t minimumMeanSize() const;
    std::uint32_t maximumMeanSize() const;
};

/// Size of a failure domain as the leader knows it.
struct DomainSize
{
    std::string domain;
    /// Upstreams that are announced and not leaving.
    std::uint32_t upstreams = 0;
    /// Entry VMs that can hold groups.
    std::uint32_t entryVms = 0;
};

/**
 * @brief Decides for the leader into how many groups the upstreams of each failure domain are divided.
 *
 * Each change moves all groups of a domain, so that a partition is kept within a wide range of sizes, and
 * nothing is decided for a domain without a reachable entry VM. Does no I/O and reads no clock. Used by
 * FleetControl.
 */
class PartitionPlanner
{
public:
    explicit PartitionPlanner(PartitionPolicy policy);

    /// Returns the partitions to set, given those that are in force.
    std::vector<DomainPartition> plan(TimePoint now, const std::vector<DomainSize> &domains,
                                      const std::vector<DomainPartition> &partitions);

    /// Forgets how long changes have been wanted. Called while this VM isn't the leader.
    void reset();

private:
    std::uint32_t wantedGroups(const DomainSize &domain) const;
    bool isChangeWanted(const DomainSize &domain, std::uint32_t current) const;

    PartitionPolicy m_policy;
    /// By domain: since when a change has been wanted without interruption.
    std::map<std::string, TimePoint> m_wantedSince;
};

} // namespace Citronpitch
