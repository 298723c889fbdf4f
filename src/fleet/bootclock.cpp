#include "fleet/bootclock.h"

#include "log/wallclock.h"

#include <ctime>

namespace Citronpitch {

namespace {

Duration sinceBoot()
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec)
                                                + std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace

BootClock::BootClock()
    : m_wallStart(wallClock())
    , m_bootStart(sinceBoot())
{
}

TimePoint BootClock::now() const
{
    return m_wallStart + (sinceBoot() - m_bootStart);
}

} // namespace Citronpitch
