#pragma once

#include "citronpitch/configuration.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Citronpitch {

/// A queue of jobs: its route, its pool and its target.
struct QueueDeclaration
{
    /// Also the name of the class of its jobs.
    std::string name;
    std::string host;
    std::string pathPrefix;
    std::string pool;
    /// Client timeout of a request that does not declare one; above zero.
    Duration timeout{};
    /// Response time that meets the target, in addition to @ref targetStretch.
    Duration targetTime{};
    /// Part of the target that grows with the job, in thousandths of its unloaded time.
    std::uint32_t targetStretch = 0;
    /// Zero is the highest priority.
    std::uint32_t priority = 0;
    /// Number of failed runs of one task after which its job fails.
    std::uint32_t maximumAttempts = 1;
    /// Whether a policy that only another service knows restricts the upstreams of its jobs. Such jobs are
    /// not served.
    bool hasPlacementPolicy = false;
};

/// A pool of upstreams that run the same work.
struct PoolDeclaration
{
    std::string name;
    /// Whether the upstreams refuse work beyond their capacity themselves.
    bool refusesOverload = true;
    /// Maximum number of connections to one upstream; zero: unlimited.
    std::uint32_t maximumConnections = 0;
};

/// Limits on callers' requests.
struct RequestLimits
{
    std::uint32_t maximumHeaderBytes = 0;
    std::uint64_t maximumBodyBytes = 0;
    Duration headerTimeout{};
    Duration idleTimeout{};
};

/// Content of a declared document.
struct WorkDeclaration
{
    std::uint64_t version = 0;
    std::vector<QueueDeclaration> queues;
    std::vector<PoolDeclaration> pools;
    RequestLimits limits;

    bool hasPool(std::string_view name) const;

    /// Queue of @p host whose path prefix is the longest that matches @p path, or null.
    const QueueDeclaration *findQueue(std::string_view host, std::string_view path) const;
};

/// Reason why @p declaration is invalid; empty if it is valid.
std::string checkDeclaration(const WorkDeclaration &declaration);

/// The classes of work of the queues in @p declaration.
std::vector<ClassDeclaration> classesOf(const WorkDeclaration &declaration);

} // namespace Citronpitch
