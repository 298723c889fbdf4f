#pragma once

#include "scenario.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Citronpitch {

/// Class with a short target, and class of larger jobs.
inline constexpr const char *checkClass = "check";
inline constexpr const char *batchClass = "batch";

/// What becomes of a job besides being answered.
enum class ArrivalKind {
    Ordinary,
    /// Part of a wave that is cancelled.
    Cancelled,
    /// Needs more than any upstream has.
    NeverFits,
};

/// One job that a client submits at a fixed moment, whatever became of those before it.
struct Arrival
{
    /// Moment after the start of the run.
    Duration at{};
    ArrivalKind kind = ArrivalKind::Ordinary;
    std::string className;
    std::uint32_t tasks = 1;
    double milliseconds = 0;
    std::uint64_t declaredMilliseconds = 0;
    /// Number of the entry VM that the balancer chose.
    std::size_t vm = 0;
    /// The request reaches another VM than the home of its key.
    bool isForwarded = false;
    /// The client sends it a second time to another VM.
    bool isResubmitted = false;
};

/// What arrivals are generated for.
struct ArrivalPlan
{
    Scenario scenario;
    std::uint64_t seed = 1;
    /// Milliseconds of work that the upstreams do each second.
    double capacity = 0;
    /// Share of the connections that each entry VM gets.
    std::vector<double> vmWeights;
};

/// Arrivals of a Poisson process, in order of time; the same plan gives the same arrivals.
std::vector<Arrival> generateArrivals(const ArrivalPlan &plan);

} // namespace Citronpitch
