#pragma once

#include "citronpitch/timepoint.h"

namespace Citronpitch {

/**
 * @brief Decides with hysteresis whether the rules that apply only under contention are in effect.
 *
 * Contention begins when tasks have waited without interruption for enterTime, and ends when none has waited
 * for leaveTime, so that successive jobs are treated alike. Used by Dispatcher.
 */
class Contention
{
public:
    /// Records whether tasks wait for capacity at @p now. Returns whether isInEffect() has changed.
    bool update(TimePoint now, bool isWaiting);

    bool isInEffect() const;

private:
    bool m_isInEffect = false;
    bool m_wasWaiting = false;
    /// When the tasks began to wait, or when none waited any more.
    TimePoint m_changedAt;
};

} // namespace Citronpitch
