#pragma once

#include "log/event.h"

#include <cstdint>
#include <map>
#include <vector>

namespace Citronpitch {

/// Number of suppressed lines of one event.
struct SuppressedEvent
{
    Event event;
    std::uint64_t count = 0;
};

/**
 * @brief Limits the number of log lines per event and time window, and counts the suppressed ones.
 *
 * The current time is a parameter, so that tests need no real time. Used by the event log.
 */
class EventRateLimiter
{
public:
    /// Allows @p limit lines per event, multiplied by its repeatLimitMultiplier, within each @p window. An
    /// event with linesPerSecond has this limit instead, within each second.
    EventRateLimiter(std::uint32_t limit, Duration window);

    /// Returns whether @p event may be logged at @p now, and counts it as suppressed if not.
    bool admit(TimePoint now, Event event);

    /// Returns and resets the counts of suppressed events of all windows that have ended by @p now.
    std::vector<SuppressedEvent> takeSuppressed(TimePoint now);

    /// Returns and resets the counts of suppressed events of all windows.
    std::vector<SuppressedEvent> takeAllSuppressed();

private:
    struct Window
    {
        TimePoint end;
        std::uint32_t logged = 0;
        std::uint64_t suppressed = 0;
    };

    std::uint32_t m_limit;
    Duration m_windowLength;
    std::map<Event, Window> m_windows;
};

} // namespace Citronpitch
