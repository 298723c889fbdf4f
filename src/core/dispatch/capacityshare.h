#pragma once

#include "core/dispatch/upstreamtable.h"

namespace Citronpitch {

/**
 * @brief Computes this entry VM's share of the capacity of each upstream.
 *
 * Shares do not overlap, so that no slot is used by two entry VMs. Slots are divided evenly. An upstream that
 * counts resources is assigned to one VM as a whole, because a large task would not fit into a part of it.
 */
class CapacityShare
{
public:
    /// Sets the index of this VM's share, from zero, and the number of shares. Returns whether they changed.
    bool setShare(std::uint32_t index, std::uint32_t count);

    /// Returns this VM's share of @p upstream, without loans.
    Capacity shareOf(const UpstreamEntry &upstream) const;

private:
    std::uint32_t m_index = 0;
    std::uint32_t m_count = 1;
};

} // namespace Citronpitch
