#pragma once

#include "citronpitch/dispatcher.h"

namespace Citronpitch {

/// Load that a new job is checked against.
struct AdmissionLoad
{
    /// Total expected run time of the queued tasks that are due before the job; zero, which accepts every
    /// deadline, while the service time of the class is not learned.
    Duration workAhead{};
    /// How late the job, or an accepted one, would be; zero or less if all can meet their targets.
    Duration lateness{};
    /// Number of tasks that can run concurrently.
    std::uint32_t parallelTasks = 0;
    /// Expected time of the job on an unloaded system.
    Duration unloadedTime{};
    /// Time after which an answer is of little use.
    TimePoint latestEnd = TimePoint::max();
    std::uint32_t queuedOfClass = 0;
    std::uint32_t queuedOfTeam = 0;
    std::uint32_t queued = 0;
    /// Whether the team has used up its quota of tasks in flight.
    bool isTeamOverQuota = false;
};

/// Returns why @p submission is refused, if a queue is full or its deadline can't be met, or nothing.
std::optional<Refusal> checkAdmission(TimePoint now, const Submission &submission, const AdmissionLoad &load);

/// Returns a time between @p earliest and @p earliest + @p spread, as jitter that depends only on the key of
/// @p submission.
TimePoint jitteredRetryTime(TimePoint earliest, Duration spread, const Submission &submission);

} // namespace Citronpitch
