#include "core/dispatch/classshares.h"

#include <algorithm>
#include <cmath>

namespace Citronpitch {

namespace {

/// Time constant of the measured shares: a burst of a second changes them, a few jobs don't.
constexpr double memoryMicroseconds = 1e6;

/// A class goes first while its accepted share is below this part of that of the others, until it has reached
/// the second value.
constexpr double deprivedBelow = 0.5;
constexpr double deprivedUntil = 0.6;

constexpr Duration updateInterval = std::chrono::milliseconds(50);

double decay(Duration age)
{
    return std::exp(-static_cast<double>(age.count()) / memoryMicroseconds);
}

} // namespace

void ClassShares::setPriority(ClassIndex classIndex, std::uint32_t priority)
{
    if (classIndex >= m_entries.size())
        m_entries.resize(classIndex + 1);
    m_entries[classIndex].priority = priority;
    m_hasPriorities = std::any_of(m_entries.begin(), m_entries.end(),
                                  [&](const auto &it) { return it.priority != m_entries.front().priority; });
}

void ClassShares::offered(TimePoint now, ClassIndex classIndex, Duration work)
{
    decayed(now, classIndex).offered += static_cast<double>(work.count());
    updateDeprived(now);
}

void ClassShares::accepted(TimePoint now, ClassIndex classIndex, Duration work)
{
    decayed(now, classIndex).accepted += static_cast<double>(work.count());
}

double ClassShares::slotsAhead(TimePoint now, ClassIndex classIndex) const
{
    double microseconds = 0;
    for (ClassIndex i = 0; i < m_entries.size(); ++i) {
        if (i != classIndex && yields(classIndex, i))
            microseconds += m_entries[i].offered * decay(now - m_entries[i].updatedAt)
                * (m_entries[i].isDeprived ? deprivedBelow : 1);
    }
    return microseconds / memoryMicroseconds;
}

bool ClassShares::yields(ClassIndex left, ClassIndex right) const
{
    if (!m_hasPriorities || left >= m_entries.size() || right >= m_entries.size())
        return false;
    const auto &own = m_entries[left];
    const auto &other = m_entries[right];
    if (own.isDeprived != other.isDeprived)
        return other.isDeprived;
    return other.priority < own.priority;
}

ClassShares::Entry &ClassShares::decayed(TimePoint now, ClassIndex classIndex)
{
    if (classIndex >= m_entries.size())
        m_entries.resize(classIndex + 1);
    auto &entry = m_entries[classIndex];
    const double factor = decay(now - entry.updatedAt);
    entry.offered *= factor;
    entry.accepted *= factor;
    entry.updatedAt = now;
    return entry;
}

void ClassShares::updateDeprived(TimePoint now)
{
    if (now - m_deprivedUpdatedAt < updateInterval)
        return;
    m_deprivedUpdatedAt = now;
    double offered = 0;
    double accepted = 0;
    for (ClassIndex i = 0; i < m_entries.size(); ++i) {
        const auto &entry = decayed(now, i);
        offered += entry.offered;
        accepted += entry.accepted;
    }
    for (auto &it : m_entries) {
        const double offeredOfOthers = offered - it.offered;
        if (it.offered <= 0 || offeredOfOthers <= 0)
            continue;
        const double share = it.accepted / it.offered;
        const double shareOfOthers = (accepted - it.accepted) / offeredOfOthers;
        it.isDeprived = share < (it.isDeprived ? deprivedUntil : deprivedBelow) * shareOfOthers;
    }
}

} // namespace Citronpitch
