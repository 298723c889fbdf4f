// Case: a start order is carried out late by an executor that was cut off and has crashed behind the cut,
// while the client has sent its job again.
#include "fleet.h"

#include <algorithm>
#include <atomic>
#include <iostream>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>

using namespace Review;

namespace {

constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitNotRun = 2;

constexpr int workMs = 1200;
constexpr int backgroundWorkMs = 200;
constexpr int millicores = 14000;
constexpr int executorMillicores = 32000;
constexpr int deadlineMs = 1500;
constexpr std::size_t executorCount = 8;
/// RetryDelayMs of the site.
constexpr auto retryDelay = Milliseconds(1300);
constexpr auto cutTime = Milliseconds(5000);
constexpr auto crashAfter = Milliseconds(500);
constexpr auto downTime = Milliseconds(1500);
/// Orders are carried out 2 to 12 s late.
constexpr auto orderDelay = Milliseconds(3200);
constexpr auto backgroundInterval = Milliseconds(100);
constexpr auto callTimeout = Milliseconds(3000);
constexpr auto pollInterval = Milliseconds(5);
constexpr const char *prefix = "/pule252/";

/**
 * @brief The network of one executor's machine: passes orders on to the present life of the executor, keeps
 * one start order back, and can be cut off.
 */
class Relay
{
public:
    Relay(const Address &announced, const Address &executor, Record &record)
        : m_executor(executor)
        , m_record(record)
        , m_server(announced, [this](const Call &call) { return handle(call); })
    {
    }

    ~Relay()
    {
        *isCut = false;
    }

    /// Keeps the first start of @p task back. The one-way cut begins then.
    void keepStartOf(const std::string &task)
    {
        const std::lock_guard lock(m_mutex);
        m_task = task;
    }

    bool hasKept()
    {
        const std::lock_guard lock(m_mutex);
        return m_kept.has_value();
    }

    /// Hands the start order that was kept back to the executor.
    void deliver()
    {
        m_record.write("network: the start order that was kept back is delivered");
        const auto reply = callOnce(m_executor, *m_kept, callTimeout);
        m_record.write("executor i-1 answers it with " + std::to_string(reply.status) + " " + reply.body);
    }

    /// Whether what the executor sends is lost.
    std::shared_ptr<std::atomic<bool>> isCut = std::make_shared<std::atomic<bool>>(false);

private:
    Reply handle(const Call &call)
    {
        Call order{call.method, call.path, call.body, {}};
        std::copy_if(call.headers.begin(), call.headers.end(), std::back_inserter(order.headers),
                     [](const auto &it) { return it.first == "X-Expect-Instance"; });
        if (keep(order)) {
            m_record.write("network: the start order of " + m_task
                           + " is kept back; what i-1 sends is lost from now on");
            *isCut = true;
        }
        const bool isKept = hasKept() && m_kept->path == order.path && m_kept->body == order.body;
        const auto reply = isKept ? Reply{} : callOnce(m_executor, order, callTimeout);
        if (!*isCut)
            return reply;
        // The answer is lost, but the caller doesn't see its connection end.
        while (*isCut)
            std::this_thread::sleep_for(pollInterval);
        return {};
    }

    bool keep(const Call &order)
    {
        const std::lock_guard lock(m_mutex);
        const bool isWanted = !m_task.empty() && !m_kept && order.path == "/run-start"
            && order.body.find(m_task) != std::string::npos;
        if (isWanted)
            m_kept = order;
        return isWanted;
    }

    Address m_executor;
    Record &m_record;
    std::mutex m_mutex;
    std::string m_task;
    std::optional<Call> m_kept;
    Server m_server;
};

/// Counts the pairs of runs of one task that were in progress at the same time.
std::size_t countConcurrent(const std::vector<SeenRun> &runs, Record &record)
{
    std::size_t concurrent = 0;
    for (std::size_t i = 0; i < runs.size(); ++i) {
        for (std::size_t j = i + 1; j < runs.size(); ++j) {
            const auto begin = std::max(runs[i].startMs, runs[j].startMs);
            const auto end = std::min(runs[i].endMs, runs[j].endMs);
            if (runs[i].task != runs[j].task || begin >= end)
                continue;
            ++concurrent;
            record.write("TWICE: " + runs[i].task + " ran on " + runs[i].executor + " and on "
                         + runs[j].executor + " at the same time for " + std::to_string(end - begin) + " ms");
        }
    }
    return concurrent;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 2)
        return exitNotRun;
    Record record(argv[1]);
    const std::vector<std::string> zones{"glasgow-north", "glasgow-south", "paisley", "clydebank"};
    Fleet fleet({zones, zones}, record);
    const auto queue = route("r-means", prefix, "adapt-grants", deadlineMs);
    if (!fleet.start() || !fleet.configure(configuration(1, {queue}, {"adapt-grants"})))
        return exitNotRun;
    // The first executor is the only one of its zone.
    const auto own = fleet.newExecutorAddress();
    const auto announced = fleet.newExecutorAddress();
    Relay relay(announced, own, record);
    std::vector<ExecutorPlan> plans;
    std::vector<std::unique_ptr<Executor>> executors;
    for (std::size_t i = 0; i < executorCount; ++i) {
        const auto zone = i == 0 ? 0 : 1 + i % (zones.size() - 1);
        ExecutorPlan plan{
            "i-" + std::to_string(i + 1), "adapt-grants", zones[zone], {"a", "r1-1"}, executorMillicores};
        plan.own = i == 0 ? own : fleet.newExecutorAddress();
        plan.controls = fleet.controls();
        if (i == 0) {
            plan.announced = announced;
            plan.isCut = relay.isCut;
        }
        plans.push_back(plan);
        executors.push_back(std::make_unique<Executor>(plan, record, millicores));
    }
    if (!fleet.waitUntilReady())
        return exitNotRun;
    std::this_thread::sleep_for(std::chrono::seconds(2));
    std::atomic<bool> isOver = false;
    std::vector<std::thread> background;
    const auto backgroundJob =
        bestEffortJob(backgroundWorkMs, {{"Count", 1}, {"Cpu", millicores}, {"MemMb", 64}});
    std::thread traffic([&] {
        for (std::size_t i = 0; !isOver; ++i) {
            background.emplace_back([&, entry = 1 + i % (zones.size() - 1), id = newJobId()] {
                submit(fleet.front(entry), prefix, id, backgroundJob, deadlineMs, record);
            });
            std::this_thread::sleep_for(backgroundInterval);
        }
    });
    std::this_thread::sleep_for(std::chrono::seconds(1));
    const auto id = newJobId();
    if (isTroubled())
        relay.keepStartOf(id);
    const auto job = bestEffortJob(workMs, {{"Count", 1}, {"Cpu", millicores}, {"MemMb", 64}});
    std::vector<SeenRun> runs;
    std::thread client([&] {
        for (std::size_t entry = 0; entry < 2; ++entry) {
            const auto status = submit(fleet.front(entry), prefix, id, job, deadlineMs, record).reply.status;
            if (status != 0 && status != 502 && status != 504)
                return;
            std::this_thread::sleep_for(retryDelay);
        }
    });
    bool hasKept = false;
    if (isTroubled()) {
        for (int i = 0; i < 200 && !hasKept; ++i) {
            std::this_thread::sleep_for(pollInterval);
            hasKept = relay.hasKept();
        }
    }
    if (hasKept) {
        const auto keptAt = Clock::now();
        std::this_thread::sleep_for(crashAfter);
        record.write("platform: executor i-1 crashes");
        runs = executors[0]->runs();
        executors[0].reset();
        std::this_thread::sleep_for(downTime);
        executors[0] = std::make_unique<Executor>(plans[0], record, millicores);
        record.write("platform: executor i-1 starts again under its id");
        std::this_thread::sleep_until(keptAt + orderDelay);
        relay.deliver();
        std::this_thread::sleep_until(keptAt + cutTime);
        *relay.isCut = false;
        record.write("network: what i-1 sends arrives again");
    }
    client.join();
    std::this_thread::sleep_for(std::chrono::seconds(1));
    isOver = true;
    traffic.join();
    for (auto &it : background)
        it.join();
    if (fleet.hasLostProcess() || (isTroubled() && !hasKept))
        return exitNotRun;
    std::size_t orders = 0;
    for (const auto &it : executors) {
        const auto of = it->runs();
        runs.insert(runs.end(), of.begin(), of.end());
        orders += it->orders();
    }
    const auto broken = countConcurrent(runs, record);
    record.write(std::to_string(runs.size()) + " runs, " + std::to_string(orders) + " orders, "
                 + std::to_string(broken) + " against the rule");
    std::cout << runs.size() << " runs, " << orders << " orders, " << broken << " against the rule\n";
    if (runs.empty())
        return exitNotRun;
    return broken > 0 ? exitBroken : exitHeld;
}
