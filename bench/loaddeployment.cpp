#include "loaddeployment.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <queue>
#include <stdexcept>

namespace Citronpitch {

using Json = nlohmann::json;

namespace {

constexpr auto readyTimeout = std::chrono::seconds(15);
constexpr int upstreamsPerVm = 7;
constexpr int upstreamsPerRack = 6;
constexpr std::uint32_t slotsEach = 8;
constexpr Resources upstreamCapacity{32000, std::uint64_t{128} << 30, 0};

/// Weights of the first and second VM of a failure domain.
constexpr double largerVm = 1.1;
constexpr double smallerVm = 0.9;

/// One failure domain and its entry VMs.
struct LoadDomain
{
    const char *name;
    int vms;
};

constexpr std::array<LoadDomain, 4> domains{LoadDomain{"north", 2}, LoadDomain{"south", 2},
                                            LoadDomain{"paisley", 2}, LoadDomain{"clydebank", 1}};

DeployedUpstream upstreamNumber(const Scenario &scenario, int number, const std::string &domain)
{
    DeployedUpstream upstream;
    upstream.name = "upstream" + std::to_string(number);
    upstream.failureDomain = domain;
    upstream.slots = slotsEach;
    upstream.rack = domain + "-rack" + std::to_string(number / upstreamsPerRack);
    upstream.slowness = number % 2 == 1 ? scenario.slowness : 1;
    upstream.failsEverything = number < static_cast<int>(scenario.blackHoles);
    if (scenario.neverFitsShare > 0)
        upstream.capacity = upstreamCapacity;
    return upstream;
}

std::string settingsText(PolicyName policy)
{
    const Json classes{{{"name", checkClass}, {"targetTimeMs", 300}, {"targetSharePpm", 990000}},
                       {{"name", batchClass}, {"targetTimeMs", 2000}, {"targetSharePpm", 990000}}};
    Json settings{{"initialConfiguration", {{"classes", classes}}}};
    if (policy != PolicyName::Target)
        settings["placement"] = enumName(policyNames, policy);
    return settings.dump();
}

} // namespace

SiteDelays delaysOf(SiteName site)
{
    using std::chrono::microseconds;
    if (site == SiteName::Pasteleria)
        return {microseconds(1500), microseconds(1000)};
    return {microseconds(500), microseconds(1000)};
}

LoadDeployment::LoadDeployment(const std::string &programs, const Scenario &scenario, PolicyName policy,
                               SiteName site)
    : m_delays(delaysOf(site))
{
    m_plan.programs = programs;
    m_plan.folder = ".bench/load";
    m_plan.vmSettings = settingsText(policy);
    m_plan.route = [this](const std::string &from, const std::string &to, const Endpoint &direct) {
        return route(from, to, direct);
    };
    int upstreams = 0;
    for (const auto &domain : domains) {
        for (int i = 0; i < domain.vms; ++i)
            m_plan.vms.push_back({"vm" + std::to_string(m_plan.vms.size() + 1), domain.name});
        for (int i = 0; i < domain.vms * upstreamsPerVm; ++i)
            m_plan.upstreams.push_back(upstreamNumber(scenario, upstreams++, domain.name));
    }
    m_deployment = std::make_unique<Deployment>(m_plan);
}

void LoadDeployment::start()
{
    m_deployment->start();
    if (!m_deployment->waitUntilReady(readyTimeout))
        throw std::runtime_error("the deployment did not become ready");
}

double LoadDeployment::capacity() const
{
    constexpr double millisecondsPerSecond = 1000;
    double sum = 0;
    for (const auto &it : m_plan.upstreams)
        sum += it.failsEverything ? 0 : millisecondsPerSecond * it.slots / it.slowness;
    return sum;
}

std::uint32_t LoadDeployment::slots() const
{
    std::uint32_t sum = 0;
    for (const auto &it : m_plan.upstreams)
        sum += it.failsEverything ? 0 : it.slots;
    return sum;
}

std::vector<double> LoadDeployment::vmWeights() const
{
    std::vector<double> weights;
    for (const auto &domain : domains) {
        if (domain.vms == 1) {
            weights.push_back(1);
            continue;
        }
        weights.push_back(largerVm);
        weights.push_back(smallerVm);
    }
    return weights;
}

const std::vector<DeployedVm> &LoadDeployment::vms() const
{
    return m_plan.vms;
}

double LoadDeployment::slownessOf(const std::string &upstream) const
{
    const auto it = std::find_if(m_plan.upstreams.begin(), m_plan.upstreams.end(),
                                 [&](const auto &other) { return other.name == upstream; });
    return it == m_plan.upstreams.end() ? 1 : it->slowness;
}

double LoadDeployment::idealMilliseconds(std::uint32_t tasks, double milliseconds) const
{
    // Greedy: each task goes to the slot that would end it first.
    using Slot = std::pair<double, double>;
    std::priority_queue<Slot, std::vector<Slot>, std::greater<>> ends;
    for (const auto &it : m_plan.upstreams) {
        for (std::uint32_t i = 0; !it.failsEverything && i < it.slots; ++i)
            ends.emplace(milliseconds * it.slowness, it.slowness);
    }
    double last = 0;
    for (std::uint32_t i = 0; i < tasks; ++i) {
        const auto [end, slowness] = ends.top();
        ends.pop();
        last = std::max(last, end);
        ends.emplace(end + milliseconds * slowness, slowness);
    }
    return last;
}

void LoadDeployment::setCut(bool isCut)
{
    const auto &domain = m_plan.vms.back().failureDomain;
    for (const auto &it : m_links) {
        if (domainOf(it.from) != domain && domainOf(it.to) != domain)
            continue;
        it.proxy->faults().swallowToServer = isCut;
        it.proxy->faults().swallowToClient = isCut;
        it.proxy->faults().refuse = isCut;
        // The bytes swallowed are missing from the streams, so they can't go on.
        if (!isCut)
            it.proxy->closeAll();
    }
}

void LoadDeployment::killFirstVm()
{
    auto &process = m_deployment->vm(m_plan.vms.front().name);
    process.signal(SIGKILL);
    process.wait();
}

void LoadDeployment::retireBatchClass()
{
    m_operator = std::jthread([this](const std::stop_token &stop) {
        while (!stop.stop_requested()) {
            for (const auto &it : m_plan.vms) {
                if (retireAt(it.name))
                    return;
            }
        }
    });
}

bool LoadDeployment::retireAt(const std::string &vm) const
{
    ClientRequest request;
    request.target = "/v1/configuration";
    request.timeout = std::chrono::seconds(2);
    const auto current = call(m_deployment->control(vm), request);
    if (current.outcome != ExchangeOutcome::Answered || current.response.status != 200)
        return false;
    const auto version = Json::parse(current.response.body).value("version", std::uint64_t{0});
    request.method = "POST";
    request.target = "/v1/configuration/changes";
    request.body = Json{{"id", "retire-batch"},
                        {"author", "load"},
                        {"basedOn", version},
                        {"change", {{"type", "retireClass"}, {"class", {{"name", batchClass}}}}}}
                       .dump();
    const auto response = call(m_deployment->control(vm), request);
    return response.outcome == ExchangeOutcome::Answered && response.response.status == 200;
}

std::vector<std::string> LoadDeployment::silentLinks() const
{
    std::vector<std::string> list;
    for (const auto &it : m_plan.vms) {
        for (const auto &peer : statusOf(it.name).value("vms", Json::array())) {
            if (peer.value("state", std::string()) != "alive")
                list.push_back(it.name + " does not hear " + peer.value("name", std::string()));
        }
    }
    return list;
}

Json LoadDeployment::statusOf(const std::string &vm) const
{
    ClientRequest request;
    request.target = "/v1/status";
    request.timeout = std::chrono::seconds(1);
    const auto response = call(m_deployment->control(vm), request);
    return response.outcome == ExchangeOutcome::Answered ? Json::parse(response.response.body)
                                                         : Json::object();
}

Deployment &LoadDeployment::deployment()
{
    return *m_deployment;
}

Endpoint LoadDeployment::route(const std::string &from, const std::string &to, const Endpoint &direct)
{
    const auto fromDomain = domainOf(from);
    const auto toDomain = domainOf(to);
    if (fromDomain.empty() || toDomain.empty() || fromDomain == toDomain)
        return direct;
    const auto listen = freeEndpoint();
    auto proxy = std::make_unique<FaultProxy>(listen, direct);
    proxy->faults().delayMicroseconds = m_delays.betweenDomains.count();
    m_links.push_back({from, to, std::move(proxy)});
    return listen;
}

std::string LoadDeployment::domainOf(const std::string &vm) const
{
    const auto it = std::find_if(m_plan.vms.begin(), m_plan.vms.end(),
                                 [&](const auto &other) { return other.name == vm; });
    return it == m_plan.vms.end() ? std::string() : it->failureDomain;
}

} // namespace Citronpitch
