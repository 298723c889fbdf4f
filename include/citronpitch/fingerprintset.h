#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace Citronpitch {

/**
 * @brief A set of 64-bit fingerprints at little more than eight bytes each.
 *
 * Used by ClaimTable to remember keys whose answers are no longer kept. Two keys with the same fingerprint
 * count as the same key, which can cost an answer and never a second start.
 */
class FingerprintSet
{
public:
    void insert(std::uint64_t fingerprint);
    bool contains(std::uint64_t fingerprint) const;
    std::size_t size() const;

    /// Every fingerprint, in no particular order.
    std::vector<std::uint64_t> all() const;

private:
    void merge();

    std::vector<std::uint64_t> m_sorted;
    /// Added since the last merge; kept sorted.
    std::vector<std::uint64_t> m_unmerged;
};

} // namespace Citronpitch
