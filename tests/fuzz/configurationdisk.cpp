#include "fuzz/configurationdisk.h"

#include "store/journalformat.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace Citronpitch {

namespace {

constexpr std::uint64_t salt = 1;

/// What a power loss leaves of a write.
enum class WriteFate { Kept, Lost, EndTorn, StartTorn };

/// Half of the writes are kept, so that several writes in a row often are.
constexpr WriteFate writeFates[] = {WriteFate::Kept, WriteFate::Kept,    WriteFate::Kept,
                                    WriteFate::Lost, WriteFate::EndTorn, WriteFate::StartTorn};

void writeAt(std::string &content, std::uint64_t offset, std::string_view bytes)
{
    if (bytes.empty())
        return;
    content.resize(std::max<std::size_t>(content.size(), offset + bytes.size()));
    content.replace(offset, bytes.size(), bytes);
}

} // namespace

void ConfigurationDisk::append(const std::string &record)
{
    write(encodeRecord(record, m_content.size(), m_syncedEnd, salt));
}

void ConfigurationDisk::replace(const std::vector<std::string> &records)
{
    m_content = encodeJournalHeader(salt);
    for (const auto &it : records)
        m_content += encodeRecord(it, m_content.size(), 0, salt);
    if (!records.empty())
        m_content += encodeSyncMark(m_content.size(), m_content.size(), salt);
    m_synced = m_content;
    m_writes.clear();
    m_hasGap = false;
    m_syncedEnd = m_content.size();
    m_markedEnd = m_syncedEnd;
}

void ConfigurationDisk::sync()
{
    for (const auto &it : m_writes)
        writeAt(m_synced, it.offset, it.bytes);
    m_writes.clear();
    m_syncedEnd = m_content.size();
    if (m_syncedEnd != m_markedEnd)
        write(encodeSyncMark(m_content.size(), m_syncedEnd, salt));
}

void ConfigurationDisk::losePower(std::mt19937_64 &random)
{
    m_content = m_synced;
    bool isWhole = true;
    for (const auto &[offset, bytes] : std::exchange(m_writes, {})) {
        const auto cut = 1 + random() % (bytes.size() - 1);
        const auto fate = writeFates[random() % std::size(writeFates)];
        m_hasGap = m_hasGap || (!isWhole && fate != WriteFate::Lost);
        isWhole = isWhole && fate == WriteFate::Kept;
        switch (fate) {
        case WriteFate::Kept:
            writeAt(m_content, offset, bytes);
            break;
        case WriteFate::Lost:
            break;
        case WriteFate::EndTorn:
            writeAt(m_content, offset, std::string_view(bytes).substr(0, cut));
            break;
        case WriteFate::StartTorn:
            writeAt(m_content, offset + cut, std::string_view(bytes).substr(cut));
            break;
        }
    }
    m_synced = m_content;
}

void ConfigurationDisk::wipe()
{
    *this = {};
}

std::optional<std::vector<std::string>> ConfigurationDisk::open(const JournalTestFaults &faults)
{
    if (m_content.empty())
        replace({});
    const auto scan = scanJournal(m_content);
    if (scan.isDamaged() || (faults.rejectsGaps && m_hasGap))
        return std::nullopt;
    m_syncedEnd = scan.syncedEnd;
    m_markedEnd = scan.syncedEnd;
    const bool isDropped = scan.end < m_content.size();
    const bool isMarked = scan.syncedEnd >= scan.recordsEnd;
    if (isDropped ? !faults.keepsGaps : !isMarked && !faults.trustsFoundRecords)
        replace(scan.records);
    return scan.records;
}

void ConfigurationDisk::write(std::string bytes)
{
    const auto offset = m_content.size();
    m_content += bytes;
    m_writes.push_back({offset, std::move(bytes)});
    m_markedEnd = m_syncedEnd;
}

} // namespace Citronpitch
