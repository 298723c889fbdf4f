#include "fleet.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <iomanip>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace Review {

using Json = nlohmann::json;
using Tcp = boost::asio::ip::tcp;

namespace {

constexpr const char *program = "target/citronpitch-platform";
constexpr const char *host = "nony24.example";
constexpr auto callTimeout = Milliseconds(1000);
constexpr auto pollInterval = Milliseconds(50);
constexpr auto startTimeout = std::chrono::seconds(20);
constexpr auto grace = std::chrono::seconds(6);
constexpr std::size_t seeds = 3;
constexpr std::size_t firstVm = 1;
constexpr std::size_t firstExecutor = 101;
constexpr int statusOk = 200;
constexpr int logMode = 0644;

/// Each process has loopback addresses of its own.
std::string ipOf(std::size_t number)
{
    constexpr int subnets = 250;
    constexpr int firstSubnet = 2;
    const int process = getpid();
    return "127." + std::to_string(firstSubnet + process / subnets % subnets) + "."
        + std::to_string(process % subnets) + "." + std::to_string(number);
}

/// A port that is free on the addresses of this process.
std::uint16_t freePort()
{
    boost::asio::io_context io;
    const Tcp::acceptor acceptor(io, Tcp::endpoint(boost::asio::ip::make_address(ipOf(firstVm)), 0));
    return acceptor.local_endpoint().port();
}

} // namespace

Fleet::Fleet(FleetPlan plan, Record &record)
    : m_plan(std::move(plan))
    , m_record(record)
    , m_folder(std::filesystem::temp_directory_path() / ("citronpitch-review-" + std::to_string(getpid())))
    , m_peerPort(freePort())
    , m_frontPort(freePort())
    , m_readyPort(freePort())
    , m_controlPort(freePort())
    , m_executorPort(freePort())
{
    std::filesystem::create_directories(m_folder);
    for (const auto &it : m_plan.zones)
        m_vms.push_back({"core-" + it, it, ipOf(firstVm + m_vms.size()), true});
    for (std::size_t i = 0; i < m_plan.entryZones.size(); ++i)
        m_vms.push_back(
            {"edge-" + std::to_string(i + 1), m_plan.entryZones[i], ipOf(firstVm + m_vms.size()), false});
}

Fleet::~Fleet()
{
    for (const auto &it : m_vms) {
        if (it.process <= 0)
            continue;
        ::kill(it.process, SIGKILL);
        ::waitpid(it.process, nullptr, 0);
    }
    if (std::getenv("KEEP_LOGS") == nullptr)
        std::filesystem::remove_all(m_folder);
}

std::vector<Address> Fleet::controls() const
{
    std::vector<Address> list;
    for (const auto &it : m_vms) {
        if (it.isControl)
            list.push_back({it.ip, m_controlPort});
    }
    return list;
}

Address Fleet::front(std::size_t entry) const
{
    return {m_vms.at(m_plan.zones.size() + entry).ip, m_frontPort};
}

Address Fleet::newExecutorAddress()
{
    return {ipOf(firstExecutor + m_nextExecutor++), m_executorPort};
}

bool Fleet::start()
{
    for (auto &it : m_vms)
        launch(it, true);
    const auto end = Clock::now() + startTimeout;
    for (const auto &it : controls()) {
        // Without a configuration a read is answered with 503.
        while (callOnce(it, {"GET", "/config/read", "", {}}, callTimeout).status == 0) {
            if (Clock::now() > end)
                return false;
            std::this_thread::sleep_for(pollInterval);
        }
    }
    return true;
}

bool Fleet::configure(const Json &document)
{
    const auto end = Clock::now() + startTimeout;
    const auto list = controls();
    for (std::size_t i = 0; Clock::now() < end; ++i) {
        const auto reply =
            callOnce(list[i % list.size()], {"POST", "/config/replace", document.dump(), {}}, callTimeout);
        if (reply.status == statusOk) {
            m_record.write("operator: version " + document["Version"].dump() + " is acknowledged");
            return true;
        }
        std::this_thread::sleep_for(pollInterval);
    }
    return false;
}

bool Fleet::waitUntilReady() const
{
    const auto end = Clock::now() + startTimeout;
    for (const auto &it : m_vms) {
        while (!it.isControl
               && callOnce({it.ip, m_readyPort}, {"GET", "/ready", "", {}}, callTimeout).status != statusOk) {
            if (Clock::now() > end)
                return false;
            std::this_thread::sleep_for(pollInterval);
        }
    }
    return true;
}

std::int64_t Fleet::terminateEntry(std::size_t entry)
{
    auto &vm = m_vms.at(m_plan.zones.size() + entry);
    m_record.write("platform: SIGTERM to " + vm.name);
    const auto begin = Clock::now();
    ::kill(vm.process, SIGTERM);
    while (::waitpid(vm.process, nullptr, WNOHANG) == 0) {
        if (Clock::now() - begin > grace)
            ::kill(vm.process, SIGKILL);
        std::this_thread::sleep_for(Milliseconds(1));
    }
    vm.process = 0;
    const auto took = std::chrono::duration_cast<Milliseconds>(Clock::now() - begin).count();
    m_record.write("platform: " + vm.name + " ended " + std::to_string(took) + " ms after SIGTERM");
    return took;
}

void Fleet::signalVm(std::size_t vm, int number)
{
    m_record.write("signal " + std::to_string(number) + " to " + m_vms.at(vm).name);
    ::kill(m_vms.at(vm).process, number);
}

void Fleet::restartVm(std::size_t vm)
{
    auto &it = m_vms.at(vm);
    m_record.write("platform: " + it.name + " is killed and starts again");
    ::kill(it.process, SIGKILL);
    ::waitpid(it.process, nullptr, 0);
    launch(it, false);
}

std::size_t Fleet::vmCount() const
{
    return m_vms.size();
}

bool Fleet::hasLostProcess()
{
    return std::any_of(m_vms.begin(), m_vms.end(), [](const auto &it) {
        return it.process > 0 && ::waitpid(it.process, nullptr, WNOHANG) != 0;
    });
}

void Fleet::launch(Vm &vm, bool isFirstStart)
{
    const auto settings = m_folder / (vm.name + ".json");
    const auto log = m_folder / (vm.name + ".log");
    if (vm.isControl)
        std::filesystem::create_directories(m_folder / vm.name);
    std::ofstream(settings) << settingsOf(vm, isFirstStart).dump(4);
    const auto variable = "CITRONPITCH_BOOT=" + settings.string();
    std::vector<char *> arguments{const_cast<char *>(program), nullptr};
    std::vector<char *> variables{const_cast<char *>(variable.c_str()), nullptr};
    vm.process = ::fork();
    if (vm.process != 0)
        return;
    // A VM must not outlive this process, however that ends.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, logMode);
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    ::close_range(STDERR_FILENO + 1, ~0U, 0);
    ::execve(program, arguments.data(), variables.data());
    ::_exit(1);
}

Json Fleet::settingsOf(const Vm &vm, bool isFirstStart) const
{
    // What deploy/entry.json and deploy/control.json give with the bounds of cmhu-adapt.
    Json settings{{"vm", vm.name},
                  {"role", vm.isControl ? "control" : "entry"},
                  {"failureDomain", vm.zone},
                  {"failureDomains", m_plan.zones},
                  {"address", vm.ip},
                  {"peerPort", m_peerPort},
                  {"seeds", Json::array()},
                  {"firstStart", isFirstStart},
                  {"longestLeaseMs", 1000},
                  {"announcementMs", 1500},
                  {"callerRetryMs", 1300}};
    const auto list = controls();
    for (std::size_t i = 0; i < std::min(seeds, list.size()); ++i)
        settings["seeds"].push_back(list[i].text());
    if (vm.isControl) {
        settings["toleratedLosses"] = 1;
        settings["dataFolder"] = (m_folder / vm.name).string();
        settings["control"] = Address{vm.ip, m_controlPort}.text();
    } else {
        settings["callers"] = Address{vm.ip, m_frontPort}.text();
        settings["readiness"] = Address{vm.ip, m_readyPort}.text();
    }
    return settings;
}

Json route(const std::string &name, const std::string &prefix, const std::string &service, int timeoutMs,
           int targetMs)
{
    return {{"Name", name},     {"Host", host},           {"PathPrefix", prefix},
            {"Kind", "unsafe"}, {"TimeoutMs", timeoutMs}, {"TargetDurationMs", targetMs},
            {"Priority", 0},    {"Service", service},     {"MaxAttempts", 4},
            {"Stretch", 1.6}};
}

Json configuration(std::uint64_t version, const std::vector<Json> &routes,
                   const std::vector<std::string> &services)
{
    Json document{{"Version", version},
                  {"Routes", routes},
                  {"Services", Json::array()},
                  {"Limits",
                   {{"MaxHeaderBytes", 16384},
                    {"MaxBodyBytes", 262144},
                    {"HeaderTimeoutMs", 3000},
                    {"IdleTimeoutMs", 15000}}}};
    for (const auto &it : services)
        document["Services"].push_back({{"Name", it},
                                        {"HealthPath", "/health"},
                                        {"MaxConns", 64},
                                        {"Protocol", "h1"},
                                        {"Tls", false},
                                        {"AdmissionCheck", true},
                                        {"Spare", false}});
    return document;
}

Json bestEffortJob(int workMs, Json step)
{
    step["EstimateMs"] = workMs;
    return {{"Spec", std::to_string(workMs)}, {"BestEffort", true}, {"Steps", {std::move(step)}}};
}

std::string newJobId()
{
    static std::atomic<unsigned> number = 0;
    constexpr int digits = 16;
    std::ostringstream text;
    text << std::hex << std::setfill('0') << std::setw(digits) << (0x5c0e7a2100000000ULL + ++number);
    return text.str();
}

SentJob submit(const Address &front, const std::string &prefix, const std::string &id, const Json &job,
               int deadlineMs, Record &record)
{
    SentJob sent{id, elapsedMs(), 0, {}};
    record.write("client: POST " + id + " to " + front.text());
    sent.reply = callOnce(
        front,
        {"POST", prefix + id, job.dump(), {{"Host", host}, {"X-Deadline-Ms", std::to_string(deadlineMs)}}},
        Milliseconds(deadlineMs) + callTimeout);
    sent.endedMs = elapsedMs();
    const auto answer = sent.reply.status == 0
        ? std::string(sent.reply.isTimedOut ? "no response" : "the connection ended without a response")
        : std::to_string(sent.reply.status) + " " + sent.reply.body;
    record.write("client: " + id + " gets " + answer + " after " + std::to_string(sent.endedMs - sent.sentMs)
                 + " ms");
    return sent;
}

bool isTroubled()
{
    const auto *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

} // namespace Review
