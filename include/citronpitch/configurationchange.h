#pragma once

#include "citronpitch/configuration.h"
#include "citronpitch/nametable.h"

#include <array>
#include <string>
#include <vector>

namespace Citronpitch {

/// Kind of a change of the configuration.
enum class ChangeKind {
    /// Adds a class or reactivates a retired one.
    CreateClass,
    /// Makes the target of a class stricter.
    RaiseTarget,
    /// Makes the target of a class less strict.
    LowerTarget,
    /// Makes a class accept no new jobs.
    RetireClass,
    /// Adds a team or changes its quota.
    SetTeam,
    RemoveTeam,
    /// Replaces all classes and teams; a class that is not listed is retired.
    Apply,
    /// Replaces the declared document if the version is higher than the active one.
    ReplaceDocument,
    /// Assigns a group to another holder under a new fencing token; proposed by leaders, not by operators.
    SetHolder,
    /// Starts nothing more on the upstreams of a failure domain.
    EvacuateDomain,
    /// Ends the evacuation of a failure domain.
    RestoreDomain,
    /// Divides the upstreams of a failure domain into another number of groups and removes the holders of its
    /// previous groups; proposed by leaders, not by operators.
    SetPartition,
};

inline constexpr std::array changeKindNames{
    EnumName<ChangeKind>{ChangeKind::CreateClass, "createClass"},
    EnumName<ChangeKind>{ChangeKind::RaiseTarget, "raiseTarget"},
    EnumName<ChangeKind>{ChangeKind::LowerTarget, "lowerTarget"},
    EnumName<ChangeKind>{ChangeKind::RetireClass, "retireClass"},
    EnumName<ChangeKind>{ChangeKind::SetTeam, "setTeam"},
    EnumName<ChangeKind>{ChangeKind::RemoveTeam, "removeTeam"},
    EnumName<ChangeKind>{ChangeKind::Apply, "apply"},
    EnumName<ChangeKind>{ChangeKind::ReplaceDocument, "replace"},
    EnumName<ChangeKind>{ChangeKind::SetHolder, "setHolder"},
    EnumName<ChangeKind>{ChangeKind::EvacuateDomain, "evacuateDomain"},
    EnumName<ChangeKind>{ChangeKind::RestoreDomain, "restoreDomain"},
    EnumName<ChangeKind>{ChangeKind::SetPartition, "setPartition"},
};

/// A proposed change. CreateClass, RaiseTarget, LowerTarget and RetireClass use exactly one class, SetTeam
/// and RemoveTeam exactly one team.
struct ConfigurationChange
{
    /// Chosen by the operator, unique to the change; a resent change keeps it.
    std::string id;
    std::string author;
    /// Version that the change was made on; the change is accepted only while it is the newest one. Not used
    /// for ReplaceDocument, SetHolder and SetPartition. EvacuateDomain and RestoreDomain: the change is
    /// accepted only if no later version has evacuated or restored the domain; zero: it is always accepted.
    std::uint64_t basedOn = 0;
    ChangeKind kind = ChangeKind::Apply;
    std::vector<ClassDeclaration> classes;
    std::vector<TeamDeclaration> teams;
    /// When the entry VM received it from the operator.
    TimePoint proposedAt;
    /// Set for ReplaceDocument.
    DeclaredDocument document;
    /// Set for SetHolder; its fence is the token to be replaced, zero for a group without a holder.
    GroupHolder holder;
    /// Set for EvacuateDomain and RestoreDomain.
    std::string domain;
    /// Set for SetPartition.
    DomainPartition partition;
};

/// Result of a change.
enum class ChangeOutcome {
    Accepted,
    /// Another change was accepted since the version it is based on. ReplaceDocument: the active document has
    /// the same version and different content. SetHolder: the group has another fencing token, or its domain
    /// is divided into other groups. EvacuateDomain and RestoreDomain: the domain was evacuated or restored
    /// since that version.
    Superseded,
    /// It conflicts with the active declarations.
    Invalid,
    /// Its ID was used by a change with different content.
    IdConflict,
    /// No leader was known, and the change was forwarded to none: it is not accepted.
    NoLeader,
    /// It was forwarded to a leader that did not answer in time; resending it with the same ID is safe.
    Unknown,
};

inline constexpr std::array changeOutcomeNames{
    EnumName<ChangeOutcome>{ChangeOutcome::Accepted, "accepted"},
    EnumName<ChangeOutcome>{ChangeOutcome::Superseded, "superseded"},
    EnumName<ChangeOutcome>{ChangeOutcome::Invalid, "invalid"},
    EnumName<ChangeOutcome>{ChangeOutcome::IdConflict, "idConflict"},
    EnumName<ChangeOutcome>{ChangeOutcome::NoLeader, "noLeader"},
    EnumName<ChangeOutcome>{ChangeOutcome::Unknown, "unknown"},
};

/// Answer to a change.
struct ChangeAnswer
{
    std::string id;
    ChangeOutcome outcome = ChangeOutcome::Unknown;
    /// Accepted: the version that the change created. Otherwise the active version at the decision.
    std::uint64_t version = 0;
    /// Superseded: the accepted change, if the history still contains it.
    std::string winnerId;
    std::string winnerAuthor;
    std::string detail;
    /// Hash of the content, which tells a resent change from a different one with the same ID.
    std::uint64_t contentHash = 0;

    bool operator==(const ChangeAnswer &) const = default;
};

/// One accepted change in the history.
struct ChangeHistoryEntry
{
    std::uint64_t version = 0;
    std::string id;
    std::string author;
    /// Time at which the entry VM received the accepted change from the operator.
    TimePoint acceptedAt;
    ChangeKind kind = ChangeKind::Apply;
    /// Name of the class, team or failure domain, or version of the document; empty for Apply.
    std::string subject;

    bool operator==(const ChangeHistoryEntry &) const = default;
};

/// Whether a change of kind @p kind evacuates or restores a failure domain.
bool isDomainChange(ChangeKind kind);

/// Hash of the content of @p change without its ID and time; the same for a resent change.
std::uint64_t contentHashOf(const ConfigurationChange &change);

} // namespace Citronpitch
