#include "scenario.h"

#include <algorithm>

namespace Citronpitch {

namespace {

constexpr std::array scenarios{
    Scenario{.name = ScenarioName::Steady60},
    Scenario{.name = ScenarioName::Steady90, .utilisation = 0.9},
    Scenario{.name = ScenarioName::Burst, .utilisation = 0.4, .burstFactor = 10},
    Scenario{.name = ScenarioName::Mixed, .utilisation = 0.7, .isMixed = true},
    Scenario{.name = ScenarioName::SlowHalf, .slowness = 4},
    Scenario{.name = ScenarioName::BlackHole, .blackHoles = 2},
    Scenario{.name = ScenarioName::WrongSizes, .utilisation = 0.7, .declaredFactor = 10},
    Scenario{.name = ScenarioName::CancelWave, .cancelledJobs = 60},
    Scenario{.name = ScenarioName::NeverFits, .neverFitsShare = 0.05},
    Scenario{.name = ScenarioName::Retire, .retiresClass = true},
    Scenario{.name = ScenarioName::KillEntry, .killsEntryVm = true},
    Scenario{.name = ScenarioName::Cut, .cutsDomain = true},
};

} // namespace

const Scenario *findScenario(std::string_view name)
{
    const auto *it = std::find_if(scenarios.begin(), scenarios.end(), [&](const Scenario &scenario) {
        return enumName(scenarioNames, scenario.name) == name;
    });
    return it == scenarios.end() ? nullptr : it;
}

} // namespace Citronpitch
