#include "citronpitch/keyfingerprints.h"

#include <algorithm>

namespace Citronpitch {

namespace {

constexpr std::size_t recentLimit = 1024;

} // namespace

void KeyFingerprints::insert(std::uint64_t fingerprint)
{
    if (contains(fingerprint))
        return;
    m_recent.insert(std::upper_bound(m_recent.begin(), m_recent.end(), fingerprint), fingerprint);
    if (m_recent.size() >= recentLimit)
        merge();
}

bool KeyFingerprints::contains(std::uint64_t fingerprint) const
{
    return std::binary_search(m_recent.begin(), m_recent.end(), fingerprint)
        || std::binary_search(m_sorted.begin(), m_sorted.end(), fingerprint);
}

std::size_t KeyFingerprints::size() const
{
    return m_sorted.size() + m_recent.size();
}

std::vector<std::uint64_t> KeyFingerprints::all() const
{
    auto list = m_sorted;
    list.insert(list.end(), m_recent.begin(), m_recent.end());
    return list;
}

void KeyFingerprints::merge()
{
    const auto middle = static_cast<std::ptrdiff_t>(m_sorted.size());
    m_sorted.insert(m_sorted.end(), m_recent.begin(), m_recent.end());
    std::inplace_merge(m_sorted.begin(), m_sorted.begin() + middle, m_sorted.end());
    m_recent.clear();
}

} // namespace Citronpitch
