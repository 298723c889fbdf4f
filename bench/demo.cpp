#include "support/deployment.h"

#include <nlohmann/json.hpp>

#include <cstdio>
#include <iostream>

namespace {

using namespace Citronpitch;
using Json = nlohmann::json;

constexpr auto readyTimeout = std::chrono::seconds(20);

/// One submission of the demo.
struct DemoJob
{
    std::string vm;
    std::string name;
    int tasks = 1;
    int milliseconds = 50;
    int status = 200;
    std::string className = "casework";
};

DeploymentPlan demoPlan(const std::string &programs)
{
    DeploymentPlan plan;
    plan.programs = programs;
    plan.folder = ".demo";
    const std::vector<std::string> domains{"glasgow-north", "glasgow-south", "paisley", "clydebank"};
    for (int i = 0; i < 7; ++i)
        plan.vms.push_back(
            {"vm" + std::to_string(i + 1), domains[static_cast<std::size_t>(i) % domains.size()]});
    for (int i = 0; i < 12; ++i) {
        DeployedUpstream upstream;
        upstream.name = "upstream" + std::to_string(i + 1);
        upstream.failureDomain = domains[static_cast<std::size_t>(i) % domains.size()];
        upstream.rack = "rack" + std::to_string(i % 4);
        plan.upstreams.push_back(upstream);
    }
    plan.vmSettings = R"({"initialConfiguration": {"classes": [{"name": "casework", "targetTimeMs": 300}]}})";
    return plan;
}

ClientRequest requestOf(const DemoJob &job)
{
    Json tasks = Json::array();
    for (int i = 0; i < job.tasks; ++i) {
        const Json payload{
            {"id", job.name + "/" + std::to_string(i)}, {"ms", job.milliseconds}, {"status", job.status}};
        tasks.push_back({{"payload", payload.dump()}, {"declaredMs", job.milliseconds}});
    }
    ClientRequest request;
    request.method = "POST";
    request.target = "/v1/jobs";
    request.headers = {{"Idempotency-Key", job.name}};
    request.body = Json{{"team", "demo"}, {"class", job.className}, {"tasks", tasks}}.dump();
    request.timeout = std::chrono::seconds(60);
    return request;
}

/// Submits @p job, prints its answer, and returns whether the outcome is @p expected.
bool show(const Deployment &deployment, const DemoJob &job, const std::string &expected)
{
    const auto start = std::chrono::steady_clock::now();
    const auto response = call(deployment.callers(job.vm), requestOf(job));
    const std::chrono::duration<double, std::milli> elapsed = std::chrono::steady_clock::now() - start;
    std::string outcome = "none";
    std::size_t tasks = 0;
    if (response.outcome == ExchangeOutcome::Answered) {
        const auto body = Json::parse(response.response.body);
        outcome = body.value("outcome", "none");
        tasks = body.value("tasks", Json::array()).size();
    }
    const double ideal = job.milliseconds;
    std::printf("%-4s %-10s %3d tasks of %3d ms: %-8s %3zu reports, %6.1f ms, %.2f times the ideal\n",
                job.vm.c_str(), job.name.c_str(), job.tasks, job.milliseconds, outcome.c_str(), tasks,
                elapsed.count(), elapsed.count() / ideal);
    return outcome == expected;
}

int runDemo(const std::string &programs)
{
    Deployment deployment(demoPlan(programs));
    deployment.start();
    if (!deployment.waitUntilReady(readyTimeout)) {
        std::cerr << "demo: the deployment did not become ready\n";
        return 1;
    }
    std::puts("7 entry VMs and 12 upstreams in 4 failure domains are up");
    bool isAsExpected = true;
    for (int i = 0; i < 8; ++i) {
        const auto vm = "vm" + std::to_string(i % 7 + 1);
        isAsExpected =
            show(deployment, {vm, "request-" + std::to_string(i), 1, 50}, "complete") && isAsExpected;
        isAsExpected = show(deployment, {vm, "job-" + std::to_string(i), 12, 80}, "complete") && isAsExpected;
    }
    isAsExpected = show(deployment, {"vm5", "job-0", 12, 80}, "complete") && isAsExpected;
    isAsExpected = show(deployment, {"vm3", "failing", 1, 50, 500}, "failed") && isAsExpected;
    isAsExpected =
        show(deployment, {"vm2", "unheard-of", 1, 50, 200, "no-such-class"}, "refused") && isAsExpected;
    const bool isClean = deployment.stop();
    const auto records = deployment.records();
    const auto wasted = records.declined + records.duplicates;
    std::printf(
        "%llu starts, %llu tasks started twice, %.4f wasted messages a task; graceful shutdown: %s\n",
        static_cast<unsigned long long>(records.started), static_cast<unsigned long long>(records.doubled),
        static_cast<double>(wasted) / static_cast<double>(records.started), isClean ? "clean" : "not clean");
    return isAsExpected && isClean && records.doubled == 0 ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
{
    const std::string programs = argc == 3 && std::string(argv[1]) == "--programs" ? argv[2] : "build";
    return runDemo(programs);
}
