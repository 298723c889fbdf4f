#pragma once

#include "arrivals.h"
#include "support/deployment.h"
#include "support/faultproxy.h"

#include <nlohmann/json_fwd.hpp>

#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace Citronpitch {

/// Sites whose delays the load tool can add.
enum class SiteName { Clydeside, Pasteleria };

inline constexpr std::array siteNames{
    EnumName<SiteName>{SiteName::Clydeside, "clydeside"},
    EnumName<SiteName>{SiteName::Pasteleria, "pasteleria"},
};

/// One-way delays of a site.
struct SiteDelays
{
    Duration betweenDomains{};
    Duration toClients{};
};

SiteDelays delaysOf(SiteName site);

/**
 * @brief The deployment that a load scenario runs against: seven entry VMs and 49 upstreams in four failure
 * domains, with the delays and the cuts between the domains.
 *
 * The delay to clients is added by CallerPool.
 */
class LoadDeployment
{
public:
    LoadDeployment(const std::string &programs, const Scenario &scenario, PolicyName policy, SiteName site);

    /// Starts everything; throws std::runtime_error where it does not become ready.
    void start();

    /// Milliseconds of work that the upstreams do each second.
    double capacity() const;

    /// Slots of all upstreams.
    std::uint32_t slots() const;

    /// Share of the connections that each entry VM gets; those of a domain differ in size.
    std::vector<double> vmWeights() const;

    const std::vector<DeployedVm> &vms() const;

    /// How many times as long the upstream takes; 1 for one that is not known.
    double slownessOf(const std::string &upstream) const;

    /// Least times that a job of @p tasks tasks of @p milliseconds takes alone, without round trips.
    double idealMilliseconds(std::uint32_t tasks, double milliseconds) const;

    /// Cuts failure domain of the last VM off from the others, or ends the cut.
    void setCut(bool isCut);

    /// Kills the first VM.
    void killFirstVm();

    /// Retires the class of larger jobs, as an operator does; returns at once and goes on until it is
    /// accepted.
    void retireBatchClass();

    /// Sum of a counter over the status of the VMs that answer.
    std::uint64_t statusSum(const char *field) const;

    /// Pairs of VMs of which the first does not hear the second, as "A does not hear B".
    std::vector<std::string> silentLinks() const;

    Deployment &deployment();

private:
    Endpoint route(const std::string &from, const std::string &to, const Endpoint &direct);
    bool retireAt(const std::string &vm) const;
    nlohmann::json statusOf(const std::string &vm) const;
    std::string domainOf(const std::string &vm) const;

    struct CrossLink
    {
        std::string from;
        std::string to;
        std::unique_ptr<FaultProxy> proxy;
    };

    DeploymentPlan m_plan;
    SiteDelays m_delays;
    std::vector<CrossLink> m_links;
    std::unique_ptr<Deployment> m_deployment;
    std::jthread m_operator;
};

} // namespace Citronpitch
