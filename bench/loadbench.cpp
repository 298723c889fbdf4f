#include "loadbench.h"

#include "callerpool.h"
#include "loadfigures.h"
#include "plot.h"
#include "report.h"

#include <cstdio>

namespace Citronpitch {

using Json = nlohmann::json;

namespace {

constexpr std::array policies{PolicyName::Target, PolicyName::RoundRobin, PolicyName::Random,
                              PolicyName::LeastOutstanding};

/// A job may take this long beyond three times its ideal time.
constexpr Duration deadlineMargin = std::chrono::milliseconds(2000);

Duration deadlineOf(const LoadDeployment &deployment, const Arrival &arrival)
{
    const double ideal = deployment.idealMilliseconds(arrival.tasks, arrival.milliseconds);
    return deadlineMargin + Duration(static_cast<std::int64_t>(3 * ideal * 1000));
}

std::vector<CallerPoolPlan::Event> eventsOf(const Scenario &scenario, LoadDeployment &deployment)
{
    std::vector<CallerPoolPlan::Event> events;
    if (scenario.killsEntryVm)
        events.push_back({scenario.eventAt, [&deployment] { deployment.killFirstVm(); }});
    if (scenario.retiresClass)
        events.push_back({scenario.eventAt, [&deployment] { deployment.retireBatchClass(); }});
    if (scenario.cutsDomain) {
        events.push_back({scenario.eventAt, [&deployment] { deployment.setCut(true); }});
        events.push_back({scenario.eventEnd, [&deployment] { deployment.setCut(false); }});
    }
    return events;
}

CallerPoolPlan poolPlan(const LoadBenchPlan &plan, LoadDeployment &deployment)
{
    CallerPoolPlan pool;
    pool.arrivals =
        generateArrivals({plan.scenario, plan.seed, deployment.capacity(), deployment.vmWeights()});
    for (const auto &it : deployment.vms()) {
        pool.vms.push_back(it.name);
        pool.callers.push_back(deployment.deployment().callers(it.name));
    }
    pool.clientDelay = delaysOf(plan.site).toClients;
    pool.deadline = [&deployment](const Arrival &arrival) { return deadlineOf(deployment, arrival); };
    pool.cancelAt = plan.scenario.eventEnd;
    pool.events = eventsOf(plan.scenario, deployment);
    return pool;
}

void addWaste(LoadFigures &figures)
{
    const auto wasted =
        figures.declinedStarts + figures.duplicateStarts + figures.unusedStarts + figures.cancelledStarts;
    const auto ran = figures.starts - figures.unusedStarts - figures.cancelledStarts;
    figures.wastedPerTask = ran == 0 ? 0 : 2 * static_cast<double>(wasted) / static_cast<double>(ran);
}

LoadFigures runOnce(const LoadBenchPlan &plan, PolicyName policy)
{
    LoadDeployment deployment(plan.programs, plan.scenario, policy, plan.site);
    deployment.start();
    CallerPool pool(poolPlan(plan, deployment));
    pool.run();
    const auto silentLinks = deployment.silentLinks();
    const bool isClean = deployment.deployment().stop();
    auto figures = loadFiguresOf(pool, deployment, deployment.deployment().records(), plan.scenario,
                                 delaysOf(plan.site));
    figures.policy = enumName(policyNames, policy);
    figures.silentLinks = silentLinks;
    figures.isShutdownClean = isClean || plan.scenario.killsEntryVm;
    addWaste(figures);
    return figures;
}

} // namespace

int runLoadBench(const LoadBenchPlan &plan)
{
    const std::string scenario(enumName(scenarioNames, plan.scenario.name));
    const std::string site(enumName(siteNames, plan.site));
    Json report{{"scenario", scenario}, {"site", site}, {"seed", plan.seed}, {"runs", Json::array()}};
    std::vector<PlotCurve> curves;
    bool isSound = true;
    for (const auto policy : policies) {
        const auto figures = runOnce(plan, policy);
        std::printf("%-12s%s\n", scenario.c_str(), figures.line().c_str());
        std::fflush(stdout);
        report["runs"].push_back(toJson(figures));
        curves.push_back({figures.policy, figures.ratio});
        isSound = isSound && figures.isSound();
    }
    const auto name = "load-" + scenario + (plan.site == SiteName::Clydeside ? "" : "-" + site);
    writeReport(name, report);
    writeResultFile(name + ".svg",
                    distributionPlot(scenario + ", " + site + ", seed " + std::to_string(plan.seed),
                                     "response time over ideal", curves));
    return isSound ? 0 : 1;
}

} // namespace Citronpitch
