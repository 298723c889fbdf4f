// Case: one of four clients cancels its job with DELETE while the job runs.
#include "fleet.h"

#include <iostream>
#include <memory>
#include <thread>

using namespace Review;

namespace {

constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitNotRun = 2;

/// A large job of the site's class means-assessment: its mean work and its largest number of tasks.
constexpr int workMs = 900;
constexpr int tasks = 16;
constexpr int millicores = 14000;
constexpr int executorMillicores = 32000;
/// The clients wait longer than usual, and the queue allows that.
constexpr int deadlineMs = 12000;
constexpr int targetMs = 10000;
constexpr std::size_t clientCount = 4;
constexpr auto jobInterval = Milliseconds(300);
constexpr auto cancelAfter = Milliseconds(500);
constexpr auto callTimeout = Milliseconds(1000);
/// cancel_ms and StopMs of the site.
constexpr std::int64_t cancelMs = 3000;
constexpr std::int64_t stopMs = 50;
constexpr const char *prefix = "/pule252/";

/// Cancels the job. Returns when the cancel was acknowledged, or 0.
std::int64_t cancelJob(const Address &front, const std::string &id, Record &record)
{
    record.write("client: DELETE " + id);
    const auto reply =
        callOnce(front, {"DELETE", prefix + id, "", {{"Host", "nony24.example"}}}, callTimeout);
    record.write("client: DELETE " + id + " gets " + std::to_string(reply.status) + " " + reply.body);
    return reply.status / 100 == 2 || reply.status == 410 ? elapsedMs() : 0;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 2)
        return exitNotRun;
    Record record(argv[1]);
    const std::vector<std::string> zones{"glasgow-north", "glasgow-south", "paisley", "clydebank"};
    Fleet fleet({zones, {"glasgow-north", "paisley"}}, record);
    const auto queue = route("r-means", prefix, "adapt-grants", deadlineMs, targetMs);
    if (!fleet.start() || !fleet.configure(configuration(1, {queue}, {"adapt-grants"})))
        return exitNotRun;
    std::vector<std::unique_ptr<Executor>> executors;
    for (std::size_t i = 0; i < zones.size(); ++i) {
        ExecutorPlan plan{
            "i-" + std::to_string(i + 1), "adapt-grants", zones[i], {"a", "r1-1"}, executorMillicores};
        plan.own = fleet.newExecutorAddress();
        plan.controls = fleet.controls();
        executors.push_back(std::make_unique<Executor>(plan, record, millicores));
    }
    if (!fleet.waitUntilReady())
        return exitNotRun;
    std::this_thread::sleep_for(std::chrono::seconds(2));
    const auto job = bestEffortJob(workMs, {{"Count", tasks}, {"Cpu", millicores}, {"MemMb", 64}});
    std::vector<SentJob> sent(clientCount);
    std::vector<std::thread> clients;
    const auto cancelledId = newJobId();
    for (std::size_t i = 0; i < clientCount; ++i) {
        clients.emplace_back([&, i, id = i == 0 ? cancelledId : newJobId()] {
            sent[i] = submit(fleet.front(i % 2), prefix, id, job, deadlineMs, record);
        });
        std::this_thread::sleep_for(jobInterval);
    }
    std::int64_t acknowledgedMs = 0;
    if (isTroubled()) {
        std::this_thread::sleep_for(cancelAfter);
        acknowledgedMs = cancelJob(fleet.front(0), cancelledId, record);
    }
    for (auto &it : clients)
        it.join();
    if (fleet.hasLostProcess() || (isTroubled() && acknowledgedMs == 0))
        return exitNotRun;
    std::size_t runs = 0;
    std::size_t broken = 0;
    for (const auto &executor : executors) {
        for (const auto &it : executor->runs()) {
            ++runs;
            const bool isCancelled = acknowledgedMs > 0 && it.task.starts_with(cancelledId);
            const bool isLateStart = it.startMs > acknowledgedMs + cancelMs;
            const bool isLateEnd = it.endMs == 0 || it.endMs > acknowledgedMs + cancelMs + stopMs;
            if (!isCancelled || (!isLateStart && !isLateEnd))
                continue;
            ++broken;
            record.write("UNASKED: " + it.task + " run " + std::to_string(it.run) + " began "
                         + std::to_string(it.startMs - acknowledgedMs) + " ms and ended "
                         + std::to_string(it.endMs - acknowledgedMs)
                         + " ms after the acknowledgement of the cancel");
        }
    }
    record.write(std::to_string(runs) + " runs, " + std::to_string(broken) + " against the rule");
    std::cout << runs << " runs, " << broken << " against the rule\n";
    if (runs == 0)
        return exitNotRun;
    return broken > 0 ? exitBroken : exitHeld;
}
