#pragma once

#include "support/deployment.h"

#include <string>

namespace Citronpitch {

/// Size of a deployment for measuring slopes.
struct SlopeDeploymentSize
{
    int vms = 1;
    /// VMs are dealt over this many failure domains in turn.
    int domains = 1;
    /// Upstreams, all in the first domain.
    int upstreams = 0;
    std::uint32_t slots = 1000;
};

/// Plan for such a deployment with the class that JobText uses.
DeploymentPlan slopePlan(const std::string &programs, const SlopeDeploymentSize &size);

/// Starts @p deployment; throws std::runtime_error where it does not become ready.
void startReady(Deployment &deployment);

} // namespace Citronpitch
