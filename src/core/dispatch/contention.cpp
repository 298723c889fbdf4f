#include "core/dispatch/contention.h"

#include <utility>

namespace Citronpitch {

namespace {

/// Shorter than the time that the shortest job can wait, longer than the gap between two ends of tasks.
constexpr Duration enterTime = std::chrono::milliseconds(20);
/// Longer than the lulls within a burst.
constexpr Duration leaveTime = std::chrono::milliseconds(500);

} // namespace

bool Contention::update(TimePoint now, bool isWaiting)
{
    if (std::exchange(m_wasWaiting, isWaiting) != isWaiting)
        m_changedAt = now;
    if (isWaiting == m_isInEffect || now - m_changedAt < (isWaiting ? enterTime : leaveTime))
        return false;
    m_isInEffect = isWaiting;
    return true;
}

bool Contention::isInEffect() const
{
    return m_isInEffect;
}

} // namespace Citronpitch
