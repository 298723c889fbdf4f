#include "core/dispatch/burnrate.h"

#include <algorithm>
#include <cmath>

namespace Citronpitch {

namespace {

constexpr double partsPerMillion = 1e6;

/// Time constant of the exponential decay: a job of this age has a weight of 1/e.
constexpr Duration decayTime = std::chrono::seconds(10);

/// Weight of the prior, which has no misses; keeps the rate of a class with few jobs low.
constexpr double priorJobs = 10;

/// Lower bound of the allowed misses; a target share of 100 % would make the rate of any miss infinite.
constexpr double minimumAllowedShare = 0.001;

/// Burn rate from which the priority boost is the full target time.
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
