#pragma once

#include "citronpitch/nametable.h"
#include "citronpitch/timepoint.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Citronpitch {

/// Name and location of an entry VM from the settings.
struct VmIdentity
{
    std::string name;
    std::string failureDomain;
    /// Only a VM with a data folder can be the home VM of keys without a date.
    bool hasDataFolder = true;
};

/// Liveness of another entry VM.
enum class VmState {
    /// No message received yet.
    NeverSeen,
    Alive,
    /// No message received for the suspicion timeout.
    Suspected,
    /// Announced that it is shutting down or has left.
    Leaving,
};

inline constexpr std::array vmStateNames{
    EnumName<VmState>{VmState::NeverSeen, "unheard"},
    EnumName<VmState>{VmState::Alive, "alive"},
    EnumName<VmState>{VmState::Suspected, "suspected"},
    EnumName<VmState>{VmState::Leaving, "leaving"},
};

/// Liveness of another entry VM and the contents of its last heartbeat.
struct VmStatus
{
    VmState state = VmState::NeverSeen;
    std::uint64_t incarnation = 0;
    TimePoint lastMessageAt;
    std::uint64_t configurationVersion = 0;
    std::uint32_t freeSlots = 0;
    std::uint32_t queuedTasks = 0;
};

/**
 * @brief Failure detector for the other entry VMs, driven by the messages received from them.
 *
 * The set of VMs is fixed by the settings. EntryVm uses it to decide whether the home VM of a key is
 * reachable and how the slots of an upstream are divided within a failure domain.
 */
class Membership
{
public:
    /// Monitors all of @p vms except @p self; a VM that sends nothing for @p suspicionTimeout is suspected.
    Membership(const std::string &self, const std::vector<VmIdentity> &vms, Duration suspicionTimeout);

    /**
     * Records a message from @p incarnation of @p vm.
     *
     * Returns false if the message must be dropped: the VM is not in the settings, or a newer incarnation was
     * seen.
     */
    bool messageReceived(TimePoint now, std::string_view vm, std::uint64_t incarnation);

    /// Stores the contents of a heartbeat of @p vm; messageReceived() must have accepted the message.
    void heartbeatReceived(std::string_view vm, std::uint64_t configurationVersion, std::uint32_t freeSlots,
                           std::uint32_t queuedTasks, bool leaving);

    /// Marks reachable VMs that sent no message for the suspicion timeout as suspected; returns their names.
    std::vector<std::string> markSuspected(TimePoint now);

    /// Whether @p vm is alive or leaving; false for this VM and for VMs that are not in the settings.
    bool isReachable(std::string_view vm) const;

    /// Returns the status of @p vm, or null for this VM and for VMs that are not in the settings.
    const VmStatus *findStatus(std::string_view vm) const;

    /// Returns the other VMs in the order of the settings.
    const std::vector<VmIdentity> &peers() const;

private:
    std::vector<VmIdentity> m_peers;
    std::map<std::string, VmStatus, std::less<>> m_statuses;
    Duration m_suspicionTimeout;
};

} // namespace Citronpitch
