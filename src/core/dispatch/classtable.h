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

/// Declaration and statistics of a class of work.
struct ClassEntry
{
    ClassDeclaration declaration;
    /// Whether the current configuration declares it.
    bool isDeclared = false;
    BurnRate burnRate;
    /// Time from arrival to deadline of the latest job.
    Duration lastTimeToDeadline{};
    UpstreamRanking ranking;
    TimePoint rankedAt;
    /// Estimates have changed since the ranking was built.
    bool isRankingStale = true;
    /// Version of the upstream set that the ranking was built from.
    std::uint64_t rankedSetVersion = 0;

    /// Whether the class is declared, is not retired and has a target time.
    bool hasTarget() const
    {
        return isDeclared && !declaration.retired && declaration.targetTime > Duration();
    }
};

/**
 * @brief Maps names of classes to indexes and keeps their entries; an index is never reused.
 */
class ClassTable
{
public:
    /// Replaces the declarations and returns the classes whose declaration changed.
    std::vector<ClassIndex> setDeclarations(const std::vector<ClassDeclaration> &declarations);

    std::optional<ClassIndex> find(std::string_view name) const;

    /// Returns the index of class @p name, which is added if it is unknown.
    ClassIndex findOrAdd(const std::string &name);

    ClassEntry &at(ClassIndex classIndex);
    const ClassEntry &at(ClassIndex classIndex) const;
    std::size_t size() const;

private:
    std::map<std::string, ClassIndex, std::less<>> m_names;
    std::vector<ClassEntry> m_entries;
};

} // namespace Citronpitch
