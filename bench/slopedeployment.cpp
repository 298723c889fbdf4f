#include "slopedeployment.h"

#include "arrivals.h"

#include <nlohmann/json.hpp>

#include <stdexcept>

namespace Citronpitch {

namespace {

constexpr auto readyTimeout = std::chrono::seconds(20);

} // namespace

DeploymentPlan slopePlan(const std::string &programs, const SlopeDeploymentSize &size)
{
    DeploymentPlan plan;
    plan.programs = programs;
    plan.folder = ".bench/slopes";
    for (int i = 0; i < size.vms; ++i)
        plan.vms.push_back({"vm" + std::to_string(i + 1), "domain" + std::to_string(i % size.domains + 1)});
    for (int i = 0; i < size.upstreams; ++i) {
        DeployedUpstream upstream;
        upstream.name = "upstream" + std::to_string(i + 1);
        upstream.failureDomain = "domain1";
        upstream.slots = size.slots;
        plan.upstreams.push_back(upstream);
    }
    const nlohmann::json classes{{{"name", checkClass}, {"targetTimeMs", 300}}};
    plan.vmSettings = nlohmann::json{{"initialConfiguration", {{"classes", classes}}}}.dump();
    return plan;
}

void startReady(Deployment &deployment)
{
    deployment.start();
    if (!deployment.waitUntilReady(readyTimeout))
        throw std::runtime_error("the deployment did not become ready");
}

} // namespace Citronpitch
