#include "log/eventratelimiter.h"

#include <utility>

namespace Citronpitch {

EventRateLimiter::EventRateLimiter(std::uint32_t limit, Duration window)
    : m_limit(limit)
    , m_windowLength(window)
{
}

bool EventRateLimiter::admit(TimePoint now, Event event)
{
    auto &window = m_windows[event];
    const auto &definition = eventDefinition(event);
    const auto perSecond = definition.linesPerSecond;
    const auto limit = perSecond > 0 ? perSecond : m_limit * definition.repeatLimitMultiplier;
    if (now >= window.end) {
        window.end = now + (perSecond > 0 ? std::chrono::seconds(1) : m_windowLength);
        window.logged = 0;
    }
    if (window.logged < limit) {
        ++window.logged;
        return true;
    }
    ++window.suppressed;
    return false;
}

std::vector<SuppressedEvent> EventRateLimiter::takeSuppressed(TimePoint now)
{
    std::vector<SuppressedEvent> list;
    for (auto &[event, window] : m_windows) {
        if (window.suppressed > 0 && now >= window.end)
            list.push_back({event, std::exchange(window.suppressed, 0)});
    }
    return list;
}

std::vector<SuppressedEvent> EventRateLimiter::takeAllSuppressed()
{
    return takeSuppressed(TimePoint::max());
}

} // namespace Citronpitch
