#include "fleet/missingleaderreport.h"

namespace Citronpitch {

namespace {

/// Several elections fit into this time.
constexpr Duration firstReportDelay = std::chrono::seconds(3);
constexpr Duration reportInterval = std::chrono::seconds(10);

} // namespace

std::optional<Duration> MissingLeaderReport::observe(TimePoint now, bool hasLeader)
{
    if (hasLeader) {
        m_missingSince.reset();
        return {};
    }
    if (!m_missingSince) {
        m_missingSince = now;
        m_nextReportAt = now + firstReportDelay;
    }
    if (now < m_nextReportAt)
        return {};
    m_nextReportAt = now + reportInterval;
    return now - *m_missingSince;
}

} // namespace Citronpitch
