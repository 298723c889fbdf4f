#include "support/platformfleet.h"

#include <fstream>
#include <set>
#include <sstream>
#include <unistd.h>
#include <utility>

namespace Citronpitch {

using Json = nlohmann::json;

namespace {

constexpr std::uint16_t peerPort = 17720;
constexpr std::uint16_t callersPort = 17161;
constexpr std::uint16_t controlPort = 17166;
constexpr std::uint16_t readinessPort = 17167;
constexpr std::uint16_t executorPort = 17180;
constexpr std::uint16_t metricsPort = 17464;
constexpr int evacuationMs = 5000;
constexpr Duration callTimeout = std::chrono::seconds(2);
constexpr auto longestWait = std::chrono::seconds(15);
constexpr auto waitPeriod = std::chrono::milliseconds(50);
constexpr std::size_t seeds = 3;

/// Last part of the addresses of the first of each.
constexpr std::size_t firstVm = 1;
constexpr std::size_t firstListener = 61;
constexpr std::size_t firstExecutor = 121;
constexpr std::size_t firstExecutorProxy = 181;

/// Tests run side by side, each on loopback addresses of its own.
std::string addressOf(std::size_t host)
{
    constexpr int subnets = 250;
    constexpr int firstSubnet = 2;
    const int process = getpid();
    return "127." + std::to_string(firstSubnet + process / subnets % subnets) + "."
        + std::to_string(process % subnets) + "." + std::to_string(host);
}

std::string textOf(const Endpoint &endpoint)
{
    return endpoint.address + ":" + std::to_string(endpoint.port);
}

} // namespace

PlatformFleet::PlatformFleet(PlatformFleetPlan plan)
    : m_plan(std::move(plan))
    , m_processes(m_plan.controlDomains.size() + m_plan.entryDomains.size())
{
    std::filesystem::remove_all(m_plan.folder);
    std::filesystem::create_directories(m_plan.folder);
    for (std::size_t i = 0; m_plan.hasProxies && i < vms(); ++i)
        m_linkProxies.push_back(std::make_unique<FaultProxy>(
            Endpoint{addressOf(firstVm + i), peerPort}, Endpoint{addressOf(firstListener + i), peerPort}));
    std::vector<Endpoint> controlEndpoints;
    for (std::size_t i = 0; i < controls(); ++i)
        controlEndpoints.push_back(control(i));
    for (std::size_t i = 0; i < m_plan.executorDomains.size(); ++i) {
        const Endpoint own{addressOf(firstExecutor + i), executorPort};
        auto announced = own;
        if (m_plan.hasProxies) {
            announced.address = addressOf(firstExecutorProxy + i);
            m_executorProxies.push_back(std::make_unique<FaultProxy>(announced, own));
        }
        // Clocks of upstreams may be up to 2 % slow.
        const int clockRate = i % 2 == 0 ? 1000 : 980;
        FakeExecutorPlan executorPlan{
            "i-" + std::to_string(i), m_plan.executorDomains[i], own, announced, controlEndpoints, clockRate};
        if (i < m_plan.executorLabels.size())
            executorPlan.labels = m_plan.executorLabels[i];
        m_executors.push_back(std::make_unique<FakeExecutor>(m_executorLoop, std::move(executorPlan)));
    }
    for (std::size_t i = 0; i < vms(); ++i)
        start(i, true);
}

PlatformFleet::~PlatformFleet()
{
    m_executorLoop.stop();
    if (m_executorThread.joinable())
        m_executorThread.join();
}

std::size_t PlatformFleet::controls() const
{
    return m_plan.controlDomains.size();
}

std::size_t PlatformFleet::vms() const
{
    return m_processes.size();
}

bool PlatformFleet::isControl(std::size_t vm) const
{
    return vm < controls();
}

std::string PlatformFleet::nameOf(std::size_t vm) const
{
    return isControl(vm) ? "control" + std::to_string(vm) : "entry" + std::to_string(vm - controls());
}

Endpoint PlatformFleet::control(std::size_t vm) const
{
    return {addressOf(firstVm + vm), controlPort};
}

Endpoint PlatformFleet::callers(std::size_t vm) const
{
    return {addressOf(firstVm + vm), callersPort};
}

Endpoint PlatformFleet::readiness(std::size_t vm) const
{
    return {addressOf(firstVm + vm), readinessPort};
}

Endpoint PlatformFleet::metrics(std::size_t vm) const
{
    return {addressOf(firstVm + vm), metricsPort};
}

std::string PlatformFleet::linkOf(std::size_t vm) const
{
    return textOf({addressOf(firstVm + vm), peerPort});
}

std::string PlatformFleet::logOf(std::size_t vm) const
{
    std::ostringstream text;
    text << std::ifstream(m_plan.folder / (nameOf(vm) + ".log")).rdbuf();
    return text.str();
}

void PlatformFleet::start(std::size_t vm, bool isFirstStart)
{
    m_processes[vm].reset();
    const auto file = m_plan.folder / (nameOf(vm) + ".json");
    if (isControl(vm))
        std::filesystem::create_directories(m_plan.folder / nameOf(vm));
    std::ofstream(file) << settingsOf(vm, isFirstStart).dump();
    std::vector<std::string> environment;
    if (isControl(vm) && !m_plan.diskRecorder.empty())
        environment = diskOf(vm).environment(m_plan.diskRecorder, m_plan.syncDelay);
    const std::vector<std::string> arguments{"--settings", file};
    if (m_plan.logDescriptor)
        m_processes[vm].emplace(m_plan.program, arguments, *m_plan.logDescriptor, environment);
    else
        m_processes[vm].emplace(m_plan.program, arguments, m_plan.folder / (nameOf(vm) + ".log"),
                                environment);
}

ChildProcess &PlatformFleet::process(std::size_t vm)
{
    return *m_processes[vm];
}

void PlatformFleet::loseDisk(std::size_t vm)
{
    std::filesystem::remove_all(m_plan.folder / nameOf(vm));
    diskOf(vm).clearRecord();
}

std::size_t PlatformFleet::losePower(std::size_t vm, PowerLoss loss, std::uint64_t seed)
{
    return diskOf(vm).losePower(loss, seed);
}

RecordedDisk PlatformFleet::diskOf(std::size_t vm) const
{
    return RecordedDisk(m_plan.folder / nameOf(vm));
}

FaultProxy &PlatformFleet::linkProxy(std::size_t vm)
{
    return *m_linkProxies[vm];
}

FaultProxy &PlatformFleet::executorProxy(std::size_t number)
{
    return *m_executorProxies[number];
}

FakeExecutor &PlatformFleet::executor(std::size_t number)
{
    return *m_executors[number];
}

std::size_t PlatformFleet::executors() const
{
    return m_executors.size();
}

unsigned PlatformFleet::starts() const
{
    unsigned n = 0;
    for (const auto &it : m_executors)
        n += it->starts();
    return n;
}

boost::asio::io_context &PlatformFleet::executorLoop()
{
    return m_executorLoop;
}

void PlatformFleet::startExecutors()
{
    m_executorThread = std::thread([this] { m_executorLoop.run(); });
}

Json PlatformFleet::settingsOf(std::size_t vm, bool isFirstStart) const
{
    const auto number = isControl(vm) ? vm : vm - controls();
    const auto &domains = isControl(vm) ? m_plan.controlDomains : m_plan.entryDomains;
    const std::set<std::string> allDomains(m_plan.executorDomains.begin(), m_plan.executorDomains.end());
    Json settings{{"vm", nameOf(vm)},
                  {"role", isControl(vm) ? "control" : "entry"},
                  {"failureDomain", domains[number]},
                  {"failureDomains", allDomains},
                  {"address", addressOf(firstVm + vm)},
                  {"peerPort", peerPort},
                  {"metrics", textOf(metrics(vm))},
                  {"evacuationMs", evacuationMs},
                  {"firstStart", isFirstStart}};
    for (std::size_t i = 0; i < std::min(seeds, controls()); ++i)
        settings["seeds"].push_back(textOf(control(i)));
    if (m_plan.hasProxies)
        settings["peerListener"] = textOf({addressOf(firstListener + vm), peerPort});
    if (isControl(vm)) {
        settings["control"] = textOf(control(vm));
        settings["dataFolder"] = (m_plan.folder / nameOf(vm)).string();
    } else {
        settings["callers"] = textOf(callers(vm));
        settings["readiness"] = textOf(readiness(vm));
    }
    settings.update(m_plan.settings);
    return settings;
}

HttpResponse callOnce(const Endpoint &endpoint, const ClientRequest &request)
{
    boost::asio::io_context io;
    HttpClient client(io);
    HttpResponse response{0, "", {}};
    auto sent = request;
    sent.timeout = callTimeout;
    client.send(endpoint, sent, [&](const ClientResponse &ended) {
        if (ended.outcome == ExchangeOutcome::Answered)
            response = ended.response;
        io.stop();
    });
    io.run();
    return response;
}

bool waitFor(const std::function<bool()> &condition)
{
    const auto end = std::chrono::steady_clock::now() + longestWait;
    while (std::chrono::steady_clock::now() < end) {
        if (condition())
            return true;
        std::this_thread::sleep_for(waitPeriod);
    }
    return false;
}

Json platformConfiguration(std::uint64_t version)
{
    return {{"Version", version},
            {"Routes",
             {{{"Name", "route"},
               {"Host", "host.example"},
               {"PathPrefix", "/jobs/"},
               {"TimeoutMs", 1500},
               {"TargetDurationMs", 60},
               {"MaxAttempts", 2},
               {"Stretch", 1.6},
               {"Service", "pool"}}}},
            {"Services", {{{"Name", "pool"}, {"MaxConns", 64}, {"AdmissionCheck", true}}}}};
}

Json platformJob(unsigned tasks)
{
    return {{"Spec", "text"},
            {"Steps", {{{"Count", tasks}, {"Cpu", 1000}, {"MemMb", 1}, {"EstimateMs", 50}}}},
            {"BestEffort", true}};
}

ClientRequest platformSubmission(const std::string &id, const Json &job)
{
    return {"POST", "/jobs/" + id, {{"Host", "host.example"}, {"X-Deadline-Ms", "1500"}}, job.dump()};
}

} // namespace Citronpitch
