#pragma once

#include "core/dispatch/upstreamtable.h"

namespace Citronpitch {

/**
 * @brief This entry VM's part of each upstream's capacity.
 *
 * The entry VMs of a failure domain hold different parts, so that together they use each slot once. Slots are
 * split evenly; an upstream counted in resources belongs to one VM, since parts of it would run no large
 * task. Used by Dispatcher.
 */
class CapacityShare
{
public:
    /// This VM holds part number @p index, from zero, of @p count. Returns whether that is a change.
    bool setShare(std::uint32_t index, std::uint32_t count);

    /// This VM's part of an upstream before any loan.
    Capacity shareOf(const UpstreamEntry &upstream) const;

private:
    std::uint32_t m_index = 0;
    std::uint32_t m_count = 1;
};

} // namespace Citronpitch
