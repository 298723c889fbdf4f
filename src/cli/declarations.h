#pragma once

#include "citronpitch/configuration.h"
#include "cli/clierror.h"

#include <nlohmann/json.hpp>

#include <array>
#include <string>
#include <vector>

namespace Citronpitch {

/// How a class, team or failure domain differs between two sets of declarations.
enum class DifferenceKind {
    CreateClass,
    RaiseTarget,
    LowerTarget,
    ChangeTarget,
    RetireClass,
    AddTeam,
    ChangeQuota,
    RemoveTeam,
    EvacuateDomain,
    RestoreDomain,
};

inline constexpr std::array differenceKindNames{
    EnumName<DifferenceKind>{DifferenceKind::CreateClass, "create class"},
    EnumName<DifferenceKind>{DifferenceKind::RaiseTarget, "raise target of class"},
    EnumName<DifferenceKind>{DifferenceKind::LowerTarget, "lower target of class"},
    EnumName<DifferenceKind>{DifferenceKind::ChangeTarget, "change target of class"},
    EnumName<DifferenceKind>{DifferenceKind::RetireClass, "retire class"},
    EnumName<DifferenceKind>{DifferenceKind::AddTeam, "add team"},
    EnumName<DifferenceKind>{DifferenceKind::ChangeQuota, "change quota of team"},
    EnumName<DifferenceKind>{DifferenceKind::RemoveTeam, "remove team"},
    EnumName<DifferenceKind>{DifferenceKind::EvacuateDomain, "evacuate domain"},
    EnumName<DifferenceKind>{DifferenceKind::RestoreDomain, "restore domain"},
};

/// One difference between what is in force and what is wanted.
struct Difference
{
    DifferenceKind kind = DifferenceKind::CreateClass;
    /// Name of the class, team or failure domain.
    std::string subject;
    /// What is in force, for a person; empty where nothing is.
    std::string before;
    /// What is wanted, for a person; empty where nothing is.
    std::string after;

    /// The difference as one line for a person.
    std::string text() const;
};

/// What has to change in @p inForce to get the declarations of @p wanted; a class not wanted is retired.
std::vector<Difference> differences(const Configuration &inForce, const Configuration &wanted);

/// Reads a file of declarations, JSON with comments; fails with every error in it at once.
boost::leaf::result<Configuration> readDeclarations(const std::string &path);

/// Reads the body of GET /v1/configuration.
Configuration configurationOf(const nlohmann::json &body);

/// @p declaration as the operators' interface takes it.
nlohmann::json toJson(const ClassDeclaration &declaration);
nlohmann::json toJson(const TeamDeclaration &declaration);

/// Target of @p declaration, for a person.
std::string targetText(const ClassDeclaration &declaration);

} // namespace Citronpitch
