#pragma once

#include "citronpitch/nametable.h"
#include "citronpitch/timepoint.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Citronpitch {

/// Name and place of one entry VM, as the settings give it.
struct VmIdentity
{
    std::string name;
    std::string failureDomain;
    /// Whether it has a data folder; only such a VM is home to keys without a date.
    bool hasDataFolder = true;
};

/// Whether another entry VM can be worked with.
enum class VmState {
    /// Nothing was heard from it yet.
    Unheard,
    Alive,
    /// Nothing was heard from it for the suspicion time.
    Suspected,
    /// It said that it is shutting down, or that it has left.
    Leaving,
};

inline constexpr std::array vmStateNames{
    EnumName<VmState>{VmState::Unheard, "unheard"},
    EnumName<VmState>{VmState::Alive, "alive"},
    EnumName<VmState>{VmState::Suspected, "suspected"},
    EnumName<VmState>{VmState::Leaving, "leaving"},
};

/// What a heartbeat of another entry VM said last.
struct VmStatus
{
    VmState state = VmState::Unheard;
    std::uint64_t incarnation = 0;
    TimePoint lastHeard;
    std::uint64_t configurationVersion = 0;
    std::uint32_t freeSlots = 0;
    std::uint32_t queuedTasks = 0;
};

/**
 * @brief Which of the other entry VMs are alive, from the messages that arrive of them.
 *
 * The set of VMs is fixed by the settings. Used by EntryVm to decide whether the home of a key can be reached
 * and how the slots of an upstream are divided within a failure domain.
 */
class Membership
{
public:
    /// @p self is left out of @p vms; @p suspicionTimeout is the silence after which a VM counts as
    /// suspected.
    Membership(const std::string &self, const std::vector<VmIdentity> &vms, Duration suspicionTimeout);

    /**
     * Notes that a message of @p vm's @p incarnation arrived.
     *
     * Returns false when the message must be dropped: the VM is not in the settings, or the incarnation is
     * over.
     */
    bool recordMessage(TimePoint now, std::string_view vm, std::uint64_t incarnation);

    /// Stores what a heartbeat of @p vm said. The VM must have been heard.
    void recordHeartbeat(std::string_view vm, std::uint64_t configurationVersion, std::uint32_t freeSlots,
                         std::uint32_t queuedTasks, bool leaving);

    /// Names of the VMs that became suspected at @p now and were not before.
    std::vector<std::string> markSuspected(TimePoint now);

    /// Whether @p vm can be expected to answer.
    bool isReachable(std::string_view vm) const;

    /// Last report of @p vm, or null for a VM that the settings do not name.
    const VmStatus *findStatus(std::string_view vm) const;

    /// Names of the other VMs, in the order of the settings.
    const std::vector<VmIdentity> &peers() const;

private:
    std::vector<VmIdentity> m_peers;
    std::map<std::string, VmStatus, std::less<>> m_statuses;
    Duration m_suspicionTimeout;
};

} // namespace Citronpitch
