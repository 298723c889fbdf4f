#pragma once

#include <cstdint>

namespace Citronpitch {

/// Capacity of an upstream, or the need of one task. All zero: counted in slots alone.
struct Resources
{
    /// Processor time, in thousandths of a core.
    std::uint32_t millicores = 0;
    std::uint64_t memoryBytes = 0;
    std::uint32_t accelerators = 0;

    bool operator==(const Resources &) const = default;
};

} // namespace Citronpitch
