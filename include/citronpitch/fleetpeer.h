#pragma once

#include "citronpitch/nametable.h"

#include <array>
#include <cstdint>
#include <string>

namespace Citronpitch {

/// Part that a VM of a fleet plays.
enum class VmRole {
    /// Takes callers' jobs; keeps nothing on a disk.
    Entry,
    /// Votes, knows the upstreams and dispatches to them.
    Control,
};

inline constexpr std::array vmRoleNames{
    EnumName<VmRole>{VmRole::Entry, "entry"},
    EnumName<VmRole>{VmRole::Control, "control"},
};

/// One VM of a fleet, in one life of its process.
struct FleetPeer
{
    /// IP number and port of its link.
    std::string name;
    VmRole role = VmRole::Entry;
    std::string domain;
    std::uint64_t incarnation = 0;

    bool operator==(const FleetPeer &) const = default;
};

} // namespace Citronpitch
