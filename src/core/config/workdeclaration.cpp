#include "citronpitch/workdeclaration.h"

#include <algorithm>
#include <set>
#include <utility>

namespace Citronpitch {

namespace {

/// Share of jobs that must meet the target of a queue, in parts per million.
constexpr std::uint32_t queueTargetShare = 990'000;

} // namespace

const QueueDeclaration *WorkDeclaration::findQueue(std::string_view host, std::string_view path) const
{
    const QueueDeclaration *best = nullptr;
    for (const auto &it : queues) {
        const bool isMatch = it.host == host && path.starts_with(it.pathPrefix);
        if (isMatch && (best == nullptr || it.pathPrefix.size() > best->pathPrefix.size()))
            best = &it;
    }
    return best;
}

bool WorkDeclaration::hasPool(std::string_view name) const
{
    return std::any_of(pools.begin(), pools.end(), [&](const auto &it) { return it.name == name; });
}

std::string checkDeclaration(const WorkDeclaration &declaration)
{
    if (declaration.version == 0)
        return "the version must be above zero";
    std::set<std::string_view> pools;
    for (const auto &it : declaration.pools) {
        if (it.name.empty() || !pools.insert(it.name).second)
            return "pool \"" + it.name + "\": the name is empty or used twice";
    }
    std::set<std::pair<std::string_view, std::string_view>> routes;
    std::set<std::string_view> names;
    for (const auto &it : declaration.queues) {
        const auto queueLabel = "queue \"" + it.name + "\": ";
        if (it.name.empty() || !names.insert(it.name).second)
            return queueLabel + "the name is empty or used twice";
        if (it.host.empty() || !it.pathPrefix.starts_with('/'))
            return queueLabel + "the host or the path prefix is missing";
        if (!pools.contains(it.pool))
            return queueLabel + "no pool is named \"" + it.pool + "\"";
        if (!routes.emplace(it.host, it.pathPrefix).second)
            return queueLabel + "another queue has the same host and path prefix";
        if (it.timeout <= Duration::zero())
            return queueLabel + "the timeout must be above zero";
    }
    return {};
}

std::vector<ClassDeclaration> classesOf(const WorkDeclaration &declaration)
{
    std::vector<ClassDeclaration> classes;
    for (const auto &it : declaration.queues) {
        ClassDeclaration of;
        of.name = it.name;
        of.targetShare = queueTargetShare;
        of.targetTime = it.targetTime;
        of.targetStretch = it.targetStretch;
        of.priority = it.priority;
        classes.push_back(std::move(of));
    }
    return classes;
}

} // namespace Citronpitch
