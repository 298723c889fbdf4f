#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Citronpitch {

/// Version of the file format, stored in the file header.
constexpr std::uint32_t journalFormatVersion = 2;

/// Version without marks of what was synced; it can be read, but is not written any more.
constexpr std::uint32_t unmarkedJournalFormatVersion = 1;

/// Maximum size of a record in bytes.
constexpr std::size_t maximumRecordBytes = std::size_t{64} << 20;

inline constexpr std::string_view journalMagic = "CPJRNL";

/// Size of the file header.
constexpr std::size_t journalHeaderBytes = journalMagic.size() + sizeof journalFormatVersion;

/// The file header: the magic bytes and the format version.
std::string encodeJournalHeader();

/**
 * Encodes @p record for a journal of version @ref journalFormatVersion.
 *
 * A record is valid only at @p offset of the file, at which it is written. @p syncedEnd is the offset up to
 * which the file was synced before.
 */
std::string encodeRecord(std::string_view record, std::uint64_t offset, std::uint64_t syncedEnd);

/// Encodes a mark: a record without content, which only states @p syncedEnd.
std::string encodeSyncMark(std::uint64_t offset, std::uint64_t syncedEnd);

/// The intact records of a journal.
struct JournalScan
{
    std::uint32_t version = journalFormatVersion;
    std::vector<std::string> records;
    /// Offset of the end of the last intact record or mark.
    std::uint64_t end = journalHeaderBytes;
    /// Offset of the end of the last intact record.
    std::uint64_t recordsEnd = journalHeaderBytes;
    /// Offset up to which the file is known to have been synced; may exceed @ref end.
    std::uint64_t syncedEnd = journalHeaderBytes;

    /// Whether content was lost that had been synced. Otherwise all of it is in @ref records.
    bool isDamaged() const
    {
        return syncedEnd > end;
    }
};

/// Reads the records of @p content, a file of version @ref journalFormatVersion.
JournalScan scanJournal(std::string_view content);

/**
 * Reads the records of @p content, a file of version @ref unmarkedJournalFormatVersion.
 *
 * Such a file doesn't show what was synced: a damaged record counts as damage, unless it is the last one or
 * only zeros follow.
 */
JournalScan scanUnmarkedJournal(std::string_view content);

} // namespace Citronpitch
