#pragma once

#include "citronpitch/timepoint.h"

#include <optional>

namespace Citronpitch {

/**
 * @brief Decides when a fault of a VM that lasts is reported.
 *
 * The first report comes once the fault has lasted for a given time, further ones at intervals. Used by
 * FleetMember.
 */
class LastingFaultReport
{
public:
    /// Faults that end within @p tolerated are not reported.
    explicit LastingFaultReport(Duration tolerated);

    /// Returns for how long the fault has lasted if that is to be reported now.
    std::optional<Duration> observe(TimePoint now, bool isFaulty);

    /// Returns how long a reported fault lasted, once after its end.
    std::optional<Duration> takeEnded(TimePoint now);

private:
    Duration m_tolerated;
    std::optional<TimePoint> m_faultySince;
    std::optional<TimePoint> m_endedSince;
    TimePoint m_nextReportAt;
    bool m_isReported = false;
};

} // namespace Citronpitch
