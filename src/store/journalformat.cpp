#include "store/journalformat.h"

#include <xxhash.h>

#include <algorithm>
#include <cstring>
#include <optional>

namespace Citronpitch {

namespace {

/// Size from which the records of a whole journal are written.
constexpr std::size_t partBytes = std::size_t{1} << 20;

enum class RecordKind : std::uint32_t { Content, SyncMark };

/// Header of a record or a mark. Its integers have the byte order of the machine.
struct RecordHeader
{
    std::uint32_t length = 0;
    RecordKind kind = RecordKind::Content;
    std::uint64_t syncedEnd = 0;
    std::uint64_t contentChecksum = 0;
    /// Covers the members before it, the offset of the record and the salt of the file.
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

std::uint64_t headerChecksumOf(const RecordHeader &header, std::uint64_t offset, std::uint64_t salt)
{
    return XXH3_64bits_withSeed(&header, offsetof(RecordHeader, headerChecksum), offset ^ salt);
}

std::string encode(RecordKind kind, std::string_view record, std::uint64_t offset, std::uint64_t syncedEnd,
                   std::uint64_t salt)
{
    RecordHeader header;
    header.length = static_cast<std::uint32_t>(record.size());
    header.kind = kind;
    header.syncedEnd = syncedEnd;
    header.contentChecksum = XXH3_64bits(record.data(), record.size());
    header.headerChecksum = headerChecksumOf(header, offset, salt);
    std::string bytes(sizeof header, '\0');
    std::memcpy(bytes.data(), &header, sizeof header);
    return bytes.append(record);
}

/// The header at @p offset; empty if there is no intact one.
std::optional<RecordHeader> headerAt(std::string_view content, std::uint64_t offset, std::uint64_t salt)
{
    if (offset + sizeof(RecordHeader) > content.size())
        return {};
    RecordHeader header;
    std::memcpy(&header, content.data() + offset, sizeof header);
    if (header.syncedEnd > offset || header.headerChecksum != headerChecksumOf(header, offset, salt))
        return {};
    return header;
}

/// Newest statement in the headers from @p offset on, which need not follow each other, of what was synced.
std::uint64_t findSyncedEnd(std::string_view content, std::uint64_t offset, std::uint64_t salt)
{
    std::uint64_t syncedEnd = 0;
    for (auto it = offset; it + sizeof(RecordHeader) <= content.size(); ++it) {
        if (const auto header = headerAt(content, it, salt))
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

std::string encodeJournalHeader(std::uint64_t salt)
{
    std::string bytes(journalMagic);
    const auto add = [&](auto value) { bytes.append(reinterpret_cast<const char *>(&value), sizeof value); };
    add(journalFormatVersion);
    add(salt);
    add(XXH3_64bits(bytes.data(), bytes.size()));
    return bytes;
}

std::string encodeRecord(std::string_view record, std::uint64_t offset, std::uint64_t syncedEnd,
                         std::uint64_t salt)
{
    return encode(RecordKind::Content, record, offset, syncedEnd, salt);
}

std::string encodeSyncMark(std::uint64_t offset, std::uint64_t syncedEnd, std::uint64_t salt)
{
    return encode(RecordKind::SyncMark, {}, offset, syncedEnd, salt);
}

bool encodeJournal(const std::vector<std::string> &records, std::uint64_t salt,
                   const std::function<bool(std::string_view part)> &write)
{
    auto part = encodeJournalHeader(salt);
    std::uint64_t writtenBytes = 0;
    for (const auto &it : records) {
        part += encodeRecord(it, writtenBytes + part.size(), 0, salt);
        if (part.size() < partBytes)
            continue;
        if (!write(part))
            return false;
        writtenBytes += part.size();
        part.clear();
    }
    const auto size = writtenBytes + part.size();
    if (!records.empty())
        part += encodeSyncMark(size, size, salt);
    return write(part);
}

JournalScan scanJournal(std::string_view content)
{
    JournalScan scan;
    if (content.size() >= journalHeaderBytes)
        std::memcpy(&scan.salt, content.data() + unmarkedJournalHeaderBytes, sizeof scan.salt);
    if (!content.starts_with(encodeJournalHeader(scan.salt))) {
        scan.end = 0;
        scan.recordsEnd = 0;
        return scan;
    }
    while (const auto header = headerAt(content, scan.end, scan.salt)) {
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
    scan.syncedEnd = std::max(scan.syncedEnd, findSyncedEnd(content, scan.end, scan.salt));
    scan.droppedBytes = content.size() - scan.end;
    return scan;
}

JournalScan scanUnmarkedJournal(std::string_view content)
{
    JournalScan scan;
    scan.version = unmarkedJournalFormatVersion;
    scan.end = unmarkedJournalHeaderBytes;
    scan.recordsEnd = unmarkedJournalHeaderBytes;
    scan.syncedEnd = unmarkedJournalHeaderBytes;
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
    scan.droppedBytes = content.size() - scan.end;
    return scan;
}

} // namespace Citronpitch
