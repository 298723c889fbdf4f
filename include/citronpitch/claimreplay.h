#pragma once

#include "citronpitch/claimtable.h"
#include "citronpitch/job.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Citronpitch {

/// How much of the claim journal of previous incarnations is still available.
enum class JournalCompleteness {
    /// All records are available, or this is the first incarnation.
    Whole,
    /// All synced records are available; unsynced ones may be missing.
    TailMayBeLost,
    /// No records are available, and there may have been previous incarnations.
    Lost,
};

inline constexpr std::array journalCompletenessNames{
    EnumName<JournalCompleteness>{JournalCompleteness::Whole, "whole"},
    EnumName<JournalCompleteness>{JournalCompleteness::TailMayBeLost, "tail-may-be-lost"},
    EnumName<JournalCompleteness>{JournalCompleteness::Lost, "lost"},
};

/// Contents of the claim journal at the start of an incarnation.
struct ClaimRecovery
{
    JournalCompleteness completeness = JournalCompleteness::Lost;
    /// Serialized ClaimJournalRecord messages in the order of writing.
    std::vector<std::string> records;
};

/// State of one claim after replay.
struct ReplayedClaim
{
    Submission submission;
    /// Tasks whose start messages may have been sent.
    std::set<std::uint32_t> startedTasks;
    std::optional<Answer> answer;
    TimePoint answeredAt;
};

/// State reconstructed from the records of a claim journal.
struct ClaimReplay
{
    std::map<ClaimKey, ReplayedClaim> claims;
    std::vector<ExpiredKeys> expiredKeys;
    ClaimCutoffs cutoffs;
    std::uint64_t lastIncarnation = 0;
    std::string lastBootId;
    /// Number of records that could not be parsed or refer to an unknown claim; each may concern any key.
    std::size_t malformedRecords = 0;
};

/// Replays @p records in order; malformed ones are counted and skipped.
ClaimReplay replayClaims(const std::vector<std::string> &records);

} // namespace Citronpitch
