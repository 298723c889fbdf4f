#pragma once

#include "citronpitch/nametable.h"

#include <array>
#include <cstdint>
#include <string>

namespace Citronpitch {

/// Role of a VM in a fleet.
enum class VmRole {
    /// Accepts callers' jobs; stores nothing on disk.
    Entry,
    /// Votes on the configuration, receives the upstreams' announcements, and dispatches to them.
    Control,
};

inline constexpr std::array vmRoleNames{
    EnumName<VmRole>{VmRole::Entry, "entry"},
    EnumName<VmRole>{VmRole::Control, "control"},
};

/// One incarnation of a VM of a fleet.
struct FleetPeer
{
    /// IP address and port of its link; identifies the VM within the fleet.
    std::string name;
    VmRole role = VmRole::Entry;
    std::string domain;
    std::uint64_t incarnation = 0;

    bool operator==(const FleetPeer &) const = default;
};

} // namespace Citronpitch
