#pragma once

#include "citronpitch/configuration.h"
#include "citronpitch/nametable.h"

#include <array>
#include <string>
#include <vector>

namespace Citronpitch {

/// What a change of the configuration does.
enum class ChangeKind {
    /// Adds a class, or takes a retired one back into service.
    CreateClass,
    /// Makes the target of a class stricter.
    RaiseTarget,
    /// Makes the target of a class less strict.
    LowerTarget,
    /// The class takes no new jobs.
    RetireClass,
    /// Adds a team or changes its quota.
    SetTeam,
    RemoveTeam,
    /// Replaces every declaration at once; a class that is not listed is retired.
    Apply,
    /// Replaces the declared document where its version is higher than the one in force.
    ReplaceDocument,
    /// Gives a group to another holder under a new fencing token; made by leaders, not by operators.
    SetHolder,
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
};

/// One change that an operator asks for. All kinds but Apply, Replace and SetHolder use exactly one class or
/// one team.
struct ConfigurationChange
{
    /// Chosen by the operator, unique to the change; the same when the change is resent.
    std::string id;
    std::string author;
    /// Version that the operator had seen; the change is accepted only while it is the newest.
    std::uint64_t basedOn = 0;
    ChangeKind kind = ChangeKind::Apply;
    std::vector<ClassDeclaration> classes;
    std::vector<TeamDeclaration> teams;
    /// When the entry VM took it from the operator.
    TimePoint proposedAt;
    /// Set for Replace.
    DeclaredDocument document;
    /// Set for SetHolder; its fence is the one that it replaces, zero for a group without a holder.
    GroupHolder holder;
};

/// How a change ended.
enum class ChangeOutcome {
    Accepted,
    /// Another change had been accepted since the version it was based on.
    Superseded,
    /// It does not fit the declarations in force.
    Invalid,
    /// Its id was used by a change with another content.
    IdConflict,
    /// No leader was known, and it was passed to none: it is not accepted.
    NoLeader,
    /// It was passed to a leader and nothing came back in time; resending it with the same id is safe.
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
    /// Accepted: the version that the change made. Otherwise the version in force when it was decided.
    std::uint64_t version = 0;
    /// Superseded: the change that won, where the history still holds it.
    std::string winnerId;
    std::string winnerAuthor;
    std::string detail;
    /// Hash of the content, to tell a resent change from another one under the same id.
    std::uint64_t contentHash = 0;

    bool operator==(const ChangeAnswer &) const = default;
};

/// One accepted change, as operators see it later.
struct ChangeHistoryEntry
{
    std::uint64_t version = 0;
    std::string id;
    std::string author;
    TimePoint acceptedAt;
    ChangeKind kind = ChangeKind::Apply;
    /// Name of the class or team; empty for Apply.
    std::string subject;

    bool operator==(const ChangeHistoryEntry &) const = default;
};

/// Hash of everything in @p change that makes it the same change when resent.
std::uint64_t contentHashOf(const ConfigurationChange &change);

} // namespace Citronpitch
