#pragma once

#include "citronpitch/timepoint.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Citronpitch {

/// A class of work and the target that operators declared for it.
struct ClassDeclaration
{
    std::string name;
    /// Share of jobs, in parts per million, that must be answered within @ref targetTime.
    std::uint32_t targetShare = 0;
    /// Longest response time that meets the target.
    Duration targetTime{};
    /// A retired class takes no new jobs; what is in flight finishes.
    bool retired = false;
    /// Time added to @ref targetTime, in thousandths of the time that the job takes alone.
    std::uint32_t targetStretch = 0;

    bool operator==(const ClassDeclaration &) const = default;
};

/// A team of callers and its quota.
struct TeamDeclaration
{
    std::string name;
    /// Tasks in flight that the team may always have; it may use more while others leave them idle.
    std::uint32_t quotaTasks = 0;

    bool operator==(const TeamDeclaration &) const = default;
};

/// Declarations that replace each other as a whole; the one with the highest version wins.
struct DeclaredDocument
{
    /// Chosen by the operator; zero: none was declared yet.
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
    /// Rises with each holder of any group; never used by two.
    std::uint64_t fence = 0;

    bool operator==(const GroupHolder &) const = default;
};

/// One accepted version of what the operators declared.
struct Configuration
{
    std::uint64_t version = 0;
    std::vector<ClassDeclaration> classes;
    std::vector<TeamDeclaration> teams;
    DeclaredDocument document;
    /// At most one for each group.
    std::vector<GroupHolder> holders;

    /// Holder of @p group, or null where there is none yet.
    const GroupHolder *findHolder(std::string_view group) const;

    /// Declaration of class @p name, or null where there is none.
    const ClassDeclaration *findClass(std::string_view name) const;
    /// Declaration of team @p name, or null where there is none.
    const TeamDeclaration *findTeam(std::string_view name) const;

    bool operator==(const Configuration &) const = default;
};

} // namespace Citronpitch
