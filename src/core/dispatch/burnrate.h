#pragma once

#include "citronpitch/configuration.h"
#include "citronpitch/timepoint.h"

namespace Citronpitch {

/**
 * @brief Tracks the error budget burn rate of a class.
 *
 * At a rate of one, exactly the allowed share of the recent jobs misses the target time. A class with a
 * higher rate gets a priority boost.
 */
class BurnRate
{
public:
    /// Records a job that was answered at @p now.
    void record(TimePoint now, bool isWithinTarget);

    /// Returns the share of recent jobs that missed the target, between zero and one.
    double missedShare(TimePoint now) const;

    /// Returns the recent misses divided by the misses that @p declaration allows.
    double rate(TimePoint now, const ClassDeclaration &declaration) const;

    /// Returns how much earlier the tasks of the class are due: at most one target time.
    Duration priorityBoost(TimePoint now, const ClassDeclaration &declaration) const;

private:
    double decayFactorAt(TimePoint now) const;

    double m_jobs = 0;
    double m_missed = 0;
    TimePoint m_recordedAt;
};

} // namespace Citronpitch
