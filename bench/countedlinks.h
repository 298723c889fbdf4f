#pragma once

#include "support/faultproxy.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Citronpitch {

/// Says whether a link between two VMs is counted.
using LinkFilter = std::function<bool(const std::string &from, const std::string &to)>;

/**
 * @brief Counts the bytes on links between the VMs of a deployment by putting a proxy into each. Used as the
 * route of a DeploymentPlan.
 */
class CountedLinks
{
public:
    explicit CountedLinks(LinkFilter filter);

    Endpoint route(const std::string &from, const std::string &to, const Endpoint &direct);

    /// Bytes on all counted links so far, both ways.
    double bytes() const;

private:
    LinkFilter m_filter;
    std::vector<std::unique_ptr<FaultProxy>> m_proxies;
};

} // namespace Citronpitch
