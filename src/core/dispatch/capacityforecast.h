#pragma once

#include "citronpitch/timepoint.h"

#include <cstddef>
#include <vector>

namespace Citronpitch {

/**
 * @brief Predicts how much slot time becomes available up to a given time, from the expected ends of the
 * running tasks.
 *
 * Used by AdmissionControl. A task that still runs well after its expected end is assumed to go on, since a
 * few tasks take several times as long as the others.
 */
class CapacityForecast
{
public:
    /**
     * Replaces the forecast.
     *
     * @p slots is the number of tasks that can run concurrently, and @p expectedEnds has an entry for each
     * that runs.
     */
    void rebuild(TimePoint now, double slots, const std::vector<TimePoint> &expectedEnds);

    /// Returns the slot time, in microseconds, that is available from the last rebuild() until @p time.
    double availableUntil(TimePoint time) const;

private:
    TimePoint m_start;
    /// Slot time that is available until the end of each step.
    std::vector<double> m_available;
    /// Number of slots that are available at the end of the last step.
    double m_slotsAtEnd = 0;
};

} // namespace Citronpitch
