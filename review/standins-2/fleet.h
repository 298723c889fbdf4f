#pragma once

#include "http.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <condition_variable>
#include <fstream>
#include <functional>
#include <memory>
#include <optional>
#include <sys/types.h>

namespace Review {

using Clock = std::chrono::steady_clock;
using Json = nlohmann::json;

/// @brief What was sent, answered and run, with the milliseconds since the start of the script.
class Record
{
public:
    explicit Record(const std::string &path);

    void write(const std::string &line);
    std::int64_t now() const;

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    Clock::time_point m_start = Clock::now();
};

/// The start or end of a run on an executor.
struct RunEvent
{
    std::string executor;
    std::string task;
    std::uint64_t run = 0;
    /// Milliseconds of the record.
    std::int64_t startedAt = 0;
    std::optional<std::int64_t> endedAt;
    std::string how;
    /// What the job asked for, as the client put it into the task's Spec.
    Json spec;
    /// What the executor announced.
    std::vector<std::string> labels;
    /// Sum of the processors in use on the executor with this run, in thousandths, and what it has.
    int usedCpu = 0;
    int cpu = 0;
};

/// What happens to the calls of and to the executors of a fleet.
struct Faults
{
    /// The next start order gets no answer, and is carried out this much later; 0 for none.
    std::atomic<int> nextStartDelayMs = 0;
    /// Called with the executor's id and that order.
    std::function<void(const std::string &id, const Request &request)> startDelayed;
    /// Executor of which all that it sends is lost, while calls reach it; empty for none.
    std::mutex mutex;
    std::string cutExecutor;

    bool isCut(const std::string &id);
};

struct ExecutorPlan
{
    std::string id;
    std::string zone;
    Endpoint endpoint;
    /// The control VMs in the order in which it calls them.
    std::vector<Endpoint> controls;
    std::vector<std::string> labels{"a", "r1"};
    /// Thousandths of a processor.
    int cpu = 32'000;
    /// Whether it rejects what does not fit.
    bool isGuarded = true;
    std::shared_ptr<Faults> faults = std::make_shared<Faults>();
};

/// @brief An executor as the pages describe it: guarded room, leases, fencing, lists of runs and ends.
class Executor
{
public:
    Executor(Record &record, ExecutorPlan plan);
    ~Executor();
    Executor(const Executor &) = delete;
    Executor &operator=(const Executor &) = delete;

    std::vector<RunEvent> runs();

private:
    struct Running
    {
        std::uint64_t run = 0;
        std::int64_t doneAt = 0;
        int cpu = 0;
        std::size_t event = 0;
        bool isStopping = false;
    };

    std::int64_t clock() const;
    void live();
    void announce();
    Response handle(const Request &request);
    Response carryOut(const Request &request);
    Json start(const Json &order, int &status);
    Json stop(const Json &order);
    Json hold(const Json &order, std::unique_lock<std::mutex> &lock);
    void end(const std::string &task, const std::string &how);
    void extend(const Json &order);

    Record &m_record;
    ExecutorPlan m_plan;
    Clock::time_point m_start = Clock::now();
    std::int64_t m_born = 0;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_isStopping = false;
    bool m_hasAnsweredHold = false;
    std::uint64_t m_fence = 0;
    std::int64_t m_leaseMs = 0;
    std::uint64_t m_ends = 0;
    std::uint64_t m_sequence = 0;
    std::size_t m_control = 0;
    std::map<std::string, Running> m_running;
    std::map<std::string, std::uint64_t> m_highestEnded;
    std::vector<Json> m_finished;
    std::vector<RunEvent> m_events;
    std::unique_ptr<Server> m_server;
    std::thread m_life;
    std::thread m_announcer;
};

struct FleetPlan
{
    std::vector<std::string> zones;
    unsigned executorsPerZone = 2;
    bool areExecutorsGuarded = true;
    /// First label of all executors but the first.
    std::string labelOfOthers = "a";
    /// Where the processes write their logs; nothing for files in the fleet's folder.
    std::optional<int> log;
};

/// @brief A control VM, an entry VM and executors in each zone, the VMs as processes of their own.
class Fleet
{
public:
    Fleet(Record &record, FleetPlan plan);
    ~Fleet();
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    /// Sends the configuration until it is acknowledged, and waits until every entry VM is ready.
    bool configure(const Json &configuration);

    const std::vector<Endpoint> &controls() const;
    const std::vector<Endpoint> &entries() const;
    std::vector<RunEvent> runs();
    /// Processes in the order of the addresses: control VMs, then entry VMs.
    pid_t process(std::size_t vm) const;

    /// Leaves the next start order unanswered and carries it out @p delayMs later, at whatever is there then.
    /// Sets
    /// @p number to its executor.
    void delayNextStart(int delayMs, std::atomic<int> &number);
    /// From now on all that executor @p number sends is lost, while calls reach it; or that has ended.
    void cutAnswers(std::size_t number, bool isCut);

    /// Ends executor @p number like a crash.
    void crash(std::size_t number);
    /// Starts executor @p number, which has crashed, under its old id and address.
    void revive(std::size_t number, const std::function<void(ExecutorPlan &plan)> &change);

private:
    Json settingsOf(std::size_t vm) const;
    void start(std::size_t vm);
    bool isReady(std::size_t entry) const;

    Record &m_record;
    FleetPlan m_plan;
    std::string m_folder;
    std::string m_subnet;
    std::vector<Endpoint> m_controls;
    std::vector<Endpoint> m_entries;
    std::vector<pid_t> m_processes;
    std::shared_ptr<Faults> m_faults = std::make_shared<Faults>();
    std::vector<std::thread> m_delayed;
    std::vector<ExecutorPlan> m_plans;
    std::vector<std::unique_ptr<Executor>> m_executors;
    std::vector<RunEvent> m_earlierRuns;
};

/// A configuration with one queue and one service.
Json configurationOf(std::uint64_t version, int timeoutMs, bool isGuarded = true);

/// The request that hands in a job of @p tasks tasks that take @p taskMs each.
Request submission(const std::string &id, unsigned tasks, int taskMs, int deadlineMs,
                   const std::string &label = {});

/// An id of 16 hexadecimal digits.
std::string jobId(std::uint64_t number);

} // namespace Review
