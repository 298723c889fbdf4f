#include "citronpitch/fingerprintset.h"

#include <algorithm>

namespace Citronpitch {

namespace {

constexpr std::size_t maximumUnmergedFingerprints = 1024;

} // namespace

void FingerprintSet::insert(std::uint64_t fingerprint)
{
    if (contains(fingerprint))
        return;
    m_unmerged.insert(std::upper_bound(m_unmerged.begin(), m_unmerged.end(), fingerprint), fingerprint);
    if (m_unmerged.size() >= maximumUnmergedFingerprints)
        merge();
}

bool FingerprintSet::contains(std::uint64_t fingerprint) const
{
    return std::binary_search(m_unmerged.begin(), m_unmerged.end(), fingerprint)
        || std::binary_search(m_sorted.begin(), m_sorted.end(), fingerprint);
}

std::size_t FingerprintSet::size() const
{
    return m_sorted.size() + m_unmerged.size();
}

std::vector<std::uint64_t> FingerprintSet::all() const
{
    auto list = m_sorted;
    list.insert(list.end(), m_unmerged.begin(), m_unmerged.end());
    return list;
}

void FingerprintSet::merge()
{
    const auto middle = static_cast<std::ptrdiff_t>(m_sorted.size());
    m_sorted.insert(m_sorted.end(), m_unmerged.begin(), m_unmerged.end());
    std::inplace_merge(m_sorted.begin(), m_sorted.begin() + middle, m_sorted.end());
    m_unmerged.clear();
}

} // namespace Citronpitch
