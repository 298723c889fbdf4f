#include "citronpitch/messagedelay.h"

#include <algorithm>

namespace Citronpitch {

namespace {

/// Clocks that differ by 100 ppm drift apart by 30 ms in this time, much less than the delays that matter.
constexpr Duration window = std::chrono::minutes(5);

} // namespace

Duration MessageDelay::record(TimePoint now, TimePoint sentAt)
{
    const auto difference = now - sentAt;
    if (now - m_windowStart >= window) {
        m_fastestBefore = m_fastest;
        m_fastest.reset();
        m_windowStart = now;
    }
    m_fastest = std::min(m_fastest.value_or(difference), difference);
    return difference - std::min(*m_fastest, m_fastestBefore.value_or(*m_fastest));
}

} // namespace Citronpitch
