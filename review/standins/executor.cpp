#include "executor.h"

#include <algorithm>
#include <utility>

namespace Review {

using Json = nlohmann::json;

namespace {

constexpr std::int64_t maxHoldMs = 1000;
constexpr std::int64_t longestWaitMs = 2000;
constexpr auto heartbeatInterval = Milliseconds(1500);
constexpr auto workInterval = Milliseconds(5);
constexpr auto heartbeatTimeout = Milliseconds(1000);
constexpr std::size_t listedEnds = 500;
constexpr int statusOk = 200;
constexpr int statusConflict = 409;
constexpr int statusBadRequest = 400;
constexpr int statusOtherInstance = 421;

} // namespace

Executor::Executor(ExecutorPlan plan, Record &record, int needOfTask)
    : m_plan(std::move(plan))
    , m_record(record)
    , m_needOfTask(needOfTask)
    , m_born(std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch())
                 .count())
{
    m_server = std::make_unique<Server>(m_plan.own, [this](const Call &call) { return handle(call); });
    m_work = std::thread([this] { workLoop(); });
    m_heartbeats = std::thread([this] { heartbeatLoop(); });
}

Executor::~Executor()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
        std::vector<std::string> tasks;
        for (const auto &[task, it] : m_running)
            tasks.push_back(task);
        for (const auto &it : tasks)
            end(it, "crashed");
    }
    m_changed.notify_all();
    m_server.reset();
    m_work.join();
    m_heartbeats.join();
}

std::vector<SeenRun> Executor::runs()
{
    const std::lock_guard lock(m_mutex);
    return m_seen;
}

std::size_t Executor::orders() const
{
    return m_orders;
}

Reply Executor::handle(const Call &call)
{
    ++m_orders;
    const auto json = Json::parse(call.body, nullptr, false);
    if (!json.is_object())
        return {statusBadRequest, "{}"};
    for (const auto &[name, value] : call.headers) {
        if (name == "X-Expect-Instance" && value != m_plan.id)
            return {statusOtherInstance, "{}"};
    }
    std::unique_lock lock(m_mutex);
    if (m_isStopping)
        return {};
    endDue();
    const auto fence = json.value("Fence", std::uint64_t{0});
    if (fence < m_fence)
        return rejection("fence");
    m_fence = fence;
    if (call.path == "/run-start")
        return start(json);
    if (call.path == "/run-stop")
        return stop(json);
    if (call.path == "/hold")
        return hold(json, lock);
    return {statusBadRequest, "{}"};
}

Reply Executor::start(const Json &order)
{
    const auto task = order.value("Task", std::string());
    const auto run = order.value("Run", 0U);
    const auto known = m_running.find(task);
    if (known != m_running.end() && known->second.run == run)
        return answer(Json::object());
    const auto past = m_past.find(task);
    if (past != m_past.end() && run <= past->second) {
        renew(order);
        return rejection("old");
    }
    if (order.value("DeadlineMs", std::int64_t{0}) <= clockMs())
        return rejection("late");
    renew(order);
    const int used = static_cast<int>(m_running.size()) * m_needOfTask;
    if (m_plan.guards && used + m_needOfTask > m_plan.millicores)
        return rejection("room");
    const auto work = Milliseconds(std::stol(order.value("Spec", std::string("0"))));
    m_seen.push_back({task, run, m_plan.id, m_plan.service, elapsedMs(), 0, {}});
    m_running[task] = {run, Clock::now() + work, m_seen.size() - 1};
    m_record.write("executor " + m_plan.id + " (" + m_plan.service + ") starts " + task + " run "
                   + std::to_string(run));
    return answer(Json::object());
}

Reply Executor::stop(const Json &order)
{
    const auto task = order.value("Task", std::string());
    const auto run = order.value("Run", 0U);
    m_past[task] = std::max(m_past[task], run);
    const auto known = m_running.find(task);
    if (known != m_running.end() && known->second.run <= run)
        end(task, "stopped");
    return answer(Json::object());
}

Reply Executor::hold(const Json &order, std::unique_lock<std::mutex> &lock)
{
    renew(order);
    const auto acknowledged = order.value("AckedThrough", std::uint64_t{0});
    std::erase_if(m_finished, [&](const Json &it) { return it[0].get<std::uint64_t>() <= acknowledged; });
    const auto wait = std::min(order.value("WaitMs", std::int64_t{0}), longestWaitMs);
    const auto before = m_nextEnd;
    m_changed.wait_for(lock, Milliseconds(wait), [&] { return m_isStopping.load() || m_nextEnd != before; });
    if (m_isStopping)
        return {};
    Json body{{"born", m_born}, {"Running", Json::array()}, {"Finished", Json::array()}};
    for (const auto &[task, it] : m_running)
        body["Running"].push_back({task, it.run, "", 100, m_needOfTask});
    for (std::size_t i = 0; i < std::min(m_finished.size(), listedEnds); ++i)
        body["Finished"].push_back(m_finished[i]);
    return answer(std::move(body));
}

Reply Executor::rejection(const char *reason)
{
    return {statusConflict, Json{{"ClockMs", clockMs()}, {"Reason", reason}}.dump()};
}

Reply Executor::answer(Json body)
{
    body["ClockMs"] = clockMs();
    return {statusOk, body.dump()};
}

void Executor::renew(const Json &order)
{
    const auto wanted = order.value("DeadlineMs", std::int64_t{0});
    m_deadlineMs = std::max(m_deadlineMs, std::min(wanted, clockMs() + maxHoldMs));
}

void Executor::end(const std::string &task, const std::string &how)
{
    const auto it = m_running.find(task);
    auto &seen = m_seen[it->second.seen];
    seen.endMs = elapsedMs();
    seen.how = how;
    m_past[task] = std::max(m_past[task], it->second.run);
    m_finished.push_back({m_nextEnd++, task, it->second.run, how, ""});
    m_record.write("executor " + m_plan.id + " ends " + task + " run " + std::to_string(it->second.run) + ": "
                   + how);
    m_running.erase(it);
    m_changed.notify_all();
}

void Executor::endDue()
{
    std::vector<std::pair<std::string, std::string>> due;
    for (const auto &[task, it] : m_running) {
        if (Clock::now() >= it.endsAt)
            due.emplace_back(task, "done");
        else if (clockMs() > m_deadlineMs)
            due.emplace_back(task, "lapsed");
    }
    for (const auto &[task, how] : due)
        end(task, how);
}

std::int64_t Executor::clockMs() const
{
    return std::chrono::duration_cast<Milliseconds>(Clock::now() - m_bornAt).count();
}

void Executor::workLoop()
{
    std::unique_lock lock(m_mutex);
    while (!m_isStopping) {
        endDue();
        lock.unlock();
        std::this_thread::sleep_for(workInterval);
        lock.lock();
    }
}

void Executor::heartbeatLoop()
{
    const auto &address = m_plan.announced.port != 0 ? m_plan.announced : m_plan.own;
    std::unique_lock lock(m_mutex);
    while (!m_isStopping) {
        if (m_plan.isCut && *m_plan.isCut) {
            m_changed.wait_for(lock, heartbeatInterval, [this] { return m_isStopping.load(); });
            continue;
        }
        const Json body{{"Service", m_plan.service},
                        {"Address", address.text()},
                        {"Zone", m_plan.zone},
                        {"Version", "v1"},
                        {"Slots", 8},
                        {"State", "ready"},
                        {"ColdRemainingMs", 0},
                        {"Capacity", {{"Cpu", m_plan.millicores}, {"MemMb", 131072}, {"Gpu", 0}}},
                        {"Labels", m_plan.labels},
                        {"ClockMs", clockMs()},
                        {"Seq", ++m_sequence},
                        {"born", m_born}};
        lock.unlock();
        for (const auto &it : m_plan.controls) {
            if (callOnce(it, {"POST", "/instances/" + m_plan.id + "/heartbeat", body.dump(), {}},
                         heartbeatTimeout)
                    .status
                == statusOk)
                break;
        }
        lock.lock();
        m_changed.wait_for(lock, heartbeatInterval, [this] { return m_isStopping.load(); });
    }
}

} // namespace Review
