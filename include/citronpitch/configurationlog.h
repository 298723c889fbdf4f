#pragma once

#include "citronpitch/configurationchange.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace Citronpitch {

/// Storage ID of the first disk of an initial voter; a disk that replaces it has a random ID.
constexpr std::uint64_t initialStorageId = 0;

/// A voter: an entry VM with one storage ID. A VM that lost its disk is another voter.
struct Voter
{
    std::string name;
    std::uint64_t storageId = initialStorageId;

    auto operator<=>(const Voter &) const = default;
};

/// Content of a log entry.
enum class LogEntryKind {
    /// No content; a new leader commits it to learn the commit index.
    NoOp,
    /// The declarations before the first change.
    Initial,
    Change,
    /// The set of voters from this entry on.
    Voters,
};

/// One entry of the replicated log.
struct LogEntry
{
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    LogEntryKind kind = LogEntryKind::NoOp;
    /// Set for Initial and Change.
    ConfigurationChange change;
    /// Set for Voters.
    std::vector<Voter> voters;
};

/**
 * @brief Holds the log entries after the last snapshot and the set of voters at each of them.
 *
 * Used by ConfigurationNode. Indexes start at 1; index 0 with term 0 is the position before the first entry.
 */
class ConfigurationLog
{
public:
    /// Creates an empty log with the initial voters.
    explicit ConfigurationLog(const std::vector<Voter> &initialVoters);

    std::uint64_t lastIndex() const;
    std::uint64_t lastTerm() const;
    std::uint64_t snapshotIndex() const;
    std::uint64_t snapshotTerm() const;

    /// Term of the entry at @p index; empty if it is compacted or after the end.
    std::optional<std::uint64_t> termAt(std::uint64_t index) const;

    /// Entry at @p index, which must be after the snapshot and not after the end.
    const LogEntry &at(std::uint64_t index) const;

    /// Adds @p entry, whose index must be the next one.
    void append(const LogEntry &entry);

    /// Removes the entries from @p index on.
    void truncateFrom(std::uint64_t index);

    /// Removes the entries up to @p index, which a snapshot covers.
    void compactTo(std::uint64_t index);

    /// Replaces the log by a snapshot that ends with @p index of @p term and has @p voters.
    void reset(std::uint64_t index, std::uint64_t term, const std::vector<Voter> &voters);

    /// Voters at the end of the log, committed or not.
    const std::vector<Voter> &voters() const;

    /// Voters at @p index, which must not be before the snapshot.
    const std::vector<Voter> &votersAt(std::uint64_t index) const;

    /// Index of the entry that set the current voters; zero if it is compacted or there is none.
    std::uint64_t votersEntryIndex() const;

private:
    std::uint64_t m_snapshotIndex = 0;
    std::uint64_t m_snapshotTerm = 0;
    std::vector<Voter> m_snapshotVoters;
    std::deque<LogEntry> m_entries;
    /// Indexes of the entries of kind Voters, oldest first.
    std::vector<std::uint64_t> m_votersEntryIndexes;
};

} // namespace Citronpitch
