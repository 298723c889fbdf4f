#pragma once

#include "citronpitch/timepoint.h"

namespace Citronpitch {

/**
 * @brief Assigns retry times to refused jobs, in the order in which they arrived.
 *
 * Retries are spread over the time in which the upstreams can run them, after the work that waits has
 * drained, so that jobs that were refused together don't come back together. Used by Dispatcher.
 */
class RetrySchedule
{
public:
    /**
     * Returns the retry time of a refused job.
     *
     * @p drained is the time that the upstreams need for the excess, and @p share the time that all of them
     * together need for the job.
     */
    TimePoint next(TimePoint now, Duration drained, Duration share);

private:
    TimePoint m_next;
};

} // namespace Citronpitch
