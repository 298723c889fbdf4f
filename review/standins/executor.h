#pragma once

#include "http.h"
#include "record.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace Review {

struct ExecutorPlan
{
    std::string id;
    std::string service;
    std::string zone;
    /// Kind and rack.
    std::vector<std::string> labels;
    int millicores = 32000;
    /// Whether it rejects what does not fit.
    bool guards = true;
    Address own = {};
    std::vector<Address> controls = {};
    /// The address that it announces, if that is not its own.
    Address announced = {};
    /// Whether its machine is cut off from all others; null: never.
    std::shared_ptr<std::atomic<bool>> isCut = nullptr;
};

/// A run on an executor as the executor has seen it. End 0: it has not ended.
struct SeenRun
{
    std::string task;
    unsigned run = 0;
    std::string executor;
    std::string service;
    std::int64_t startMs = 0;
    std::int64_t endMs = 0;
    std::string how;
};

/**
 * @brief One life of an executor that follows PROTOCOL.md: `/run-start`, `/run-stop`, `/hold` and heartbeats.
 *
 * The Spec of a task is the time in milliseconds that it works. The Cpu of a task is not part of an order, so
 * the executor knows it from the case, see needOf.
 */
class Executor
{
public:
    Executor(ExecutorPlan plan, Record &record, int needOfTask);
    ~Executor();
    Executor(const Executor &) = delete;
    Executor &operator=(const Executor &) = delete;

    std::vector<SeenRun> runs();

    /// Orders that have arrived.
    std::size_t orders() const;

private:
    struct Running
    {
        unsigned run = 0;
        Clock::time_point endsAt;
        std::size_t seen = 0;
    };

    Reply handle(const Call &call);
    Reply start(const nlohmann::json &order);
    Reply stop(const nlohmann::json &order);
    Reply hold(const nlohmann::json &order, std::unique_lock<std::mutex> &lock);
    Reply rejection(const char *reason);
    Reply answer(nlohmann::json body);
    void renew(const nlohmann::json &order);
    void end(const std::string &task, const std::string &how);
    void endDue();
    std::int64_t clockMs() const;
    void workLoop();
    void heartbeatLoop();

    ExecutorPlan m_plan;
    Record &m_record;
    int m_needOfTask;
    Clock::time_point m_bornAt = Clock::now();
    std::int64_t m_born = 0;
    std::atomic<std::size_t> m_orders = 0;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Running> m_running;
    /// Highest run of each task that has been stopped or has ended here.
    std::map<std::string, unsigned> m_past;
    std::vector<nlohmann::json> m_finished;
    std::vector<SeenRun> m_seen;
    std::uint64_t m_nextEnd = 1;
    std::uint64_t m_fence = 0;
    std::int64_t m_deadlineMs = 0;
    std::uint64_t m_sequence = 0;
    std::atomic<bool> m_isStopping = false;
    std::thread m_work;
    std::thread m_heartbeats;
    std::unique_ptr<Server> m_server;
};

} // namespace Review
