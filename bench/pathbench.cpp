#include "pathbench.h"

#include "announcer.h"
#include "closedloop.h"
#include "report.h"
#include "support/deployment.h"

#include <cstdio>
#include <stdexcept>

namespace Citronpitch {

namespace {

using Json = nlohmann::json;

constexpr auto readyTimeout = std::chrono::seconds(20);
constexpr int latencyRounds = 3000;
constexpr std::uint32_t slotsEach = 1000;
constexpr int upstreamProcesses = 4;

/// Two entry VMs in two failure domains; only the first domain has upstreams.
DeploymentPlan pathPlan(const std::string &programs)
{
    DeploymentPlan plan;
    plan.programs = programs;
    plan.folder = ".bench/path";
    plan.vms = {{"vm1", "north"}, {"vm2", "south"}};
    for (int i = 0; i < upstreamProcesses; ++i) {
        DeployedUpstream upstream;
        upstream.name = "upstream" + std::to_string(i + 1);
        upstream.failureDomain = "north";
        upstream.slots = slotsEach;
        plan.upstreams.push_back(upstream);
    }
    plan.vmSettings = R"({"initialConfiguration": {"classes": [{"name": "check", "targetTimeMs": 300}]}})";
    return plan;
}

Json latencyJson(const Distribution &times, const Distribution &direct)
{
    return {{"p50Ms", times.percentile(0.5)},
            {"p99Ms", times.percentile(0.99)},
            {"addedP50Ms", times.percentile(0.5) - direct.percentile(0.5)},
            {"addedP99Ms", times.percentile(0.99) - direct.percentile(0.99)}};
}

/// Time of an empty task: directly at an upstream, through its entry VM, and forwarded by another VM.
Json measureLatency(const Deployment &deployment, const Endpoint &upstream)
{
    SequentialCaller caller;
    Distribution direct;
    Distribution oneVm;
    Distribution forwarded;
    ClientRequest start;
    start.method = "POST";
    start.target = "/v1/tasks";
    for (int i = 0; i < latencyRounds; ++i) {
        double milliseconds = 0;
        JobText job;
        start.headers = {{"Attempt-Id", "direct." + std::to_string(i)}};
        start.body = R"({"id":"direct","ms":0})";
        caller.call(upstream, start, milliseconds);
        direct.add(milliseconds);
        job.key = freshKey("vm1");
        caller.call(deployment.callers("vm1"), submitRequest(job), milliseconds);
        oneVm.add(milliseconds);
        job.key = freshKey("vm1");
        caller.call(deployment.callers("vm2"), submitRequest(job), milliseconds);
        forwarded.add(milliseconds);
    }
    return {{"rounds", latencyRounds},
            {"direct", {{"p50Ms", direct.percentile(0.5)}, {"p99Ms", direct.percentile(0.99)}}},
            {"oneEntryVm", latencyJson(oneVm, direct)},
            {"forwarded", latencyJson(forwarded, direct)}};
}

/// Task starts of one entry VM under a closed loop of jobs of @p tasks tasks of @p milliseconds each.
Json measureStarts(Deployment &deployment, std::uint32_t tasks, double milliseconds)
{
    ClosedLoopPlan plan;
    plan.callers = deployment.callers("vm1");
    plan.home = "vm1";
    plan.job.tasks = tasks;
    plan.job.milliseconds = milliseconds;
    plan.job.declaredMilliseconds = static_cast<std::uint64_t>(milliseconds);
    plan.threads = 2;
    plan.jobsInFlight = std::max((milliseconds > 0 ? 1600U : 256U) / tasks, 2U);
    const double before = deployment.vm("vm1").processorSeconds();
    const auto result = runClosedLoop(plan);
    const double used = deployment.vm("vm1").processorSeconds() - before;
    const auto ran = static_cast<double>(result.tasksRan);
    std::printf("%3u tasks of %2.0f ms: %7.0f starts/s, %7.0f starts per core second, %llu other answers\n",
                tasks, milliseconds, ran / result.seconds, ran / used,
                static_cast<unsigned long long>(result.otherAnswers));
    return {{"tasksPerJob", tasks},
            {"taskMs", milliseconds},
            {"startsPerSecond", ran / result.seconds},
            {"startsPerCoreSecond", ran / used},
            {"daemonCoresUsed", used / result.seconds},
            {"otherAnswers", result.otherAnswers}};
}

/// Resident memory of an entry VM that ran no job and knows many upstreams.
Json measureAnnounced(const std::string &programs)
{
    constexpr std::uint32_t upstreams = 600;
    auto plan = pathPlan(programs);
    plan.folder = ".bench/announced";
    plan.upstreams.clear();
    Deployment deployment(plan);
    deployment.start();
    if (!deployment.waitUntilReady(readyTimeout))
        throw std::runtime_error("the deployment did not become ready");
    const auto before = deployment.vm("vm1").residentBytes();
    const auto accepted = announceMany(deployment.control("vm1"), {upstreams, 8, "announced"});
    const auto after = deployment.vm("vm1").residentBytes();
    deployment.stop();
    return {{"upstreams", accepted}, {"residentBytesBefore", before}, {"residentBytes", after}};
}

/// Messages to and from upstreams for each task that ran.
double messagesPerTask(const StartRecords &records)
{
    const auto messages = 2 * (records.started + records.declined + records.duplicates);
    return static_cast<double>(messages) / static_cast<double>(records.started);
}

void print(const char *name, const Json &latency)
{
    std::printf("%-12s added p50 %.3f ms, added p99 %.3f ms\n", name, latency.at("addedP50Ms").get<double>(),
                latency.at("addedP99Ms").get<double>());
}

} // namespace

int runPathBench(const std::string &programs)
{
    Deployment deployment(pathPlan(programs));
    deployment.start();
    if (!deployment.waitUntilReady(readyTimeout))
        throw std::runtime_error("the deployment did not become ready");
    Json report;
    report["latency"] = measureLatency(deployment, deployment.upstreamEndpoint("upstream1"));
    print("one VM:", report["latency"]["oneEntryVm"]);
    print("forwarded:", report["latency"]["forwarded"]);
    auto &starts = report["starts"] = Json::array();
    for (const double milliseconds : {0.0, 50.0}) {
        for (const std::uint32_t tasks : {1U, 16U, 64U, 640U})
            starts.push_back(measureStarts(deployment, tasks, milliseconds));
    }
    report["announced"] = measureAnnounced(programs);
    const bool isClean = deployment.stop();
    const auto records = deployment.records();
    report["messagesPerTask"] = messagesPerTask(records);
    report["declinedStarts"] = records.declined;
    report["duplicateStarts"] = records.duplicates;
    report["shutdownClean"] = isClean;
    std::printf("%.4f messages a task; %.1f MB resident with 600 upstreams announced; shutdown %s\n",
                messagesPerTask(records), report["announced"]["residentBytes"].get<double>() / 1e6,
                isClean ? "clean" : "not clean");
    writeReport("path", report);
    return isClean ? 0 : 1;
}

} // namespace Citronpitch
