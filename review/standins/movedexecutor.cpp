// Case: an executor crashes and starts again under its id in another service.
#include "fleet.h"

#include <algorithm>
#include <iostream>
#include <memory>
#include <thread>

using namespace Review;

namespace {

constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitNotRun = 2;

constexpr int workMs = 200;
constexpr int smallJob = 1;
constexpr int largeJob = 3;
constexpr int millicores = 14000;
constexpr int deadlineMs = 1500;
constexpr int executorMillicores = 32000;
constexpr std::size_t executorCount = 8;
constexpr int jobs = 60;
constexpr int jobsBefore = 20;
constexpr auto jobInterval = Milliseconds(100);
/// How long the executor is down; at most 4.5 s on the site.
constexpr auto downTime = Milliseconds(1000);
constexpr const char *prefix = "/lohu930/";

} // namespace

int main(int argc, char **argv)
{
    if (argc != 2)
        return exitNotRun;
    Record record(argv[1]);
    const std::vector<std::string> zones{"glasgow-north", "glasgow-south", "paisley", "clydebank"};
    Fleet fleet({zones, {"glasgow-north", "paisley"}}, record);
    const auto document = configuration(1,
                                        {route("r-status", prefix, "adapt-grants", deadlineMs),
                                         route("r-other", "/pufi791/", "adapt-other", deadlineMs)},
                                        {"adapt-grants", "adapt-other"});
    if (!fleet.start() || !fleet.configure(document))
        return exitNotRun;
    std::vector<ExecutorPlan> plans;
    std::vector<std::unique_ptr<Executor>> executors;
    for (std::size_t i = 0; i < executorCount; ++i) {
        const auto *service = i + 1 < executorCount ? "adapt-grants" : "adapt-other";
        ExecutorPlan plan{
            "i-" + std::to_string(i + 1), service, zones[i / 2], {"a", "r1-1"}, executorMillicores};
        plan.own = fleet.newExecutorAddress();
        plan.controls = fleet.controls();
        plans.push_back(plan);
        executors.push_back(std::make_unique<Executor>(plan, record, millicores));
    }
    if (!fleet.waitUntilReady())
        return exitNotRun;
    std::this_thread::sleep_for(std::chrono::seconds(2));
    const auto jobOf = [](int tasks) {
        return bestEffortJob(workMs, {{"Count", tasks}, {"Cpu", millicores}, {"MemMb", 64}});
    };
    std::vector<SentJob> sent(jobs);
    std::vector<std::thread> clients;
    std::vector<SeenRun> runs;
    for (int i = 0; i < jobs; ++i) {
        // The executors are idle when the traffic grows.
        if (i == jobsBefore)
            std::this_thread::sleep_for(std::chrono::seconds(1));
        if (i == jobsBefore && isTroubled()) {
            record.write("platform: executor i-1 crashes");
            runs = executors[0]->runs();
            executors[0].reset();
            std::this_thread::sleep_for(downTime);
            plans[0].service = "adapt-other";
            executors[0] = std::make_unique<Executor>(plans[0], record, millicores);
            record.write("platform: executor i-1 starts again, in service adapt-other");
        }
        clients.emplace_back([&, i, id = newJobId()] {
            sent[i] = submit(fleet.front(i % 2), prefix, id, jobOf(i < jobsBefore ? smallJob : largeJob),
                             deadlineMs, record);
        });
        std::this_thread::sleep_for(jobInterval);
    }
    for (auto &it : clients)
        it.join();
    if (fleet.hasLostProcess())
        return exitNotRun;
    for (const auto &it : executors) {
        const auto of = it->runs();
        runs.insert(runs.end(), of.begin(), of.end());
    }
    std::size_t broken = 0;
    for (const auto &it : runs) {
        if (it.service != "adapt-other")
            continue;
        ++broken;
        record.write("ROUTE: " + it.task + " of a queue of adapt-grants was started at "
                     + std::to_string(it.startMs) + " ms on " + it.executor + " of service adapt-other");
    }
    const auto completed =
        std::count_if(sent.begin(), sent.end(), [](const auto &it) { return it.reply.status == 200; });
    record.write(std::to_string(completed) + " jobs completed, " + std::to_string(runs.size()) + " starts, "
                 + std::to_string(broken) + " against the rule");
    std::cout << completed << " jobs completed, " << runs.size() << " starts, " << broken
              << " against the rule\n";
    if (completed == 0)
        return exitNotRun;
    return broken > 0 ? exitBroken : exitHeld;
}
