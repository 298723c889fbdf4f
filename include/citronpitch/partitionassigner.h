#pragma once

#include "citronpitch/holderassignment.h"

#include <map>
#include <string>
#include <vector>

namespace Citronpitch {

/**
 * @brief Assigns the groups of partitioned failure domains to entry VMs of these domains.
 *
 * The VM with the fewest groups comes first, and a rendezvous hash of group and VM decides among equals. A
 * group without a reachable entry VM in its domain keeps its holder. Does no I/O and reads no clock. Used by
 * FleetControl.
 */
class PartitionAssigner
{
public:
    explicit PartitionAssigner(AssignmentPolicy policy);

    /// Returns the holders to change, each with the fencing token that it replaces. The parameters are those
    /// of assignHolders().
    std::vector<GroupHolder> assign(TimePoint now, const std::vector<DomainPartition> &partitions,
                                    const std::vector<GroupHolder> &holders,
                                    const std::vector<AssignmentVm> &vms,
                                    const std::map<std::string, TimePoint> &aliveSince);

private:
    /// An entry VM that can hold groups.
    struct Candidate
    {
        const AssignmentVm *vm = nullptr;
        /// Whether it has been reachable for the failback delay.
        bool isStable = false;
        std::size_t groups = 0;
    };

    /// An entry VM of the domain, whether or not it can hold groups.
    using VmsByName = std::map<std::string, const AssignmentVm *>;

    std::vector<GroupHolder> assignDomain(TimePoint now, const DomainPartition &partition,
                                          const std::map<std::string, GroupHolder> &holders,
                                          const std::vector<AssignmentVm> &vms,
                                          const std::map<std::string, TimePoint> &aliveSince);
    bool isReplacementDue(TimePoint now, const GroupHolder &holder, const VmsByName &vms,
                          const std::vector<Candidate> &candidates,
                          const std::map<std::string, TimePoint> &aliveSince) const;
    static Candidate *choose(std::vector<Candidate> &candidates, const std::string &group);
    /// Moves one group from the VM with the most groups to the one with the fewest.
    void balance(TimePoint now, const std::string &domain, const std::vector<GroupHolder> &planned,
                 std::vector<Candidate> &candidates, std::vector<GroupHolder> &changes);

    AssignmentPolicy m_policy;
    /// By domain: when a group may be moved again to balance the VMs.
    std::map<std::string, TimePoint> m_nextMoveAt;
};

} // namespace Citronpitch
