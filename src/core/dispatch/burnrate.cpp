#include "core/dispatch/burnrate.h"

#include <algorithm>
#include <cmath>

namespace Citronpitch {

namespace {

constexpr double partsPerMillion = 1e6;

/// Jobs older than this weigh less than a third.
constexpr Duration decayTime = std::chrono::seconds(10);

/// Jobs without a miss that are assumed of a class of which little is known.
constexpr double priorJobs = 10;

/// Least share of misses that a target allows; a target of all jobs would make any miss an endless burn.
constexpr double minimumAllowedShare = 0.001;

/// Burn at which a class is drawn ahead by its whole target time.
constexpr double burnRateOfFullBoost = 10;

} // namespace

void BurnRate::record(TimePoint now, bool isWithinTarget)
{
    const double weight = decayFactorAt(now);
    m_jobs = m_jobs * weight + 1;
    m_missed = m_missed * weight + (isWithinTarget ? 0 : 1);
    m_recordedAt = now;
}

double BurnRate::missedShare(TimePoint now) const
{
    const double weight = decayFactorAt(now);
    return m_missed * weight / (m_jobs * weight + priorJobs);
}

double BurnRate::rate(TimePoint now, const ClassDeclaration &declaration) const
{
    const double allowed = 1 - declaration.targetShare / partsPerMillion;
    return missedShare(now) / std::max(allowed, minimumAllowedShare);
}

Duration BurnRate::priorityBoost(TimePoint now, const ClassDeclaration &declaration) const
{
    const double behind = std::clamp((rate(now, declaration) - 1) / (burnRateOfFullBoost - 1), 0.0, 1.0);
    return Duration(static_cast<std::int64_t>(behind * static_cast<double>(declaration.targetTime.count())));
}

double BurnRate::decayFactorAt(TimePoint now) const
{
    const auto age = static_cast<double>((now - m_recordedAt).count());
    return std::exp(-age / static_cast<double>(decayTime.count()));
}

} // namespace Citronpitch
