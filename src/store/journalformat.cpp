#include "store/journalformat.h"

#include <xxhash.h>

#include <algorithm>
#include <cstring>
#include <optional>

namespace Citronpitch {

namespace {

enum class RecordKind : std::uint32_t { Content, SyncMark };

/// Header of a record or a mark. Its integers have the byte order of the machine.
struct RecordHeader
{
    std::uint32_t length = 0;
    RecordKind kind = RecordKind::Content;
    std::uint64_t syncedEnd = 0;
    std::uint64_t contentChecksum = 0;
    /// Covers the members before it and the offset of the record.
    std::uint64_t headerChecksum = 0;
};
static_assert(sizeof(RecordHeader) == 32, "the header is part of the file format");

/// Header of a record of version unmarkedJournalFormatVersion.
struct UnmarkedRecordHeader
{
    std::uint32_t length = 0;
    std::uint32_t lengthCheck = 0;
    std::uint64_t checksum = 0;
};

std::uint64_t headerChecksumOf(const RecordHeader &header, std::uint64_t offset)
{
    return XXH3_64bits_withSeed(&header, offsetof(RecordHeader, headerChecksum), offset);
}

std::string encode(RecordKind kind, std::string_view record, std::uint64_t offset, std::uint64_t syncedEnd)
{
    RecordHeader header;
    header.length = static_cast<std::uint32_t>(record.size());
    header.kind = kind;
    header.syncedEnd = syncedEnd;
    header.contentChecksum = XXH3_64bits(record.data(), record.size());
    header.headerChecksum = headerChecksumOf(header, offset);
    std::string bytes(sizeof header, '\0');
    std::memcpy(bytes.data(), &header, sizeof header);
    return bytes.append(record);
}

/// The header at @p offset; empty if there is no intact one.
std::optional<RecordHeader> headerAt(std::string_view content, std::uint64_t offset)
{
    if (offset + sizeof(RecordHeader) > content.size())
        return {};
    RecordHeader header;
    std::memcpy(&header, content.data() + offset, sizeof header);
    if (header.syncedEnd > offset || header.headerChecksum != headerChecksumOf(header, offset))
        return {};
    return header;
}

/// Newest statement in the headers from @p offset on, which need not follow each other, of what was synced.
std::uint64_t findSyncedEnd(std::string_view content, std::uint64_t offset)
{
    std::uint64_t syncedEnd = 0;
    for (auto it = offset; it + sizeof(RecordHeader) <= content.size(); ++it) {
        if (const auto header = headerAt(content, it))
            syncedEnd = std::max(syncedEnd, header->syncedEnd);
    }
    return syncedEnd;
}

/// Whether only zeros follow, as after a power loss between growing the file and writing its data.
bool isZeroFilledFrom(std::string_view content, std::uint64_t offset)
{
    return content.find_first_not_of('\0', offset) == std::string_view::npos;
}

} // namespace

std::string encodeJournalHeader()
{
    std::string bytes(journalMagic);
    bytes.append(reinterpret_cast<const char *>(&journalFormatVersion), sizeof journalFormatVersion);
    return bytes;
}

std::string encodeRecord(std::string_view record, std::uint64_t offset, std::uint64_t syncedEnd)
{
    return encode(RecordKind::Content, record, offset, syncedEnd);
}

std::string encodeSyncMark(std::uint64_t offset, std::uint64_t syncedEnd)
{
    return encode(RecordKind::SyncMark, {}, offset, syncedEnd);
}

JournalScan scanJournal(std::string_view content)
{
    JournalScan scan;
    while (const auto header = headerAt(content, scan.end)) {
        const auto start = scan.end + sizeof(RecordHeader);
        if (header->length > content.size() - start)
            break;
        const auto record = content.substr(start, header->length);
        if (header->contentChecksum != XXH3_64bits(record.data(), record.size()))
            break;
        scan.syncedEnd = std::max(scan.syncedEnd, header->syncedEnd);
        scan.end = start + header->length;
        if (header->kind == RecordKind::Content) {
            scan.records.emplace_back(record);
            scan.recordsEnd = scan.end;
        }
    }
    // Writes after the last sync may be lost in any order. Content behind the gap only shows what was synced.
    scan.syncedEnd = std::max(scan.syncedEnd, findSyncedEnd(content, scan.end));
    return scan;
}

JournalScan scanUnmarkedJournal(std::string_view content)
{
    JournalScan scan;
    scan.version = unmarkedJournalFormatVersion;
    while (scan.end + sizeof(UnmarkedRecordHeader) <= content.size()) {
        UnmarkedRecordHeader header;
        std::memcpy(&header, content.data() + scan.end, sizeof header);
        const auto start = scan.end + sizeof header;
        const auto lengthCheck =
            static_cast<std::uint32_t>(XXH3_64bits(&header.length, sizeof header.length));
        const bool isLengthWhole = header.lengthCheck == lengthCheck;
        if (isLengthWhole && start + header.length > content.size())
            break;
        const bool isWhole =
            isLengthWhole && header.checksum == XXH3_64bits(content.data() + start, header.length);
        const bool isLast = isLengthWhole && start + header.length == content.size();
        const auto next = isLengthWhole ? start + header.length : scan.end;
        if (!isWhole && !isLast && !isZeroFilledFrom(content, next))
            scan.syncedEnd = content.size();
        if (!isWhole)
            break;
        scan.records.emplace_back(content.substr(start, header.length));
        scan.end = start + header.length;
        scan.recordsEnd = scan.end;
    }
    return scan;
}

} // namespace Citronpitch
