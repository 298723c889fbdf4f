#pragma once

#include "citronpitch/timepoint.h"

namespace Citronpitch {

/**
 * @brief Clock of a process: its moments start at the wall clock and never jump.
 *
 * It counts the time that the VM was suspended, which a steady clock may leave out. Used by FleetMember.
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
