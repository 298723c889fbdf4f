#pragma once

#include "citronpitch/timepoint.h"

namespace Citronpitch {

/**
 * @brief Clock of a process that starts at the wall clock and never jumps.
 *
 * Includes the time during which the VM was suspended, which a steady clock may omit. Used by FleetMember.
 */
class BootClock
{
public:
    BootClock();

    TimePoint now() const;

private:
    TimePoint m_wallStart;
    Duration m_bootStart;
};

} // namespace Citronpitch
