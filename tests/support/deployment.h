#pragma once

#include "citronpitch/resources.h"
#include "net/httpclient.h"
#include "support/childprocess.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Citronpitch {

/// What the oracle read in the records of all fake upstreams.
struct StartRecords
{
    /// Starts of each task, by the id in its payload.
    std::map<std::string, int> starts;
    std::uint64_t started = 0;
    std::uint64_t declined = 0;
    std::uint64_t duplicates = 0;
    /// Tasks that were started more than once.
    std::uint64_t doubled = 0;
};

/// One entry VM to start.
struct DeployedVm
{
    std::string name;
    std::string failureDomain;
};

/// One fake upstream to start.
struct DeployedUpstream
{
    std::string name;
    std::string failureDomain;
    std::uint32_t slots = 8;
    double slowness = 1.0;
    bool failsEverything = false;
    std::string rack;
    Resources capacity = {};
};

/// What to start.
struct DeploymentPlan
{
    /// Folder that holds the programs.
    std::string programs;
    /// Folder for settings, logs, data and records; emptied first.
    std::string folder;
    std::vector<DeployedVm> vms;
    std::vector<DeployedUpstream> upstreams;
    /// JSON object merged into every entry VM's settings.
    std::string vmSettings = "{}";
    /**
     * Where @p from reaches a listener of @p to; a test puts a proxy in between by returning another
     * endpoint.
     * @p from and @p to are names of VMs or upstreams.
     */
    std::function<Endpoint(const std::string &from, const std::string &to, const Endpoint &direct)> route;
};

/**
 * @brief A small deployment of real processes on loopback, for integration tests, the demo and experiments.
 */
class Deployment
{
public:
    explicit Deployment(const DeploymentPlan &plan);

    /// Starts every process.
    void start();

    /// Waits until every VM hears every other and knows the upstreams of its domain. False after @p timeout.
    bool waitUntilReady(Duration timeout);

    /// Prepares the data folder of a VM that never lived before.
    void initializeVm(const std::string &name) const;

    /// Starts a VM that was stopped or killed.
    void startVm(const std::string &name);
    void startUpstream(const std::string &name);

    ChildProcess &vm(const std::string &name);
    ChildProcess &upstream(const std::string &name);

    Endpoint callers(const std::string &vm) const;
    Endpoint control(const std::string &vm) const;
    Endpoint upstreamEndpoint(const std::string &upstream) const;
    std::string dataFolder(const std::string &vm) const;

    /// Stops every VM gracefully and the upstreams after them. Returns whether every VM exited with 0.
    bool stop();

    /// Reads the records of all fake upstreams.
    StartRecords records() const;

private:
    struct Ports
    {
        Endpoint callers;
        Endpoint control;
        Endpoint peers;
    };

    void writeVmSettings(const DeployedVm &vm) const;
    void writeUpstreamSettings(const DeployedUpstream &upstream) const;
    Endpoint routed(const std::string &from, const std::string &to, const Endpoint &direct) const;
    bool isReady(const DeployedVm &vm) const;
    std::size_t upstreamsIn(const std::string &failureDomain) const;

    DeploymentPlan m_plan;
    std::map<std::string, Ports> m_vmPorts;
    std::map<std::string, Endpoint> m_upstreamPorts;
    std::map<std::string, std::unique_ptr<ChildProcess>> m_processes;
};

/// A loopback address of this process alone, with a port that nothing listens on at the moment.
Endpoint freeEndpoint();

/// Sends one request and waits for its end.
ClientResponse call(const Endpoint &endpoint, const ClientRequest &request);

} // namespace Citronpitch
