#pragma once

#include "citronpitch/configuration.h"
#include "core/dispatch/burnrate.h"
#include "core/dispatch/upstreamranking.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Citronpitch {

/// A class of work: what was declared for it and what was seen of it.
struct ClassEntry
{
    ClassDeclaration declaration;
    /// Whether the configuration still names it.
    bool isDeclared = false;
    BurnRate burnRate;
    /// Time to the deadline of the job that came last.
    Duration lastTimeToDeadline{};
    UpstreamRanking ranking;
    TimePoint rankedAt;
    /// Estimates have changed since the ranking was built.
    bool isRankingStale = true;
    /// Version of the set of upstreams that the ranking was built from.
    std::uint64_t rankedSetVersion = 0;

    /// Whether the class has a target to be met.
    bool hasTarget() const
    {
        return isDeclared && !declaration.retired && declaration.targetTime > Duration();
    }
};

/**
 * @brief The classes of work by name and by number; numbers are never used again.
 *
 * Used by Dispatcher.
 */
class ClassTable
{
public:
    /// Takes over the declarations, and returns the classes whose declaration changed.
    std::vector<ClassIndex> setDeclarations(const std::vector<ClassDeclaration> &declarations);

    std::optional<ClassIndex> find(std::string_view name) const;

    /// Number of class @p name, which is added where it is unknown.
    ClassIndex findOrAdd(const std::string &name);

    ClassEntry &at(ClassIndex classIndex);
    const ClassEntry &at(ClassIndex classIndex) const;
    std::size_t size() const;

private:
    std::map<std::string, ClassIndex, std::less<>> m_names;
    std::vector<ClassEntry> m_entries;
};

} // namespace Citronpitch
