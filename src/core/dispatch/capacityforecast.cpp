#include "core/dispatch/capacityforecast.h"

#include <algorithm>
#include <cmath>

namespace Citronpitch {

namespace {

constexpr Duration step = std::chrono::milliseconds(10);
constexpr std::size_t steps = 128;

/// A task is assumed to end at once until this long after its expected end, and not to end within the
/// forecast afterwards. Covers the variation of the times of an ordinary task and the delay of the report.
constexpr Duration overrunGrace = std::chrono::milliseconds(50);

} // namespace

void CapacityForecast::rebuild(TimePoint now, double slots, const std::vector<TimePoint> &expectedEnds)
{
    m_start = now;
    m_available.assign(steps + 1, 0);
    // First the number of slots that become available in each step, then the sums over the steps.
    double idle = std::max(slots - static_cast<double>(expectedEnds.size()), 0.0);
    for (const auto end : expectedEnds) {
        if (end + overrunGrace < now)
            continue;
        const auto index = static_cast<std::size_t>(std::max(end - now, Duration()) / step);
        if (index < steps)
            ++m_available[index];
    }
    double sum = 0;
    const auto length = static_cast<double>(step.count());
    for (std::size_t i = 0; i <= steps; ++i) {
        const double freed = m_available[i];
        m_available[i] = sum;
        // On average a slot that becomes available in a step is available for half of it.
        sum += (idle + freed / 2) * length;
        idle += freed;
    }
    m_slotsAtEnd = std::max(idle, slots);
}

double CapacityForecast::availableUntil(TimePoint time) const
{
    if (m_available.empty() || time <= m_start)
        return 0;
    const double position = static_cast<double>((time - m_start).count()) / static_cast<double>(step.count());
    const auto index = static_cast<std::size_t>(position);
    if (index >= steps)
        return m_available[steps]
            + (position - static_cast<double>(steps)) * m_slotsAtEnd * static_cast<double>(step.count());
    const double fraction = position - static_cast<double>(index);
    return m_available[index] + fraction * (m_available[index + 1] - m_available[index]);
}

} // namespace Citronpitch
