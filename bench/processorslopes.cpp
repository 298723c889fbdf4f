#include "processorslopes.h"

#include "announcer.h"
#include "closedloop.h"
#include "slopedeployment.h"

#include <array>
#include <functional>

namespace Citronpitch {

namespace {

constexpr std::array<std::uint64_t, 3> taskSizes{20000, 40000, 80000};
constexpr std::array<std::uint64_t, 3> forwardSizes{5000, 10000, 20000};
constexpr std::array<std::uint32_t, 3> announcementSizes{4000, 8000, 16000};
constexpr std::uint32_t tasksEach = 16;

/// Processor seconds that two VMs use while @p action runs.
struct UsedSeconds
{
    double first = 0;
    double second = 0;
};

UsedSeconds usedDuring(Deployment &deployment, const std::function<void()> &action)
{
    const double first = deployment.vm("vm1").processorSeconds();
    const double second = deployment.vm("vm2").processorSeconds();
    action();
    return {deployment.vm("vm1").processorSeconds() - first,
            deployment.vm("vm2").processorSeconds() - second};
}

ClosedLoopPlan loopPlan(const Deployment &deployment, const std::string &through, std::uint32_t tasks)
{
    ClosedLoopPlan plan;
    plan.callers = deployment.callers(through);
    plan.home = "vm1";
    plan.job.tasks = tasks;
    plan.jobsInFlight = 16;
    return plan;
}

MeasuredSlope taskStarts(Deployment &deployment)
{
    MeasuredSlope slope{"processor time per task start", "task in jobs of 16", "s", {}};
    for (const auto size : taskSizes) {
        auto plan = loopPlan(deployment, "vm1", tasksEach);
        plan.jobs = size / tasksEach;
        const auto used = usedDuring(deployment, [&] { runClosedLoop(plan); });
        slope.points.push_back({static_cast<double>(size), used.first});
    }
    return slope;
}

std::vector<MeasuredSlope> forwardedJobs(Deployment &deployment)
{
    MeasuredSlope home{"processor time per job at its home", "forwarded job of one task", "s", {}};
    MeasuredSlope entry{"processor time per job forwarded", "forwarded job of one task", "s", {}};
    for (const auto size : forwardSizes) {
        auto plan = loopPlan(deployment, "vm2", 1);
        plan.jobs = size;
        const auto used = usedDuring(deployment, [&] { runClosedLoop(plan); });
        home.points.push_back({static_cast<double>(size), used.first});
        entry.points.push_back({static_cast<double>(size), used.second});
    }
    return {home, entry};
}

/// Announcements to vm1, which spreads them to vm2 of the same domain.
std::vector<MeasuredSlope> announcements(const std::string &programs)
{
    Deployment deployment(slopePlan(programs, {2, 1, 0}));
    startReady(deployment);
    MeasuredSlope taken{"processor time per announcement", "announcement over HTTP", "s", {}};
    MeasuredSlope spread{"processor time per announcement heard", "announcement from a VM", "s", {}};
    for (const auto size : announcementSizes) {
        const auto used = usedDuring(deployment, [&] {
            constexpr std::uint32_t known = 1000;
            for (std::uint32_t sent = 0; sent < size; sent += known)
                announceMany(deployment.control("vm1"), {known, 8, "announced"});
        });
        taken.points.push_back({static_cast<double>(size), used.first});
        spread.points.push_back({static_cast<double>(size), used.second});
    }
    deployment.stop();
    return {taken, spread};
}

} // namespace

std::vector<MeasuredSlope> measureProcessorSlopes(const std::string &programs)
{
    std::vector<MeasuredSlope> slopes;
    {
        Deployment deployment(slopePlan(programs, {2, 2, 4}));
        startReady(deployment);
        slopes.push_back(taskStarts(deployment));
        for (auto &it : forwardedJobs(deployment))
            slopes.push_back(std::move(it));
        deployment.stop();
    }
    for (auto &it : announcements(programs))
        slopes.push_back(std::move(it));
    return slopes;
}

} // namespace Citronpitch
