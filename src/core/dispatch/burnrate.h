#pragma once

#include "citronpitch/configuration.h"
#include "citronpitch/timepoint.h"

namespace Citronpitch {

/**
 * @brief How fast a class has been using up the misses that its target allows.
 *
 * A burn of one means that just the allowed share of the recent jobs missed the target time. Used by
 * Dispatcher to draw a class that is behind ahead of one that is not.
 */
class BurnRate
{
public:
    /// Notes that a job was answered at @p now, within the target time or not.
    void record(TimePoint now, bool isWithinTarget);

    /// Share of the recent jobs that missed, between zero and one.
    double missedShare(TimePoint now) const;

    /// Recent misses over those that @p declaration allows.
    double rate(TimePoint now, const ClassDeclaration &declaration) const;

    /// How much earlier than its target time work of the class is due: at most one target time.
    Duration priorityBoost(TimePoint now, const ClassDeclaration &declaration) const;

private:
    double decayFactorAt(TimePoint now) const;

    double m_jobs = 0;
    double m_missed = 0;
    TimePoint m_recordedAt;
};

} // namespace Citronpitch
