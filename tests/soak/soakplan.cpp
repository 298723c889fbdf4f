#include "soak/soakplan.h"

#include <random>

namespace Citronpitch {

namespace {

constexpr std::uint64_t plannedOnlyPeriod = 4;
/// Faults come in series and overlap: the pause between two is shorter than most of them last.
constexpr std::int64_t longestPauseMs = 900;
constexpr std::int64_t longestFaultMs = 3000;
/// Time between two shutdowns in turn; one VM is back before the next one goes.
constexpr Duration rollPeriod = std::chrono::milliseconds(5000);
/// No fault begins in the first second, so that each run serves something.
constexpr Duration calmStart = std::chrono::seconds(1);
/// LosePower is the last fault of the table and is drawn apart, so that the plans of seeds without it remain.
constexpr std::size_t drawnFaults = soakFaultNames.size() - 1;
static_assert(soakFaultNames.back().value == SoakFault::LosePower);
/// Time from one loss of power to the next; the VMs are back before it.
constexpr std::int64_t shortestPowerPauseMs = 2500;
constexpr std::int64_t longestPowerPauseMs = 4500;

/// Adds losses of power to @p plan.
void addPowerLosses(SoakPlan &plan)
{
    std::mt19937_64 random(~plan.seed);
    const auto draw = [&](std::int64_t limit) {
        return static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(limit));
    };
    const auto pause = [&] {
        return std::chrono::milliseconds(shortestPowerPauseMs
                                         + draw(longestPowerPauseMs - shortestPowerPauseMs));
    };
    for (Duration at = calmStart + std::chrono::milliseconds(draw(shortestPowerPauseMs)); at < plan.length;
         at += pause()) {
        const auto target = static_cast<std::size_t>(draw(1000));
        plan.steps.push_back(
            {at, SoakFault::LosePower, target, std::chrono::milliseconds(1 + draw(longestFaultMs))});
    }
}

} // namespace

SoakPlan planSoak(std::uint64_t seed, Duration length, bool losesPower)
{
    SoakPlan plan{seed, length, !losesPower && seed % plannedOnlyPeriod == 0, losesPower, {}};
    std::mt19937_64 random(seed);
    const auto draw = [&](std::int64_t limit) {
        return static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(limit));
    };
    for (auto at = calmStart; at < length;) {
        SoakStep step;
        step.at = at;
        step.target = static_cast<std::size_t>(draw(1000));
        if (plan.isPlannedOnly) {
            step.fault = SoakFault::Terminate;
            at += rollPeriod;
        } else {
            step.fault = soakFaultNames[static_cast<std::size_t>(draw(drawnFaults))].value;
            step.time = std::chrono::milliseconds(1 + draw(longestFaultMs));
            at += std::chrono::milliseconds(1 + draw(longestPauseMs));
        }
        plan.steps.push_back(step);
    }
    if (losesPower)
        addPowerLosses(plan);
    return plan;
}

} // namespace Citronpitch
