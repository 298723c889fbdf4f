#pragma once

#include "citronpitch/configurationchange.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace Citronpitch {

/// Identity of the first life of a founding voter's disk; every later life has a random one.
constexpr std::uint64_t initialStorageId = 0;

/// A voter: one life of the disk of one entry VM.
struct Voter
{
    std::string name;
    std::uint64_t storageId = initialStorageId;

    auto operator<=>(const Voter &) const = default;
};

/// What an entry of the log holds.
enum class LogEntryKind {
    /// Nothing; a new leader commits it to learn what is committed.
    NoOp,
    /// The declarations before the first change.
    Initial,
    Change,
    /// The voters from this entry on.
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
 * @brief The entries after the last snapshot, and which voters hold at their end.
 *
 * Used by ConfigurationNode. Indexes start at 1; index 0 with term 0 stands before the first entry.
 */
class ConfigurationLog
{
public:
    /// An empty log under the founding voters.
    explicit ConfigurationLog(const std::vector<Voter> &initialVoters);

    std::uint64_t lastIndex() const;
    std::uint64_t lastTerm() const;
    std::uint64_t snapshotIndex() const;
    std::uint64_t snapshotTerm() const;

    /// Term of the entry at @p index; nothing where it is compacted away or not there yet.
    std::optional<std::uint64_t> termAt(std::uint64_t index) const;

    /// Entry at @p index, which must be after the snapshot and not after the end.
    const LogEntry &at(std::uint64_t index) const;

    /// Adds @p entry, whose index must be the next one.
    void append(const LogEntry &entry);

    /// Removes the entries from @p index on.
    void truncateFrom(std::uint64_t index);

    /// Forgets the entries up to @p index, which a snapshot covers.
    void compactTo(std::uint64_t index);

    /// Starts over after a snapshot that ends with @p index of @p term under @p voters.
    void reset(std::uint64_t index, std::uint64_t term, const std::vector<Voter> &voters);

    /// Voters at the end of the log, committed or not.
    const std::vector<Voter> &voters() const;

    /// Voters at @p index, which must not be before the snapshot.
    const std::vector<Voter> &votersAt(std::uint64_t index) const;

    /// Index of the entry that set the current voters; at most the snapshot's where it is compacted away.
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
