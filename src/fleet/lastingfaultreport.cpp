#include "fleet/lastingfaultreport.h"

#include <utility>

namespace Citronpitch {

namespace {

constexpr Duration reportInterval = std::chrono::seconds(10);

} // namespace

LastingFaultReport::LastingFaultReport(Duration tolerated)
    : m_tolerated(tolerated)
{
}

std::optional<Duration> LastingFaultReport::observe(TimePoint now, bool isFaulty)
{
    if (!isFaulty) {
        if (std::exchange(m_isReported, false))
            m_endedSince = m_faultySince;
        m_faultySince.reset();
        return {};
    }
    if (!m_faultySince) {
        m_faultySince = now;
        m_nextReportAt = now + m_tolerated;
    }
    if (now < m_nextReportAt)
        return {};
    m_nextReportAt = now + reportInterval;
    m_isReported = true;
    return now - *m_faultySince;
}

std::optional<Duration> LastingFaultReport::takeEnded(TimePoint now)
{
    const auto since = std::exchange(m_endedSince, std::nullopt);
    return since ? std::optional(now - *since) : std::nullopt;
}

} // namespace Citronpitch
