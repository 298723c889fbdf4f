// Case: empty executors of another kind are added while jobs come that require the present kind.
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
constexpr int millicores = 14000;
constexpr int deadlineMs = 1500;
constexpr int executorMillicores = 32000;
constexpr int jobs = 60;
constexpr int jobsBefore = 20;
constexpr auto jobInterval = Milliseconds(100);
constexpr std::size_t executors = 8;
/// A quarter of them, as on the site.
constexpr std::size_t addedExecutors = 2;
constexpr const char *prefix = "/lohu930/";

} // namespace

int main(int argc, char **argv)
{
    if (argc != 2)
        return exitNotRun;
    Record record(argv[1]);
    const std::vector<std::string> zones{"glasgow-north", "glasgow-south", "paisley", "clydebank"};
    Fleet fleet({zones, {"glasgow-north", "paisley"}}, record);
    if (!fleet.start()
        || !fleet.configure(
            configuration(1, {route("r-status", prefix, "adapt-grants", deadlineMs)}, {"adapt-grants"})))
        return exitNotRun;
    std::vector<std::unique_ptr<Executor>> present;
    const auto add = [&](const std::string &kind) {
        const auto number = present.size() + 1;
        ExecutorPlan plan{"i-" + std::to_string(number),
                          "adapt-grants",
                          zones[number % zones.size()],
                          {kind, "r1-1"},
                          executorMillicores};
        plan.own = fleet.newExecutorAddress();
        plan.controls = fleet.controls();
        present.push_back(std::make_unique<Executor>(plan, record, millicores));
    };
    while (present.size() < executors)
        add("b");
    if (!fleet.waitUntilReady())
        return exitNotRun;
    std::this_thread::sleep_for(std::chrono::seconds(2));
    const auto job =
        bestEffortJob(workMs, {{"Count", 2}, {"Cpu", millicores}, {"MemMb", 64}, {"RequiredLabel", "b"}});
    std::vector<SentJob> sent(jobs);
    std::vector<std::thread> clients;
    for (int i = 0; i < jobs; ++i) {
        if (i == jobsBefore && isTroubled()) {
            record.write("platform: two empty executors of kind \"a\" are added");
            for (std::size_t n = 0; n < addedExecutors; ++n)
                add("a");
        }
        clients.emplace_back([&, i, id = newJobId()] {
            sent[i] = submit(fleet.front(i % 2), prefix, id, job, deadlineMs, record);
        });
        std::this_thread::sleep_for(jobInterval);
    }
    for (auto &it : clients)
        it.join();
    if (fleet.hasLostProcess())
        return exitNotRun;
    std::size_t runs = 0;
    std::size_t broken = 0;
    for (std::size_t i = 0; i < present.size(); ++i) {
        const auto ofExecutor = present[i]->runs();
        runs += ofExecutor.size();
        if (i < executors)
            continue;
        broken += ofExecutor.size();
        for (const auto &it : ofExecutor)
            record.write("ROUTE: " + it.task + ", which requires label \"b\", was started on " + it.executor
                         + ", whose labels are \"a\" and \"r1-1\"");
    }
    const auto completed =
        std::count_if(sent.begin(), sent.end(), [](const auto &it) { return it.reply.status == 200; });
    record.write(std::to_string(completed) + " jobs completed, " + std::to_string(runs) + " starts, "
                 + std::to_string(broken) + " against the rule");
    std::cout << completed << " jobs completed, " << runs << " starts, " << broken << " against the rule\n";
    if (completed == 0)
        return exitNotRun;
    return broken > 0 ? exitBroken : exitHeld;
}
