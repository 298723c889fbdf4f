#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
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

/// Size of the file header of version @ref unmarkedJournalFormatVersion: the magic bytes and the version.
constexpr std::size_t unmarkedJournalHeaderBytes = journalMagic.size() + sizeof journalFormatVersion;

/// Size of the file header: the magic bytes, the version, the salt and the checksum of all three.
constexpr std::size_t journalHeaderBytes = unmarkedJournalHeaderBytes + 2 * sizeof(std::uint64_t);

/**
 * The file header.
 *
 * @p salt is a random number of the file, which the checksums of its records contain: bytes that a caller or
 * another journal put into a record are not taken for a record or a mark of this file.
 */
std::string encodeJournalHeader(std::uint64_t salt);

/**
 * Encodes @p record for a journal of version @ref journalFormatVersion.
 *
 * A record is valid only at @p offset of the file, at which it is written. @p syncedEnd is the offset up to
 * which the file was synced before. @p salt is that of the file header.
 */
std::string encodeRecord(std::string_view record, std::uint64_t offset, std::uint64_t syncedEnd,
                         std::uint64_t salt);

/// Encodes a mark: a record without content, which only states @p syncedEnd.
std::string encodeSyncMark(std::uint64_t offset, std::uint64_t syncedEnd, std::uint64_t salt);

/// Calls @p write with the parts of a whole journal of @p records, which states that all of it is synced.
/// Returns false as soon as @p write does.
bool encodeJournal(const std::vector<std::string> &records, std::uint64_t salt,
                   const std::function<bool(std::string_view part)> &write);

/// The intact records of a journal.
struct JournalScan
{
    std::uint32_t version = journalFormatVersion;
    std::uint64_t salt = 0;
    std::vector<std::string> records;
    /// Offset of the end of the last intact record or mark.
    std::uint64_t end = journalHeaderBytes;
    /// Offset of the end of the last intact record.
    std::uint64_t recordsEnd = journalHeaderBytes;
    /// Offset up to which the file is known to have been synced; may exceed @ref end.
    std::uint64_t syncedEnd = journalHeaderBytes;

    /// Size of the content behind @ref end.
    std::uint64_t droppedBytes = 0;

    /// Whether the file states that all of it is on the disk; else it has to be replaced by the records.
    bool isStored() const
    {
        return version == journalFormatVersion && syncedEnd >= recordsEnd && droppedBytes == 0;
    }

    /// Whether content was lost that had been synced. Otherwise all of it is in @ref records.
    bool isDamaged() const
    {
        return syncedEnd > end;
    }
};

/**
 * Reads the records of @p content, a file of version @ref journalFormatVersion.
 *
 * A file gets its name only once its header is synced, so that a header that is not intact counts as damage.
 */
JournalScan scanJournal(std::string_view content);

/**
 * Reads the records of @p content, a file of version @ref unmarkedJournalFormatVersion.
 *
 * Such a file doesn't show what was synced: a damaged record counts as damage, unless it is the last one or
 * only zeros follow.
 */
JournalScan scanUnmarkedJournal(std::string_view content);

} // namespace Citronpitch
