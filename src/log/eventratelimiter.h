#pragma once

#include "log/event.h"

#include <cstdint>
#include <map>
#include <vector>

namespace Citronpitch {

/// How often an event was left out of the log.
struct SuppressedEvent
{
    Event event;
    std::uint64_t count = 0;
};

/**
 * @brief Limits how often each event is logged within a window, and counts what was left out.
 *
 * Used by the event log; given the time, so that it can be tested without waiting.
 */
class EventRateLimiter
{
public:
    /// @p limit lines of one event, times its factor, may be logged within @p window.
    EventRateLimiter(std::uint32_t limit, Duration window);

    /// Whether @p event may be logged at @p now; counts it as suppressed otherwise.
    bool admit(TimePoint now, Event event);

    /// What was suppressed in windows that have ended by @p now, and not returned before.
    std::vector<SuppressedEvent> takeSuppressed(TimePoint now);

    /// What was suppressed in any window and not returned before.
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
