#include "configurationslopes.h"

#include "countedlinks.h"
#include "slopedeployment.h"

#include <nlohmann/json.hpp>

#include <array>
#include <chrono>
#include <thread>

namespace Citronpitch {

namespace {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr std::array<int, 4> vmSizes{3, 5, 7, 9};
constexpr std::uint64_t changes = 40;
constexpr auto idleTime = std::chrono::seconds(2);
constexpr auto changeTimeout = std::chrono::seconds(10);
constexpr auto pollPeriod = std::chrono::milliseconds(2);

std::uint64_t versionAt(const Deployment &deployment, const std::string &vm)
{
    ClientRequest request;
    request.target = "/v1/configuration";
    request.timeout = std::chrono::seconds(2);
    const auto response = call(deployment.control(vm), request);
    if (response.outcome != ExchangeOutcome::Answered || response.response.status != 200)
        return 0;
    return Json::parse(response.response.body).value("version", std::uint64_t{0});
}

bool change(const Deployment &deployment, const std::string &vm, std::uint64_t basedOn)
{
    ClientRequest request;
    request.method = "POST";
    request.target = "/v1/configuration/changes";
    request.body = Json{{"id", "change-" + std::to_string(basedOn)},
                        {"author", "slopes"},
                        {"basedOn", basedOn},
                        {"change",
                         {{"type", "setTeam"},
                          {"team", {{"name", "team" + std::to_string(basedOn)}, {"quotaTasks", 100}}}}}}
                       .dump();
    request.timeout = std::chrono::seconds(2);
    const auto response = call(deployment.control(vm), request);
    return response.outcome == ExchangeOutcome::Answered && response.response.status == 200;
}

/// Makes one change and waits until every VM shows it. Returns the milliseconds; negative where it failed.
double changeEverywhere(const Deployment &deployment, int vms)
{
    const auto start = Clock::now();
    const auto before = versionAt(deployment, "vm1");
    while (!change(deployment, "vm1", before)) {
        if (Clock::now() - start > changeTimeout || versionAt(deployment, "vm1") > before)
            break;
        std::this_thread::sleep_for(pollPeriod);
    }
    for (int i = 1; i <= vms; ++i) {
        while (versionAt(deployment, "vm" + std::to_string(i)) <= before) {
            if (Clock::now() - start > changeTimeout)
                return -1;
            std::this_thread::sleep_for(pollPeriod);
        }
    }
    return std::chrono::duration<double, std::milli>(Clock::now() - start).count();
}

/// What a number of changes cost in a deployment of one size, the idle traffic taken off.
struct ChangeCost
{
    double bytes = 0;
    double longestMilliseconds = 0;
    bool isWhole = true;
};

ChangeCost measureChanges(const std::string &programs, int vms)
{
    CountedLinks links([](const std::string &, const std::string &) { return true; });
    auto plan = slopePlan(programs, {vms, vms, 0});
    plan.route = [&links](const std::string &from, const std::string &to, const Endpoint &direct) {
        return links.route(from, to, direct);
    };
    Deployment deployment(plan);
    startReady(deployment);
    changeEverywhere(deployment, vms);
    const auto idleBefore = links.bytes();
    std::this_thread::sleep_for(idleTime);
    const double idleRate = (links.bytes() - idleBefore) / std::chrono::duration<double>(idleTime).count();
    ChangeCost cost;
    const auto start = Clock::now();
    const double before = links.bytes();
    for (std::uint64_t i = 0; i < changes; ++i) {
        const double milliseconds = changeEverywhere(deployment, vms);
        cost.isWhole = cost.isWhole && milliseconds >= 0;
        cost.longestMilliseconds = std::max(cost.longestMilliseconds, milliseconds);
    }
    const double seconds = std::chrono::duration<double>(Clock::now() - start).count();
    cost.bytes = links.bytes() - before - idleRate * seconds;
    deployment.stop();
    return cost;
}

} // namespace

std::vector<MeasuredSlope> measureConfigurationSlopes(const std::string &programs)
{
    MeasuredSlope bytes{"bytes per configuration change", "VM", "B on all links", {}};
    MeasuredSlope longest{"longest change until in force", "VM", "ms", {}};
    for (const auto n : vmSizes) {
        const auto cost = measureChanges(programs, n);
        const auto size = static_cast<double>(n);
        if (!cost.isWhole)
            longest.name += " (not in force everywhere at " + std::to_string(n) + " VMs)";
        bytes.points.push_back({size, cost.bytes / static_cast<double>(changes)});
        longest.points.push_back({size, cost.longestMilliseconds});
    }
    return {bytes, longest};
}

} // namespace Citronpitch
