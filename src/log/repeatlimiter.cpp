#include "log/repeatlimiter.h"

#include <utility>

namespace Citronpitch {

RepeatLimiter::RepeatLimiter(std::uint32_t limit, Duration window)
    : m_limit(limit)
    , m_length(window)
{
}

bool RepeatLimiter::admit(TimePoint now, Event event)
{
    auto &window = m_windows[event];
    if (now >= window.end) {
        window.end = now + m_length;
        window.logged = 0;
    }
    if (window.logged < m_limit * entryOf(event).repeatFactor) {
        ++window.logged;
        return true;
    }
    ++window.suppressed;
    return false;
}

std::vector<SuppressedEvent> RepeatLimiter::takeSuppressed(TimePoint now)
{
    std::vector<SuppressedEvent> list;
    for (auto &[event, window] : m_windows) {
        if (window.suppressed > 0 && now >= window.end)
            list.push_back({event, std::exchange(window.suppressed, 0)});
    }
    return list;
}

std::vector<SuppressedEvent> RepeatLimiter::takeAllSuppressed()
{
    return takeSuppressed(TimePoint::max());
}

} // namespace Citronpitch
