#include "fuzz/configurationdisk.h"

#include "store/journalformat.h"

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

} // namespace

void ConfigurationDisk::append(const std::string &record)
{
    write(encodeRecord(record, m_content.size(), m_syncedEnd, salt));
}

void ConfigurationDisk::replace(const std::vector<std::string> &records)
{
    m_content.clear();
    encodeJournal(records, salt, [this](std::string_view part) {
        m_content += part;
        return true;
    });
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
    const bool isKept = scan.droppedBytes > 0 ? faults.keepsGaps : faults.trustsFoundRecords;
    if (!scan.isStored() && !isKept)
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
