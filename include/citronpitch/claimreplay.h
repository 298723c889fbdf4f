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

/// What a home can say of the claims of its earlier lives.
enum class JournalCompleteness {
    /// Every record that was ever written is there; or this is the first life.
    Whole,
    /// The synced records are there; later ones may be missing.
    TailMayBeLost,
    /// Nothing is there, and there may have been earlier lives.
    Lost,
};

inline constexpr std::array journalCompletenessNames{
    EnumName<JournalCompleteness>{JournalCompleteness::Whole, "whole"},
    EnumName<JournalCompleteness>{JournalCompleteness::TailMayBeLost, "tail-may-be-lost"},
    EnumName<JournalCompleteness>{JournalCompleteness::Lost, "lost"},
};

/// What the claim store hands over when a life starts.
struct ClaimRecovery
{
    JournalCompleteness completeness = JournalCompleteness::Lost;
    /// Serialized ClaimJournalRecord messages, in the order in which they were written.
    std::vector<std::string> records;
};

/// One claim as the journal tells of it.
struct ReplayedClaim
{
    Submission submission;
    /// Tasks whose start messages may have been sent.
    std::set<std::uint32_t> startedTasks;
    std::optional<Answer> answer;
    TimePoint answeredAt;
};

/// State that the records of a journal add up to.
struct ClaimReplay
{
    std::map<ClaimKey, ReplayedClaim> claims;
    std::vector<ExpiredKeys> expiredKeys;
    ClaimFloors floors;
    std::uint64_t lastIncarnation = 0;
    std::string lastBootId;
    /// Records that could not be read; each may stand for any key.
    std::size_t malformedRecords = 0;
};

/// Adds up @p records. A record that can't be read is counted and skipped.
ClaimReplay replayClaims(const std::vector<std::string> &records);

} // namespace Citronpitch
