#pragma once

#include "citronpitch/timepoint.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Citronpitch {

/// A class of work and its declared service level.
struct ClassDeclaration
{
    std::string name;
    /// Share of jobs that must be answered within @ref targetTime, in parts per million.
    std::uint32_t targetShare = 0;
    /// Longest response time that meets the target, before @ref targetStretch is added.
    Duration targetTime{};
    /// A retired class accepts no new jobs; jobs in flight finish.
    bool retired = false;
    /// Time added to @ref targetTime, in thousandths of the unloaded time of the job.
    std::uint32_t targetStretch = 0;
    /// Zero is the highest priority; decides between classes whose target has a stretch, under contention.
    std::uint32_t priority = 0;

    bool operator==(const ClassDeclaration &) const = default;
};

/// A team of callers and its quota.
struct TeamDeclaration
{
    std::string name;
    /// Guaranteed number of tasks in flight; the team may exceed it while other teams leave theirs unused.
    std::uint32_t quotaTasks = 0;

    bool operator==(const TeamDeclaration &) const = default;
};

/// A document of declarations that is replaced as a whole; the highest version wins.
struct DeclaredDocument
{
    /// Chosen by the operator; zero before the first document.
    std::uint64_t version = 0;
    std::string text;

    bool operator==(const DeclaredDocument &) const = default;
};

/// The VM that dispatches to the upstreams of a group, and its fencing token.
struct GroupHolder
{
    std::string group;
    std::string vm;
    std::uint64_t incarnation = 0;
    /// Increases with each assignment of any group; never given to two holders.
    std::uint64_t fence = 0;

    bool operator==(const GroupHolder &) const = default;
};

/// A failure domain on whose upstreams nothing is started.
struct DomainEvacuation
{
    std::string domain;
    /// Version of the configuration that began the evacuation.
    std::uint64_t since = 0;

    bool operator==(const DomainEvacuation &) const = default;
};

/// The division of the upstreams of a failure domain into groups, see upstreamgroup.h.
struct DomainPartition
{
    std::string domain;
    /// Number of groups; zero once the partition was removed, so that the domain has one group again.
    std::uint32_t groups = 0;

    bool operator==(const DomainPartition &) const = default;
};

/// One accepted version of the declarations of the operators.
struct Configuration
{
    std::uint64_t version = 0;
    std::vector<ClassDeclaration> classes;
    std::vector<TeamDeclaration> teams;
    DeclaredDocument document;
    /// At most one for each group.
    std::vector<GroupHolder> holders;
    /// At most one for each failure domain, in the order in which they began.
    std::vector<DomainEvacuation> evacuations;
    /// At most one for each failure domain; none for a domain that was never partitioned.
    std::vector<DomainPartition> partitions;

    /// Evacuation of @p domain, or null if it is not evacuated.
    const DomainEvacuation *findEvacuation(std::string_view domain) const;

    /// Holder of @p group, or null if it has none yet.
    const GroupHolder *findHolder(std::string_view group) const;

    /// Declaration of class @p name, or null if there is none.
    const ClassDeclaration *findClass(std::string_view name) const;
    /// Declaration of team @p name, or null if there is none.
    const TeamDeclaration *findTeam(std::string_view name) const;

    bool operator==(const Configuration &) const = default;
};

/// Whether @p group, which is named after its failure domain or "DOMAIN/...", belongs to one of the domains
/// of
/// @p evacuations.
bool isGroupEvacuated(std::string_view group, const std::vector<DomainEvacuation> &evacuations);

} // namespace Citronpitch
