#include "support/deployment.h"

#include <boost/asio.hpp>
#include <nlohmann/json.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

namespace Citronpitch {

using Json = nlohmann::json;
namespace files = std::filesystem;

namespace {

constexpr auto pollPeriod = std::chrono::milliseconds(20);

Json endpointJson(const Endpoint &endpoint)
{
    return {{"address", endpoint.address}, {"port", endpoint.port}};
}

/// Differs between processes that run at one time, so that they never take each other's ports.
std::string ownLoopbackAddress()
{
    const auto id = static_cast<unsigned>(::getpid());
    return "127." + std::to_string((id >> 14 & 0x7f) + 1) + "." + std::to_string(id >> 7 & 0x7f) + "."
        + std::to_string((id & 0x7f) + 1);
}

void writeFile(const std::string &path, const Json &content)
{
    std::ofstream(path) << content.dump(2) << "\n";
}

} // namespace

Endpoint freeEndpoint()
{
    // Below the range from which the system takes the ports of outgoing connections.
    constexpr std::uint16_t firstPort = 10000;
    constexpr std::uint16_t lastPort = 32000;
    static std::uint16_t next = firstPort;
    using Tcp = boost::asio::ip::tcp;
    boost::asio::io_context io;
    const auto address = ownLoopbackAddress();
    for (;;) {
        next = next >= lastPort ? firstPort : static_cast<std::uint16_t>(next + 1);
        Tcp::acceptor acceptor(io, Tcp::v4());
        boost::system::error_code ec;
        acceptor.bind(Tcp::endpoint(boost::asio::ip::make_address_v4(address), next), ec);
        if (!ec)
            return {address, next};
    }
}

ClientResponse call(const Endpoint &endpoint, const ClientRequest &request)
{
    boost::asio::io_context io;
    HttpClient client(io);
    ClientResponse result;
    client.send(endpoint, request, [&](const ClientResponse &response) {
        result = response;
        io.stop();
    });
    io.run();
    return result;
}

Deployment::Deployment(const DeploymentPlan &plan)
    : m_plan(plan)
{
    files::remove_all(plan.folder);
    files::create_directories(plan.folder);
    for (const auto &it : plan.vms)
        m_vmPorts[it.name] = {freeEndpoint(), freeEndpoint(), freeEndpoint()};
    for (const auto &it : plan.upstreams)
        m_upstreamPorts[it.name] = freeEndpoint();
}

void Deployment::start()
{
    for (const auto &it : m_plan.vms) {
        writeVmSettings(it);
        initializeVm(it.name);
        startVm(it.name);
    }
    for (const auto &it : m_plan.upstreams) {
        writeUpstreamSettings(it);
        startUpstream(it.name);
    }
}

bool Deployment::waitUntilReady(Duration timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    for (const auto &it : m_plan.vms) {
        while (!isReady(it)) {
            if (std::chrono::steady_clock::now() > deadline)
                return false;
            std::this_thread::sleep_for(pollPeriod);
        }
    }
    return true;
}

void Deployment::initializeVm(const std::string &name) const
{
    const auto base = m_plan.folder + "/" + name;
    ChildProcess process(m_plan.programs + "/citronpitchd", {"--settings", base + ".json", "--initialize"},
                         base + ".log");
    process.wait();
}

void Deployment::startVm(const std::string &name)
{
    const auto base = m_plan.folder + "/" + name;
    m_processes[name] =
        std::make_unique<ChildProcess>(m_plan.programs + "/citronpitchd",
                                       std::vector<std::string>{"--settings", base + ".json"}, base + ".log");
}

void Deployment::startUpstream(const std::string &name)
{
    const auto base = m_plan.folder + "/" + name;
    m_processes[name] =
        std::make_unique<ChildProcess>(m_plan.programs + "/citronpitch-fakeupstream",
                                       std::vector<std::string>{base + ".json"}, base + ".log");
}

ChildProcess &Deployment::vm(const std::string &name)
{
    return *m_processes.at(name);
}

ChildProcess &Deployment::upstream(const std::string &name)
{
    return *m_processes.at(name);
}

Endpoint Deployment::callers(const std::string &vm) const
{
    return m_vmPorts.at(vm).callers;
}

Endpoint Deployment::control(const std::string &vm) const
{
    return m_vmPorts.at(vm).control;
}

Endpoint Deployment::upstreamEndpoint(const std::string &upstream) const
{
    return m_upstreamPorts.at(upstream);
}

std::string Deployment::dataFolder(const std::string &vm) const
{
    return m_plan.folder + "/" + vm + ".data";
}

bool Deployment::stop()
{
    bool isClean = true;
    for (const auto &it : m_plan.vms)
        m_processes.at(it.name)->signal(SIGTERM);
    for (const auto &it : m_plan.vms)
        isClean = m_processes.at(it.name)->wait() == 0 && isClean;
    for (const auto &it : m_plan.upstreams) {
        m_processes.at(it.name)->signal(SIGTERM);
        m_processes.at(it.name)->wait();
    }
    return isClean;
}

StartRecords Deployment::records() const
{
    StartRecords records;
    for (const auto &it : m_plan.upstreams) {
        std::ifstream file(m_plan.folder + "/" + it.name + ".records");
        std::string what;
        std::string id;
        std::string attempt;
        while (file >> what >> id >> attempt) {
            records.declined += what == "declined" ? 1 : 0;
            records.duplicates += what == "duplicate" ? 1 : 0;
            if (what != "start")
                continue;
            ++records.started;
            if (++records.starts[id] == 2)
                ++records.doubled;
        }
    }
    return records;
}

void Deployment::writeVmSettings(const DeployedVm &vm) const
{
    const auto &ports = m_vmPorts.at(vm.name);
    Json vms = Json::array();
    for (const auto &it : m_plan.vms) {
        const auto peers = routed(vm.name, it.name, m_vmPorts.at(it.name).peers);
        vms.push_back(
            {{"name", it.name}, {"failureDomain", it.failureDomain}, {"peers", endpointJson(peers)}});
    }
    Json settings{{"name", vm.name},
                  {"failureDomain", vm.failureDomain},
                  {"dataFolder", dataFolder(vm.name)},
                  {"callers", endpointJson(ports.callers)},
                  {"control", endpointJson(ports.control)},
                  {"peers", endpointJson(ports.peers)},
                  {"vms", vms}};
    settings.merge_patch(Json::parse(m_plan.vmSettings));
    writeFile(m_plan.folder + "/" + vm.name + ".json", settings);
}

void Deployment::writeUpstreamSettings(const DeployedUpstream &upstream) const
{
    Json entryVms = Json::array();
    for (const auto &it : m_plan.vms) {
        if (it.failureDomain == upstream.failureDomain)
            entryVms.push_back(endpointJson(routed(upstream.name, it.name, control(it.name))));
    }
    const auto listen = m_upstreamPorts.at(upstream.name);
    const Json settings{{"name", upstream.name},
                        {"listen", endpointJson(listen)},
                        {"announced", endpointJson(routed("vm", upstream.name, listen))},
                        {"entryVms", entryVms},
                        {"slots", upstream.slots},
                        {"rack", upstream.rack},
                        {"capacity",
                         {{"millicores", upstream.capacity.millicores},
                          {"memoryBytes", upstream.capacity.memoryBytes},
                          {"accelerators", upstream.capacity.accelerators}}},
                        {"slowness", upstream.slowness},
                        {"failsEverything", upstream.failsEverything},
                        {"recordFile", m_plan.folder + "/" + upstream.name + ".records"}};
    writeFile(m_plan.folder + "/" + upstream.name + ".json", settings);
}

Endpoint Deployment::routed(const std::string &from, const std::string &to, const Endpoint &direct) const
{
    return m_plan.route ? m_plan.route(from, to, direct) : direct;
}

bool Deployment::isReady(const DeployedVm &vm) const
{
    ClientRequest request;
    request.target = "/v1/status";
    request.timeout = std::chrono::seconds(1);
    const auto status = call(control(vm.name), request);
    request.target = "/v1/upstreams";
    const auto upstreams = call(control(vm.name), request);
    if (status.outcome != ExchangeOutcome::Answered || upstreams.outcome != ExchangeOutcome::Answered)
        return false;
    const auto statusBody = Json::parse(status.response.body);
    for (const auto &it : statusBody.at("vms")) {
        if (it.at("state") != "alive")
            return false;
    }
    return Json::parse(upstreams.response.body).at("upstreams").size() >= upstreamsIn(vm.failureDomain);
}

std::size_t Deployment::upstreamsIn(const std::string &failureDomain) const
{
    std::size_t n = 0;
    for (const auto &it : m_plan.upstreams)
        n += it.failureDomain == failureDomain ? 1 : 0;
    return n;
}

} // namespace Citronpitch
