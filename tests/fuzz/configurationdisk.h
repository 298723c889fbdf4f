#pragma once

#include "support/powerloss.h"

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace Citronpitch {

/// Faults of a journal that tests inject to show that the fuzzer detects them.
struct JournalTestFaults
{
    /// Takes a gap among the writes that were not synced for damage, as format version 1 did.
    bool rejectsGaps = false;
    /// Appends behind a gap instead of replacing the content by the records before it.
    bool keepsGaps = false;
    /// Counts records that it finds as synced without storing them.
    bool trustsFoundRecords = false;
};

/**
 * @brief Simulates the journal of a VM byte by byte, on a disk that keeps what was synced.
 *
 * The content is written as Journal writes it. A power loss keeps, loses or tears each write after the last
 * sync by itself; the end of the process changes nothing.
 */
class ConfigurationDisk
{
public:
    /// Writes @p record without a sync.
    void append(const std::string &record);
    /// Replaces the whole content at once and durably.
    void replace(const std::vector<std::string> &records);
    /// Syncs what was written, and writes a mark of it.
    void sync();

    void losePower(std::mt19937_64 &random);
    void wipe();

    /// Reads the records at a start and stores them, as Journal::open(); empty if the content is damaged.
    std::optional<std::vector<std::string>> open(const JournalTestFaults &faults);

private:
    void write(std::string bytes);

    std::string m_content;
    /// What a power loss can't change.
    std::string m_synced;
    /// Writes that were not synced.
    std::vector<DiskWrite> m_writes;
    /// Whether a power loss has left something of a write behind one that was not kept.
    bool m_hasGap = false;
    std::uint64_t m_syncedEnd = 0;
    /// Newest statement in the content of what was synced.
    std::uint64_t m_markedEnd = 0;
};

} // namespace Citronpitch
