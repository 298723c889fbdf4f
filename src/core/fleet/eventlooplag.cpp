#include "citronpitch/eventlooplag.h"

#include <algorithm>

namespace Citronpitch {

namespace {

/// Smaller delays are the usual imprecision of timers.
constexpr Duration tolerance = std::chrono::milliseconds(1);

/// Length of the intervals for which lag() keeps the longest delay.
constexpr Duration interval = std::chrono::milliseconds(500);

/// A VM with 0.4 of a core is paused for up to 60 ms by its processor limit without being overloaded.
constexpr Duration overloadedDelay = std::chrono::milliseconds(80);
/// Number of timers in a row with at least that delay that mean overload.
constexpr int overloadedTimers = 5;
/// The overload has ended once no timer had at least this delay for recoveryTime.
constexpr Duration recoveredDelay = std::chrono::milliseconds(30);
constexpr Duration recoveryTime = std::chrono::milliseconds(250);

} // namespace

void EventLoopLag::timerHandled(TimePoint due, TimePoint now)
{
    const auto delay = now - due;
    if (now - m_intervalStart >= interval)
        startInterval(now);
    if (delay > tolerance) {
        m_total += delay;
        m_longest[0] = std::max(m_longest[0], delay);
    }
    m_lateInARow = delay >= overloadedDelay ? m_lateInARow + 1 : 0;
    if (delay >= recoveredDelay)
        m_lastLateAt = now;
    if (m_lateInARow >= overloadedTimers)
        m_isOverloaded = true;
    else if (now - m_lastLateAt >= recoveryTime)
        m_isOverloaded = false;
}

Duration EventLoopLag::lag(TimePoint now) const
{
    const auto age = now - m_intervalStart;
    if (age >= 2 * interval)
        return {};
    return age >= interval ? m_longest[0] : std::max(m_longest[0], m_longest[1]);
}

TimePoint EventLoopLag::loopTime(TimePoint now) const
{
    return now - m_total;
}

bool EventLoopLag::isOverloaded() const
{
    return m_isOverloaded;
}

void EventLoopLag::startInterval(TimePoint now)
{
    const bool isAdjacent = now - m_intervalStart < 2 * interval;
    m_longest = {Duration(), isAdjacent ? m_longest[0] : Duration()};
    m_intervalStart = now;
}

} // namespace Citronpitch
