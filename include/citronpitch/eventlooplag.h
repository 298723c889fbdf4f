#pragma once

#include "citronpitch/timepoint.h"

#include <array>

namespace Citronpitch {

/**
 * @brief Measures by how much an event loop lags, from the delays of a periodic timer.
 *
 * The delay of a timer is the time that the loop spent in other handlers, or without processor time. Input
 * that arrived in the meantime is still unread, so nothing may be concluded from its absence. Does no I/O and
 * reads no clock. Used by HttpClient and FleetMember.
 */
class EventLoopLag
{
public:
    /// Records that a timer that was due at @p due is handled at @p now.
    void timerHandled(TimePoint due, TimePoint now);

    /// Returns the longest delay of the last half to whole second.
    Duration lag(TimePoint now) const;

    /**
     * Returns @p now without all delays measured so far.
     *
     * The difference of two results is the time in which the loop could have handled input; timeouts that are
     * measured by it are extended by the lag.
     */
    TimePoint loopTime(TimePoint now) const;

    /// Whether the loop lags lastingly: set once several timers in a row were late, cleared once none was
    /// for a while. A single pause sets nothing.
    bool isOverloaded() const;

private:
    void startInterval(TimePoint now);

    Duration m_total{};
    /// Longest delays of the current interval and of the one before.
    std::array<Duration, 2> m_longest{};
    TimePoint m_intervalStart;
    int m_lateInARow = 0;
    TimePoint m_lastLateAt;
    bool m_isOverloaded = false;
};

} // namespace Citronpitch
