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

} // namespace

SoakPlan planSoak(std::uint64_t seed, Duration length)
{
    SoakPlan plan{seed, length, seed % plannedOnlyPeriod == 0, {}};
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
            step.fault = soakFaultNames[static_cast<std::size_t>(draw(soakFaultNames.size()))].value;
            step.time = std::chrono::milliseconds(1 + draw(longestFaultMs));
            at += std::chrono::milliseconds(1 + draw(longestPauseMs));
        }
        plan.steps.push_back(step);
    }
    return plan;
}

} // namespace Citronpitch
