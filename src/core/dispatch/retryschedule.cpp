#include "core/dispatch/retryschedule.h"

#include <algorithm>

namespace Citronpitch {

namespace {

constexpr Duration minimumRetryDelay = std::chrono::seconds(1);
/// Later retries are given the same time: the upstreams may have recovered long before.
constexpr Duration maximumRetryDelay = std::chrono::seconds(30);

} // namespace

TimePoint RetrySchedule::next(TimePoint now, Duration drained, Duration share)
{
    const auto earliest = now + std::clamp(drained, minimumRetryDelay, maximumRetryDelay);
    const auto at = std::clamp(m_next, earliest, now + maximumRetryDelay);
    m_next = at + share;
    return at;
}

} // namespace Citronpitch
