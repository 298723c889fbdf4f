#include "controlslopes.h"

#include "announcer.h"
#include "countedlinks.h"
#include "slopedeployment.h"

#include <array>
#include <functional>
#include <thread>

namespace Citronpitch {

namespace {

constexpr std::array<int, 4> vmSizes{4, 8, 16, 32};
constexpr std::array<std::uint32_t, 3> upstreamSizes{100, 200, 400};
constexpr auto settleTime = std::chrono::seconds(1);
constexpr auto measuredTime = std::chrono::seconds(4);

/// What one VM spent in an idle deployment.
struct ControlCost
{
    /// Sent and received on the links between VMs, by the first VM, each second.
    double bytesPerSecond = 0;
    /// Processor seconds of the first VM each second.
    double processorShare = 0;
};

ControlCost measureOnce(const std::string &programs, const SlopeDeploymentSize &size,
                        const std::function<void(Deployment &)> &load)
{
    CountedLinks links(
        [](const std::string &from, const std::string &to) { return from == "vm1" || to == "vm1"; });
    auto plan = slopePlan(programs, size);
    plan.route = [&links](const std::string &from, const std::string &to, const Endpoint &direct) {
        return links.route(from, to, direct);
    };
    Deployment deployment(plan);
    startReady(deployment);
    std::this_thread::sleep_for(settleTime);
    const double seconds = std::chrono::duration<double>(measuredTime).count();
    const double bytes = links.bytes();
    const double used = deployment.vm("vm1").processorSeconds();
    const auto end = std::chrono::steady_clock::now() + measuredTime;
    if (load)
        load(deployment);
    std::this_thread::sleep_until(end);
    const ControlCost cost{(links.bytes() - bytes) / seconds,
                           (deployment.vm("vm1").processorSeconds() - used) / seconds};
    deployment.stop();
    return cost;
}

void addVmSlopes(std::vector<MeasuredSlope> &slopes, const std::string &programs, bool isOneDomain)
{
    const std::string unit = isOneDomain ? "VM of the domain" : "failure domain of one VM";
    MeasuredSlope bytes{
        std::string("control bytes against ") + (isOneDomain ? "VMs" : "domains"), unit, "B/s", {}};
    MeasuredSlope share{
        std::string("control processor against ") + (isOneDomain ? "VMs" : "domains"), unit, "cores", {}};
    for (const auto n : vmSizes) {
        const auto cost = measureOnce(programs, {n, isOneDomain ? 1 : n, 0}, nullptr);
        bytes.points.push_back({static_cast<double>(n), cost.bytesPerSecond});
        share.points.push_back({static_cast<double>(n), cost.processorShare});
    }
    slopes.push_back(std::move(bytes));
    slopes.push_back(std::move(share));
}

/// Two VMs of one domain; each upstream renews its lease with the first of them twice a second.
MeasuredSlope upstreamBytes(const std::string &programs)
{
    MeasuredSlope slope{"control bytes against upstreams", "upstream renewing twice a second", "B/s", {}};
    for (const auto n : upstreamSizes) {
        const auto cost = measureOnce(programs, {2, 1, 0}, [&](Deployment &deployment) {
            const auto period = std::chrono::duration_cast<Duration>(std::chrono::milliseconds(500)) / n;
            for (std::uint32_t i = 0; i < 8; ++i)
                announceMany(deployment.control("vm1"), {n, 8, "announced", period});
        });
        slope.points.push_back({static_cast<double>(n), cost.bytesPerSecond});
    }
    return slope;
}

} // namespace

std::vector<MeasuredSlope> measureControlSlopes(const std::string &programs)
{
    std::vector<MeasuredSlope> slopes;
    addVmSlopes(slopes, programs, true);
    addVmSlopes(slopes, programs, false);
    slopes.push_back(upstreamBytes(programs));
    return slopes;
}

} // namespace Citronpitch
