#pragma once

#include <cstdint>

namespace Citronpitch {

/// Resources that an upstream offers or that one task needs. All zero means that only slots are counted.
struct Resources
{
    /// Processor time, in thousandths of a core.
    std::uint32_t millicores = 0;
    std::uint64_t memoryBytes = 0;
    std::uint32_t accelerators = 0;

    bool operator==(const Resources &) const = default;
};

} // namespace Citronpitch
