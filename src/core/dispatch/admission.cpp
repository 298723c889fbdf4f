#include "core/dispatch/admission.h"

#include <xxhash.h>

#include <algorithm>

namespace Citronpitch {

namespace {

/// Limits of the queued tasks: of one class, of one team and in total.
constexpr std::uint32_t maximumQueuedPerClass = 50'000;
constexpr std::uint32_t maximumQueuedPerTeam = 20'000;
constexpr std::uint32_t maximumQueued = 100'000;

constexpr Duration minimumRetryDelay = std::chrono::seconds(1);
constexpr Duration maximumRetryDelay = std::chrono::seconds(30);

/// Returns a refusal with a retry time after @p wait, which is clamped to the bounds of the retry delay, and
/// jittered over the same length again.
Refusal refusalWithRetry(TimePoint now, const Submission &submission, Reason reason, std::string detail,
                         Duration wait)
{
    const auto after = std::clamp(wait, minimumRetryDelay, maximumRetryDelay);
    return {reason, std::move(detail), jitteredRetryTime(now + after, after, submission)};
}

} // namespace

std::optional<Refusal> checkAdmission(TimePoint now, const Submission &submission, const AdmissionLoad &load)
{
    const auto wait = load.workAhead / std::max(load.parallelTasks, 1U);
    const auto tasks = static_cast<std::uint32_t>(submission.tasks.size());
    if (load.queuedOfTeam + tasks > maximumQueuedPerTeam) {
        const auto reason = load.isTeamOverQuota ? Reason::QuotaExceeded : Reason::Overloaded;
        return refusalWithRetry(now, submission, reason,
                                "admission: the queue of team " + submission.team + " is full", wait);
    }
    if (load.queuedOfClass + tasks > maximumQueuedPerClass)
        return refusalWithRetry(now, submission, Reason::Overloaded,
                                "admission: the queue of class " + submission.className + " is full", wait);
    if (load.queued + tasks > maximumQueued)
        return refusalWithRetry(now, submission, Reason::Overloaded, "admission: the queue is full", wait);
    if (load.lateness > Duration())
        return refusalWithRetry(now, submission, Reason::Overloaded,
                                "admission: the job can't end in time, or would make an accepted one late",
                                load.lateness);
    const auto late = now + wait + load.unloadedTime - std::min(submission.deadline, load.latestEnd);
    if (load.workAhead > Duration() && late > Duration())
        return refusalWithRetry(now, submission, Reason::Overloaded,
                                "admission: the job can't end in time behind the queued work", late);
    return std::nullopt;
}

TimePoint jitteredRetryTime(TimePoint earliest, Duration spread, const Submission &submission)
{
    constexpr std::uint64_t steps = 1 << 20;
    const auto hash = XXH3_64bits(submission.key.data(), submission.key.size()) % steps;
    return earliest + spread * static_cast<std::int64_t>(hash) / static_cast<std::int64_t>(steps);
}

} // namespace Citronpitch
