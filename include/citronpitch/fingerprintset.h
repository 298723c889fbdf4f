#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace Citronpitch {

/**
 * @brief Compact set of 64-bit fingerprints that uses little more than eight bytes each.
 *
 * ClaimTable stores keys in it whose answers are no longer retained. Keys with colliding fingerprints are
 * treated as the same key: a collision can make a new key look expired, but never causes a second start.
 */
class FingerprintSet
{
public:
    void insert(std::uint64_t fingerprint);
    bool contains(std::uint64_t fingerprint) const;
    std::size_t size() const;

    /// Returns all fingerprints in unspecified order.
    std::vector<std::uint64_t> all() const;

private:
    void merge();

    std::vector<std::uint64_t> m_sorted;
    /// Sorted fingerprints inserted since the last merge; keeps insertion into the large vector rare.
    std::vector<std::uint64_t> m_unmerged;
};

} // namespace Citronpitch
