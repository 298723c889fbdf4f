#pragma once

#include "citronpitch/configuration.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Citronpitch {

/// A queue of jobs: where callers reach it, which pool runs it, and its target.
struct QueueDeclaration
{
    /// Also the name of the class of its jobs.
    std::string name;
    std::string host;
    std::string pathPrefix;
    std::string pool;
    /// How long a caller is kept waiting that does not say how long it waits; above zero.
    Duration timeout{};
    /// Response time that meets the target, besides the time that the work itself takes.
    Duration targetTime{};
    /// Part of the target that grows with the job: thousandths of the time that it takes alone.
    std::uint32_t targetStretch = 0;
    /// Zero is served first.
    std::uint32_t priority = 0;
    /// Runs of one task that may fail before its job does.
    std::uint32_t maximumAttempts = 1;
};

/// A pool of upstreams that run the same work.
struct PoolDeclaration
{
    std::string name;
    /// Whether the upstreams themselves refuse work that does not fit.
    bool refusesOverload = true;
    /// Connections that one upstream takes; zero: not limited.
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

/// Everything that one declared document says.
struct WorkDeclaration
{
    std::uint64_t version = 0;
    std::vector<QueueDeclaration> queues;
    std::vector<PoolDeclaration> pools;
    RequestLimits limits;

    /// Queue of @p host with the longest prefix of @p path, or null.
    const QueueDeclaration *findQueue(std::string_view host, std::string_view path) const;
};

/// What @p declaration is refused for; empty where it is valid.
std::string checkDeclaration(const WorkDeclaration &declaration);

/// The classes of work that @p declaration makes.
std::vector<ClassDeclaration> classesOf(const WorkDeclaration &declaration);

} // namespace Citronpitch
