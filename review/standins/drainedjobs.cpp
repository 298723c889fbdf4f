// Case: an entry VM is shut down with SIGTERM while accepted jobs wait for an executor.
#include "fleet.h"

#include <algorithm>
#include <iostream>
#include <thread>

using namespace Review;

namespace {

constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitNotRun = 2;

constexpr int workMs = 900;
constexpr int tasks = 4;
constexpr int millicores = 14000;
constexpr int executorMillicores = 32000;
/// The clients wait longer than usual, and the queue allows that.
constexpr int deadlineMs = 12000;
constexpr int targetMs = 10000;
constexpr std::size_t jobs = 6;
constexpr auto jobInterval = Milliseconds(20);
constexpr auto terminateAfter = Milliseconds(500);
/// GraceS and LossSlackMs of the site.
constexpr std::int64_t graceMs = 6000;
constexpr std::int64_t lossSlackMs = 200;
constexpr const char *prefix = "/pule252/";

/// Whether an executor was at work on the job in the last sixth of GraceS, or in the time from then on.
bool wasAtWorkAtTheEnd(const std::string &id, const std::vector<SeenRun> &runs, std::int64_t terminatedMs)
{
    const auto lastSixth = terminatedMs + graceMs - graceMs / 6;
    return std::any_of(runs.begin(), runs.end(), [&](const auto &it) {
        return it.task.starts_with(id) && (it.endMs == 0 || it.endMs >= lastSixth);
    });
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 2)
        return exitNotRun;
    Record record(argv[1]);
    Fleet fleet({{"glasgow-north", "glasgow-south", "paisley", "clydebank"},
                 {"glasgow-north", "glasgow-south", "paisley"}},
                record);
    if (!fleet.start()
        || !fleet.configure(configuration(1, {route("r-means", prefix, "adapt-grants", deadlineMs, targetMs)},
                                          {"adapt-grants"})))
        return exitNotRun;
    ExecutorPlan plan{"i-1", "adapt-grants", "glasgow-north", {"a", "r1-1"}, executorMillicores};
    plan.own = fleet.newExecutorAddress();
    plan.controls = fleet.controls();
    Executor executor(plan, record, millicores);
    if (!fleet.waitUntilReady())
        return exitNotRun;
    std::this_thread::sleep_for(std::chrono::seconds(2));
    const auto job = bestEffortJob(workMs, {{"Count", tasks}, {"Cpu", millicores}, {"MemMb", 64}});
    std::vector<SentJob> sent(jobs);
    std::vector<std::thread> clients;
    for (auto &it : sent) {
        clients.emplace_back([&it, &fleet, &job, &record, id = newJobId()] {
            it = submit(fleet.front(0), prefix, id, job, deadlineMs, record);
        });
        std::this_thread::sleep_for(jobInterval);
    }
    std::this_thread::sleep_for(terminateAfter);
    std::int64_t terminatedMs = 0;
    if (isTroubled()) {
        terminatedMs = elapsedMs();
        fleet.terminateEntry(0);
    }
    for (auto &it : clients)
        it.join();
    if (fleet.hasLostProcess())
        return exitNotRun;
    const auto runs = executor.runs();
    const auto count = [&](const auto &predicate) {
        return std::count_if(sent.begin(), sent.end(), predicate);
    };
    const auto accepted = count([](const auto &it) { return it.reply.status != 503; });
    const auto broken = count([&](const auto &it) {
        const bool isCut = it.reply.status == 0 && !it.reply.isTimedOut
            && it.endedMs - it.sentMs > lossSlackMs && it.endedMs - it.sentMs < deadlineMs;
        if (!isCut)
            return false;
        const bool isExcused = isTroubled() && wasAtWorkAtTheEnd(it.id, runs, terminatedMs);
        record.write(std::string(isExcused ? "excused" : "LOST") + ": " + it.id + " was cut off "
                     + std::to_string(it.endedMs - terminatedMs) + " ms after SIGTERM, "
                     + std::to_string(it.endedMs - it.sentMs) + " ms after it was sent");
        return !isExcused;
    });
    record.write(std::to_string(accepted) + " jobs not refused, " + std::to_string(broken)
                 + " against the rule");
    std::cout << accepted << " jobs not refused, " << broken << " against the rule\n";
    if (accepted == 0)
        return exitNotRun;
    return broken > 0 ? exitBroken : exitHeld;
}
