#pragma once

#include "citronpitch/timepoint.h"

#include <optional>

namespace Citronpitch {

/**
 * @brief Decides when it is reported that no leader of the configuration is known.
 *
 * The first report comes once an election should have ended, further ones at intervals. Used by FleetMember.
 */
class MissingLeaderReport
{
public:
    /// Returns for how long no leader has been known if that is to be reported now.
    std::optional<Duration> observe(TimePoint now, bool hasLeader);

private:
    std::optional<TimePoint> m_missingSince;
    TimePoint m_nextReportAt;
};

} // namespace Citronpitch
