#pragma once

#include "citronpitch/nametable.h"
#include "citronpitch/timepoint.h"

#include <array>
#include <cstdint>
#include <string_view>

namespace Citronpitch {

/// Scenarios of the load tool.
enum class ScenarioName {
    Steady60,
    Steady90,
    Burst,
    Mixed,
    SlowHalf,
    BlackHole,
    WrongSizes,
    CancelWave,
    NeverFits,
    Retire,
    KillEntry,
    Cut,
};

inline constexpr std::array scenarioNames{
    EnumName<ScenarioName>{ScenarioName::Steady60, "steady60"},
    EnumName<ScenarioName>{ScenarioName::Steady90, "steady90"},
    EnumName<ScenarioName>{ScenarioName::Burst, "burst"},
    EnumName<ScenarioName>{ScenarioName::Mixed, "mixed"},
    EnumName<ScenarioName>{ScenarioName::SlowHalf, "slow-half"},
    EnumName<ScenarioName>{ScenarioName::BlackHole, "black-hole"},
    EnumName<ScenarioName>{ScenarioName::WrongSizes, "wrong-sizes"},
    EnumName<ScenarioName>{ScenarioName::CancelWave, "cancel-wave"},
    EnumName<ScenarioName>{ScenarioName::NeverFits, "never-fits"},
    EnumName<ScenarioName>{ScenarioName::Retire, "retire"},
    EnumName<ScenarioName>{ScenarioName::KillEntry, "kill-entry"},
    EnumName<ScenarioName>{ScenarioName::Cut, "cut"},
};

/// What happens in a scenario. Moments count from the first arrival.
struct Scenario
{
    ScenarioName name = ScenarioName::Steady60;
    /// Offered load as a share of what the upstreams can do.
    double utilisation = 0.6;
    /// Arrivals are this many times as frequent from @ref eventAt to @ref eventEnd.
    double burstFactor = 1;
    /// Task times are spread from 50 ms to several seconds.
    bool isMixed = false;
    /// Every second upstream takes this many times as long.
    double slowness = 1;
    /// Upstreams that fail all they start, at once.
    std::uint32_t blackHoles = 0;
    /// Declared times are this many times too long or too short.
    double declaredFactor = 1;
    /// Jobs that are submitted together at @ref eventAt and cancelled at @ref eventEnd.
    std::uint32_t cancelledJobs = 0;
    /// Share of jobs that need more memory than any upstream has.
    double neverFitsShare = 0;
    /// One class is retired at @ref eventAt.
    bool retiresClass = false;
    /// One entry VM is killed at @ref eventAt.
    bool killsEntryVm = false;
    /// One failure domain is cut off from @ref eventAt to @ref eventEnd.
    bool cutsDomain = false;
    Duration eventAt = std::chrono::milliseconds(2000);
    Duration eventEnd = std::chrono::milliseconds(4000);
    /// Time over which jobs arrive.
    Duration time = std::chrono::milliseconds(6000);
};

/// The scenario called @p name, or null.
const Scenario *findScenario(std::string_view name);

/// How the daemon chooses upstreams: its own way, or a baseline.
enum class PolicyName { Target, RoundRobin, Random, LeastOutstanding };

inline constexpr std::array policyNames{
    EnumName<PolicyName>{PolicyName::Target, "target"},
    EnumName<PolicyName>{PolicyName::RoundRobin, "round-robin"},
    EnumName<PolicyName>{PolicyName::Random, "random"},
    EnumName<PolicyName>{PolicyName::LeastOutstanding, "least-outstanding"},
};

} // namespace Citronpitch
