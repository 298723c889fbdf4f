#include "core/dispatch/targetburn.h"

#include <algorithm>
#include <cmath>

namespace Citronpitch {

namespace {

constexpr double partsPerMillion = 1e6;

/// Jobs older than this weigh less than a third.
constexpr Duration memory = std::chrono::seconds(10);

/// Jobs without a miss that are assumed of a class of which little is known.
constexpr double assumedJobs = 10;

/// Least share of misses that a target allows; a target of all jobs would make any miss an endless burn.
constexpr double leastAllowedShare = 0.001;

/// Burn at which a class is drawn ahead by its whole target time.
constexpr double fullBurn = 10;

} // namespace

void TargetBurn::note(TimePoint now, bool isWithinTarget)
{
    const double weight = weightAt(now);
    m_jobs = m_jobs * weight + 1;
    m_missed = m_missed * weight + (isWithinTarget ? 0 : 1);
    m_notedAt = now;
}

double TargetBurn::missedShare(TimePoint now) const
{
    const double weight = weightAt(now);
    return m_missed * weight / (m_jobs * weight + assumedJobs);
}

double TargetBurn::burn(TimePoint now, const ClassDeclaration &declaration) const
{
    const double allowed = 1 - declaration.targetShare / partsPerMillion;
    return missedShare(now) / std::max(allowed, leastAllowedShare);
}

Duration TargetBurn::advance(TimePoint now, const ClassDeclaration &declaration) const
{
    const double behind = std::clamp((burn(now, declaration) - 1) / (fullBurn - 1), 0.0, 1.0);
    return Duration(static_cast<std::int64_t>(behind * static_cast<double>(declaration.targetTime.count())));
}

double TargetBurn::weightAt(TimePoint now) const
{
    const auto age = static_cast<double>((now - m_notedAt).count());
    return std::exp(-age / static_cast<double>(memory.count()));
}

} // namespace Citronpitch
