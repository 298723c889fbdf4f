#pragma once

#include "callerpool.h"
#include "loaddeployment.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>

namespace Citronpitch {

/// How well the target of one class was met.
struct ClassFigures
{
    std::string className;
    double targetMilliseconds = 0;
    /// Share of its jobs answered complete within the target; jobs refused or failed count as missed.
    double attainment = 0;
    std::uint64_t jobs = 0;
};

/// How many answers gave a reason.
struct ReasonCount
{
    std::string reason;
    std::uint64_t jobs = 0;
};

/// Figures of one run of a scenario under one policy.
struct LoadFigures
{
    std::string policy;
    /// Response over ideal of the jobs answered complete.
    Distribution ratio;
    std::vector<ClassFigures> classes;
    /// Reasons of answers that are not complete.
    std::vector<ReasonCount> reasons;
    std::uint64_t jobs = 0;
    std::uint64_t complete = 0;
    std::uint64_t failed = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t refused = 0;
    std::uint64_t unknown = 0;
    std::uint64_t lost = 0;
    std::uint64_t partial = 0;
    /// Tasks that were started more than once.
    std::uint64_t doubled = 0;
    /// Starts of tasks whose job was answered "refused, not run".
    std::uint64_t untrueRefusals = 0;
    /// Resubmissions that were answered otherwise than the submission.
    std::uint64_t contradicted = 0;
    std::uint64_t starts = 0;
    std::uint64_t declinedStarts = 0;
    std::uint64_t duplicateStarts = 0;
    /// Starts whose result nobody used, those of cancelled jobs apart.
    std::uint64_t unusedStarts = 0;
    std::uint64_t cancelledStarts = 0;
    /// Forwarded requests that were sent again.
    std::uint64_t resentForwards = 0;
    /// Messages beyond one start and one answer of a task that ran, for each task that ran.
    double wastedPerTask = 0;
    /// Share of the slots' time in which they ran tasks whose results were used.
    double utilisation = 0;
    double latenessP99 = 0;
    /// Links between VMs that carried nothing at the end of the run.
    std::vector<std::string> silentLinks;
    bool isShutdownClean = false;

    /// No start was doubled, no answer lost, partial or contradicted, no refusal untrue.
    bool isSound() const;

    /// One line for a person.
    std::string line() const;
};

/// Works out the figures of a run from what its clients saw and what the upstreams recorded.
LoadFigures loadFiguresOf(const CallerPool &pool, const LoadDeployment &deployment,
                          const StartRecords &records, const Scenario &scenario, SiteDelays delays);

nlohmann::json toJson(const LoadFigures &figures);

} // namespace Citronpitch
