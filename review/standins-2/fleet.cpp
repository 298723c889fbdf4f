#include "fleet.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <iomanip>
#include <sstream>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>

namespace Review {

namespace {

// Values of the pages for the smaller deployments.
constexpr int heartbeatMs = 1500;
constexpr int maximumLeaseMs = 1000;
constexpr int retryDelayMs = 1300;
/// How long a stop takes; StopMs, at most 50.
constexpr int stopMs = 40;

constexpr std::uint16_t frontPort = 8161;
constexpr std::uint16_t controlPort = 8166;
constexpr std::uint16_t readyPort = 8167;
constexpr std::uint16_t metricsPort = 9464;
constexpr std::uint16_t peerPort = 7720;
constexpr std::uint16_t executorPort = 8080;

constexpr auto host = "nony24.example";
constexpr auto prefix = "/lohu930/";
constexpr auto program = "target/citronpitch-platform";

Response reply(int status, const Json &body)
{
    return {status, body.dump()};
}

} // namespace

bool Faults::isCut(const std::string &id)
{
    const std::lock_guard lock(mutex);
    return cutExecutor == id;
}

Record::Record(const std::string &path)
    : m_file(path)
{
}

void Record::write(const std::string &line)
{
    const std::lock_guard lock(m_mutex);
    m_file << now() << " " << line << std::endl;
}

std::int64_t Record::now() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - m_start).count();
}

Executor::Executor(Record &record, ExecutorPlan plan)
    : m_record(record)
    , m_plan(std::move(plan))
    , m_born(std::chrono::duration_cast<std::chrono::milliseconds>(
                 std::chrono::system_clock::now().time_since_epoch())
                 .count())
{
    m_server = std::make_unique<Server>(m_plan.endpoint, [this](const auto &it) { return handle(it); });
    m_life = std::thread([this] { live(); });
    m_announcer = std::thread([this] { announce(); });
}

Executor::~Executor()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_changed.notify_all();
    m_life.join();
    m_announcer.join();
    m_server.reset();
}

std::vector<RunEvent> Executor::runs()
{
    const std::lock_guard lock(m_mutex);
    return m_events;
}

std::int64_t Executor::clock() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - m_start).count();
}

void Executor::live()
{
    std::unique_lock lock(m_mutex);
    while (!m_isStopping) {
        m_changed.wait_for(lock, std::chrono::milliseconds(2));
        std::vector<std::pair<std::string, std::string>> ended;
        for (const auto &[task, it] : m_running) {
            if (it.doneAt <= clock())
                ended.emplace_back(task, it.isStopping ? "stopped" : "done");
            else if (m_leaseMs < clock())
                ended.emplace_back(task, "lapsed");
        }
        for (const auto &[task, how] : ended)
            end(task, how);
    }
}

void Executor::announce()
{
    std::unique_lock lock(m_mutex);
    while (!m_isStopping) {
        const Json body{{"Service", "huvo11a"},
                        {"Address", m_plan.endpoint.text()},
                        {"Zone", m_plan.zone},
                        {"Version", "v1"},
                        {"Slots", 8},
                        {"State", "ready"},
                        {"ColdRemainingMs", 0},
                        {"Capacity", {{"Cpu", m_plan.cpu}, {"MemMb", 131072}, {"Gpu", 0}}},
                        {"Labels", m_plan.labels},
                        {"ClockMs", clock()},
                        {"Seq", ++m_sequence},
                        {"born", m_born}};
        const auto control = m_plan.controls[m_control % m_plan.controls.size()];
        if (m_plan.faults->isCut(m_plan.id)) {
            m_changed.wait_for(lock, std::chrono::milliseconds(100), [this] { return m_isStopping; });
            continue;
        }
        lock.unlock();
        const auto response =
            call(control, {"POST", "/instances/" + m_plan.id + "/heartbeat", {}, body.dump()}, 1000);
        lock.lock();
        const bool isAcknowledged = response.status / 100 == 2;
        m_control += isAcknowledged ? 0 : 1;
        m_changed.wait_for(lock, std::chrono::milliseconds(isAcknowledged ? heartbeatMs : 100),
                           [this] { return m_isStopping; });
    }
}

Response Executor::handle(const Request &request)
{
    if (request.target == "/run-start") {
        const int delayMs = m_plan.faults->nextStartDelayMs.exchange(0);
        if (delayMs > 0) {
            m_record.write(m_plan.id + " gets " + request.body + ", which gets no answer and is carried out "
                           + std::to_string(delayMs) + " ms later");
            m_plan.faults->startDelayed(m_plan.id, request);
            return {};
        }
    }
    auto response = carryOut(request);
    return m_plan.faults->isCut(m_plan.id) ? Response() : response;
}

Response Executor::carryOut(const Request &request)
{
    const auto expected = request.headers.find("x-expect-instance");
    const auto order = Json::parse(request.body, nullptr, false);
    if (!order.is_object())
        return reply(400, {{"ClockMs", clock()}});
    if (expected != request.headers.end() && expected->second != m_plan.id)
        return reply(421, {{"ClockMs", clock()}});
    std::unique_lock lock(m_mutex);
    const auto fence = order.value("Fence", std::uint64_t{0});
    if (fence < m_fence)
        return reply(409, {{"ClockMs", clock()}, {"Reason", "fence"}});
    m_fence = fence;
    int status = 200;
    Json body;
    if (request.target == "/run-start")
        body = start(order, status);
    else if (request.target == "/run-stop")
        body = stop(order);
    else if (request.target == "/hold")
        body = hold(order, lock);
    else
        status = 404;
    body["ClockMs"] = clock();
    body["born"] = m_born;
    return reply(status, body);
}

void Executor::extend(const Json &order)
{
    const auto wanted = order.value("DeadlineMs", std::int64_t{0});
    m_leaseMs = std::max(m_leaseMs, std::min(wanted, clock() + maximumLeaseMs));
}

Json Executor::start(const Json &order, int &status)
{
    const auto task = order.value("Task", std::string());
    const auto run = order.value("Run", std::uint64_t{0});
    const auto known = m_running.find(task);
    if (known != m_running.end() && known->second.run == run) {
        extend(order);
        return Json::object();
    }
    status = 409;
    if (order.value("DeadlineMs", std::int64_t{0}) < clock())
        return {{"Reason", "late"}};
    extend(order);
    if (known != m_running.end() || run <= m_highestEnded[task])
        return {{"Reason", "old"}};
    const auto spec = Json::parse(order.value("Spec", std::string()));
    const auto cpu = spec.value("cpu", 0);
    int used = cpu;
    for (const auto &[name, it] : m_running)
        used += it.cpu;
    if (m_plan.isGuarded && used > m_plan.cpu)
        return {{"Reason", "room"}};
    status = 200;
    m_events.push_back({m_plan.id, task, run, m_record.now(), {}, {}, spec, m_plan.labels, used, m_plan.cpu});
    m_running[task] = {run, clock() + spec.value("ms", 50), cpu, m_events.size() - 1};
    m_record.write(m_plan.id + " (" + m_plan.labels.front() + ", " + std::to_string(m_plan.cpu) + ") starts "
                   + task + " run " + std::to_string(run) + " " + spec.dump() + ", " + std::to_string(used)
                   + " in use");
    return Json::object();
}

Json Executor::stop(const Json &order)
{
    const auto task = order.value("Task", std::string());
    const auto run = order.value("Run", std::uint64_t{0});
    const auto known = m_running.find(task);
    if (known != m_running.end() && known->second.run <= run && !known->second.isStopping) {
        known->second.isStopping = true;
        known->second.doneAt = clock() + stopMs;
    }
    auto &highest = m_highestEnded[task];
    highest = std::max(highest, run);
    return Json::object();
}

Json Executor::hold(const Json &order, std::unique_lock<std::mutex> &lock)
{
    extend(order);
    if (!std::exchange(m_hasAnsweredHold, true))
        m_record.write(m_plan.id + " answers its first /hold of this life, born " + std::to_string(m_born));
    const auto acknowledged = order.value("AckedThrough", std::uint64_t{0});
    std::erase_if(m_finished, [&](const Json &it) { return it[0].get<std::uint64_t>() <= acknowledged; });
    m_changed.wait_for(lock, std::chrono::milliseconds(order.value("WaitMs", 0)),
                       [this] { return m_isStopping || !m_finished.empty(); });
    Json running = Json::array();
    for (const auto &[task, it] : m_running)
        running.push_back({task, it.run, "", 100, 0});
    return {{"Running", running}, {"Finished", m_finished}};
}

void Executor::end(const std::string &task, const std::string &how)
{
    const auto it = m_running.at(task);
    m_running.erase(task);
    auto &highest = m_highestEnded[task];
    highest = std::max(highest, it.run);
    m_finished.push_back({++m_ends, task, it.run, how, ""});
    m_events[it.event].endedAt = m_record.now();
    m_events[it.event].how = how;
    m_record.write(m_plan.id + " ends " + task + " run " + std::to_string(it.run) + ": " + how);
    m_changed.notify_all();
}

Fleet::Fleet(Record &record, FleetPlan plan)
    : m_record(record)
    , m_plan(std::move(plan))
{
    std::string pattern = std::filesystem::temp_directory_path() / "citronpitch-review-XXXXXX";
    if (::mkdtemp(pattern.data()) == nullptr)
        throw std::runtime_error("can't create a temporary folder");
    m_folder = pattern;
    constexpr int subnets = 250;
    for (int i = 0; i < subnets && m_subnet.empty(); ++i) {
        const int number = ::getpid() + i;
        const auto subnet = "127." + std::to_string(2 + number / subnets % subnets) + "."
            + std::to_string(number % subnets) + ".";
        if (isFree({subnet + "1", peerPort}) && isFree({subnet + "1", controlPort}))
            m_subnet = subnet;
    }
    const auto zones = m_plan.zones.size();
    for (std::size_t i = 0; i < zones; ++i) {
        m_controls.push_back({m_subnet + std::to_string(1 + i), controlPort});
        m_entries.push_back({m_subnet + std::to_string(1 + zones + i), frontPort});
    }
    m_processes.resize(2 * zones);
    for (std::size_t i = 0; i < 2 * zones; ++i)
        start(i);
    for (std::size_t i = 0; i < zones * m_plan.executorsPerZone; ++i) {
        const Endpoint own{m_subnet + std::to_string(100 + i), executorPort};
        ExecutorPlan executor{"i-" + std::to_string(i), m_plan.zones[i % zones], own, m_controls};
        executor.isGuarded = m_plan.areExecutorsGuarded;
        executor.faults = m_faults;
        if (i > 0)
            executor.labels.front() = m_plan.labelOfOthers;
        m_plans.push_back(executor);
        m_executors.push_back(std::make_unique<Executor>(m_record, executor));
    }
}

Fleet::~Fleet()
{
    for (const auto it : m_processes)
        ::kill(it, SIGKILL);
    for (const auto it : m_processes)
        ::waitpid(it, nullptr, 0);
    for (auto &it : m_delayed)
        it.join();
    m_executors.clear();
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
}

Json Fleet::settingsOf(std::size_t vm) const
{
    const auto zones = m_plan.zones.size();
    const bool isControl = vm < zones;
    const auto address = m_subnet + std::to_string(1 + vm);
    Json seeds = Json::array();
    for (std::size_t i = 0; i < std::min<std::size_t>(zones, 3); ++i)
        seeds.push_back(m_controls[i].text());
    Json settings{{"vm", (isControl ? "core-" : "edge-") + m_plan.zones[vm % zones]},
                  {"role", isControl ? "control" : "entry"},
                  {"failureDomain", m_plan.zones[vm % zones]},
                  {"failureDomains", m_plan.zones},
                  {"address", address},
                  {"peerPort", peerPort},
                  {"seeds", seeds},
                  {"firstStart", true},
                  {"metrics", Endpoint{address, metricsPort}.text()},
                  {"longestLeaseMs", maximumLeaseMs},
                  {"announcementMs", heartbeatMs},
                  {"callerRetryMs", retryDelayMs}};
    if (isControl) {
        settings["toleratedLosses"] = 1;
        settings["dataFolder"] = m_folder + "/data-" + std::to_string(vm);
        settings["control"] = m_controls[vm].text();
    } else {
        settings["callers"] = m_entries[vm - zones].text();
        settings["readiness"] = Endpoint{address, readyPort}.text();
    }
    return settings;
}

void Fleet::start(std::size_t vm)
{
    const auto settings = settingsOf(vm);
    const auto file = m_folder + "/settings-" + std::to_string(vm) + ".json";
    std::ofstream(file) << settings.dump();
    if (settings.contains("dataFolder"))
        std::filesystem::create_directories(settings["dataFolder"].get<std::string>());
    const auto logFile = m_folder + "/log-" + std::to_string(vm);
    const auto process = ::fork();
    if (process == 0) {
        ::setenv("CITRONPITCH_BOOT", file.c_str(), 1);
        const int log =
            m_plan.log ? *m_plan.log : ::open(logFile.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        ::execl(program, program, nullptr);
        ::_exit(127);
    }
    m_processes[vm] = process;
    m_record.write("process " + std::to_string(process) + " is " + settings["vm"].get<std::string>());
}

bool Fleet::isReady(std::size_t entry) const
{
    return call({m_entries[entry].address, readyPort}, {"GET", "/ready", {}, {}}, 500).status == 200;
}

bool Fleet::configure(const Json &configuration)
{
    constexpr int attempts = 150;
    bool isAcknowledged = false;
    for (int i = 0; i < attempts; ++i) {
        if (!isAcknowledged)
            isAcknowledged = call(m_controls[static_cast<std::size_t>(i) % m_controls.size()],
                                  {"POST", "/config/replace", {}, configuration.dump()}, 1000)
                                 .status
                == 200;
        bool areReady = isAcknowledged;
        for (std::size_t entry = 0; entry < m_entries.size(); ++entry)
            areReady = areReady && isReady(entry);
        if (areReady) {
            m_record.write("configuration " + configuration["Version"].dump()
                           + " is acknowledged, and all entry VMs are ready");
            return true;
        }
        ::usleep(100'000);
    }
    return false;
}

const std::vector<Endpoint> &Fleet::controls() const
{
    return m_controls;
}

const std::vector<Endpoint> &Fleet::entries() const
{
    return m_entries;
}

std::vector<RunEvent> Fleet::runs()
{
    auto all = m_earlierRuns;
    for (const auto &it : m_executors) {
        if (!it)
            continue;
        const auto list = it->runs();
        all.insert(all.end(), list.begin(), list.end());
    }
    return all;
}

pid_t Fleet::process(std::size_t vm) const
{
    return m_processes[vm];
}

void Fleet::delayNextStart(int delayMs, std::atomic<int> &number)
{
    m_faults->startDelayed = [this, delayMs, &number](const std::string &id, const Request &request) {
        for (std::size_t i = 0; i < m_plans.size(); ++i)
            number = m_plans[i].id == id ? static_cast<int>(i) : number.load();
        const auto endpoint = m_plans[static_cast<std::size_t>(number)].endpoint;
        m_delayed.emplace_back([this, delayMs, endpoint, request] {
            ::usleep(static_cast<unsigned>(delayMs) * 1000);
            const auto response = call(endpoint, request, 200);
            m_record.write("the late order is carried out; its answer " + std::to_string(response.status)
                           + " " + response.body + " is lost");
        });
    };
    m_faults->nextStartDelayMs = delayMs;
}

void Fleet::cutAnswers(std::size_t number, bool isCut)
{
    m_record.write(m_plans[number].id
                   + (isCut ? " is cut off: all that it sends is lost" : " is no longer cut off"));
    const std::lock_guard lock(m_faults->mutex);
    m_faults->cutExecutor = isCut ? m_plans[number].id : std::string();
}

void Fleet::crash(std::size_t number)
{
    m_record.write(m_plans[number].id + " crashes");
    const auto runs = m_executors[number]->runs();
    m_earlierRuns.insert(m_earlierRuns.end(), runs.begin(), runs.end());
    m_executors[number].reset();
}

void Fleet::revive(std::size_t number, const std::function<void(ExecutorPlan &plan)> &change)
{
    change(m_plans[number]);
    m_record.write(m_plans[number].id + " is back: " + Json(m_plans[number].labels).dump());
    m_executors[number] = std::make_unique<Executor>(m_record, m_plans[number]);
}

Json configurationOf(std::uint64_t version, int timeoutMs, bool isGuarded)
{
    return {{"Version", version},
            {"Routes",
             {{{"Name", "r-wrr6x73"},
               {"Host", host},
               {"PathPrefix", prefix},
               {"Kind", "unsafe"},
               {"TimeoutMs", timeoutMs},
               {"TargetDurationMs", 60},
               {"Priority", 0},
               {"Service", "huvo11a"},
               {"MaxAttempts", 2},
               {"Stretch", 1.6}}}},
            {"Services",
             {{{"Name", "huvo11a"},
               {"HealthPath", "/health"},
               {"MaxConns", 64},
               {"Protocol", "h1"},
               {"Tls", false},
               {"AdmissionCheck", isGuarded},
               {"Spare", false}}}},
            {"Limits",
             {{"MaxHeaderBytes", 16384},
              {"MaxBodyBytes", 262144},
              {"HeaderTimeoutMs", 3000},
              {"IdleTimeoutMs", 15000}}}};
}

Request submission(const std::string &id, unsigned tasks, int taskMs, int deadlineMs,
                   const std::string &label)
{
    constexpr int taskCpu = 14'000;
    Json step{{"Count", tasks}, {"Cpu", taskCpu}, {"MemMb", 64}, {"EstimateMs", taskMs}};
    if (!label.empty())
        step["RequiredLabel"] = label;
    const Json body{{"Spec", Json{{"ms", taskMs}, {"cpu", taskCpu}, {"label", label}}.dump()},
                    {"Steps", Json::array({step})},
                    {"BestEffort", true}};
    return {
        "POST",
        prefix + id,
        {{"host", host}, {"content-type", "application/json"}, {"x-deadline-ms", std::to_string(deadlineMs)}},
        body.dump()};
}

std::string jobId(std::uint64_t number)
{
    constexpr std::uint64_t factor = 0x9e3779b97f4a7c15;
    std::ostringstream text;
    text << std::hex << std::setw(16) << std::setfill('0') << number * factor;
    return text.str();
}

} // namespace Review
