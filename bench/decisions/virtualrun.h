#pragma once

#include "citronpitch/dispatcher.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Citronpitch {

/// How several entry VMs of a failure domain share the slots.
enum class SlotSharing {
    /// Each has a fixed part.
    Split,
    /// Each has a part, and borrows what others leave idle.
    Loans,
    /// Each uses all of them; an upstream declines what is too much.
    Optimistic,
};

/// One experiment over the decision library in virtual time.
struct VirtualScenario
{
    std::string name;
    std::uint32_t upstreams = 12;
    std::uint32_t slots = 8;
    /// Share of the upstreams that are slow, and how many times longer they take.
    double slowShare = 0;
    double slowness = 1;
    /// Share of the capacity that the arrivals ask for.
    double load = 0.6;
    /// Declared times are off by up to this factor either way.
    double declaredError = 1;
    /// Upstreams that fail every task at once.
    std::uint32_t blackHoles = 0;
    /// Share of the jobs with many tasks, and how many they have.
    double wideShare = 0.05;
    std::uint32_t wideTasks = 64;
    std::uint32_t vms = 1;
    /// Share of the jobs that arrive at the first entry VM; the others share the rest evenly.
    double firstVmShare = 1;
    SlotSharing sharing = SlotSharing::Loans;
    /// Arrivals are this many times as frequent from the second second to the fourth.
    double burstFactor = 1;
    /// Time from the arrival of a job to its deadline, besides twice its ideal time.
    Duration patience = std::chrono::seconds(30);
    Duration length = std::chrono::seconds(30);
};

/// What came of one run.
struct VirtualFigures
{
    double meanRatio = 0;
    double medianRatio = 0;
    double p99Ratio = 0;
    /// Share of jobs that met the target time of their class.
    double targetShare = 0;
    std::uint32_t jobs = 0;
    std::uint32_t failedJobs = 0;
    std::uint32_t refusedJobs = 0;
    /// Share of the slots' time that was used while jobs arrived.
    double utilisation = 0;
    std::uint32_t starts = 0;
    /// Starts for jobs that were not answered with success.
    std::uint32_t uselessStarts = 0;
    /// Starts that an upstream declined; each wastes two messages.
    std::uint32_t declined = 0;
    /// Messages between entry VMs.
    std::uint32_t control = 0;
};

/// Runs @p scenario with @p policy; the same seed gives the same arrivals and task times to every policy.
VirtualFigures runVirtually(const VirtualScenario &scenario, PlacementPolicy policy, std::uint64_t seed);

} // namespace Citronpitch
