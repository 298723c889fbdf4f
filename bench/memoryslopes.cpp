#include "memoryslopes.h"

#include "announcer.h"
#include "closedloop.h"
#include "slopedeployment.h"

#include <array>
#include <csignal>

namespace Citronpitch {

namespace {

constexpr std::array<std::uint32_t, 4> upstreamSizes{600, 1200, 2400, 4800};
constexpr std::array<std::uint32_t, 4> keySizes{10000, 20000, 40000, 80000};
constexpr std::array<std::uint64_t, 3> openSizes{2000, 4000, 8000};
constexpr std::array<std::uint64_t, 3> queuedJobSizes{100, 200, 400};
constexpr std::uint32_t tasksOfQueuedJob = 50;
constexpr double longTaskMilliseconds = 60000;

double residentBytes(Deployment &deployment)
{
    return static_cast<double>(deployment.vm("vm1").residentBytes());
}

MeasuredSlope announcedUpstreams(const std::string &programs)
{
    MeasuredSlope slope{"memory per announced upstream", "upstream", "B", {}};
    Deployment deployment(slopePlan(programs, {}));
    startReady(deployment);
    std::uint32_t announced = 0;
    for (const auto size : upstreamSizes) {
        AnnouncedUpstreams upstreams{size - announced, 8, "announced", {}, announced};
        announced += announceMany(deployment.control("vm1"), upstreams);
        slope.points.push_back({static_cast<double>(announced), residentBytes(deployment)});
    }
    deployment.stop();
    return slope;
}

MeasuredSlope rememberedKeys(const std::string &programs)
{
    MeasuredSlope slope{"memory per remembered key", "answered job of one task", "B", {}};
    Deployment deployment(slopePlan(programs, {1, 1, 2}));
    startReady(deployment);
    std::uint64_t keys = 0;
    for (const auto size : keySizes) {
        ClosedLoopPlan plan;
        plan.callers = deployment.callers("vm1");
        plan.home = "vm1";
        plan.jobsInFlight = 64;
        plan.jobs = size - keys;
        keys += runClosedLoop(plan).jobsAnswered;
        slope.points.push_back({static_cast<double>(keys), residentBytes(deployment)});
    }
    deployment.stop();
    return slope;
}

/// Jobs of @p tasks tasks that wait behind one slot, which a long task holds.
MeasuredSlope waitingJobs(const std::string &programs, MeasuredSlope slope, std::uint32_t tasks,
                          const std::array<std::uint64_t, 3> &sizes)
{
    Deployment deployment(slopePlan(programs, {1, 1, 1, 1}));
    startReady(deployment);
    ClosedLoopPlan plan;
    plan.callers = deployment.callers("vm1");
    plan.home = "vm1";
    plan.jobsInFlight = 16;
    plan.job.wait = false;
    plan.job.milliseconds = longTaskMilliseconds;
    const auto inAnHour = std::chrono::system_clock::now() + std::chrono::hours(1);
    plan.job.deadlineMilliseconds =
        std::chrono::duration_cast<std::chrono::milliseconds>(inAnHour.time_since_epoch()).count();
    plan.jobs = 1;
    runClosedLoop(plan);
    plan.job.tasks = tasks;
    std::uint64_t jobs = 0;
    for (const auto size : sizes) {
        plan.jobs = size - jobs;
        const auto result = runClosedLoop(plan);
        jobs += result.jobsAnswered;
        if (result.otherAnswers > 0)
            slope.name += " (" + std::to_string(result.otherAnswers) + " refused)";
        slope.points.push_back({static_cast<double>(jobs * tasks), residentBytes(deployment)});
    }
    deployment.vm("vm1").signal(SIGKILL);
    return slope;
}

} // namespace

std::vector<MeasuredSlope> measureMemorySlopes(const std::string &programs)
{
    return {announcedUpstreams(programs), rememberedKeys(programs),
            waitingJobs(programs, {"memory per open job", "job of one task", "B", {}}, 1, openSizes),
            waitingJobs(programs, {"memory per queued task", "task in jobs of 50", "B", {}}, tasksOfQueuedJob,
                        queuedJobSizes)};
}

} // namespace Citronpitch
