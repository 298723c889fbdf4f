#pragma once

#include "citronpitch/dispatcher.h"

namespace Citronpitch {

/// What stands before a new job.
struct AdmissionLoad
{
    /// Expected run time of all waiting tasks that are due before the job.
    Duration workAhead{};
    /// Tasks that run side by side.
    std::uint32_t parallelTasks = 0;
    /// Expected time of the job if nothing else waited.
    Duration unloadedTime{};
    /// Moment after which an answer is of little use.
    TimePoint latestEnd = TimePoint::max();
    std::uint32_t queuedOfClass = 0;
    std::uint32_t queuedOfTeam = 0;
    std::uint32_t queued = 0;
    /// Whether the team has its quota of tasks in flight.
    bool isTeamOverQuota = false;
};

/// Refuses @p submission when a queue is full or when it cannot meet its deadline any more.
std::optional<Refusal> checkAdmission(TimePoint now, const Submission &submission, const AdmissionLoad &load);

/// A moment between @p earliest and @p earliest + @p spread that depends on @p submission's key alone.
TimePoint jitteredRetryTime(TimePoint earliest, Duration spread, const Submission &submission);

} // namespace Citronpitch
