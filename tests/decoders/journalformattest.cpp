#include "store/journalformat.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <random>

using namespace Citronpitch;

namespace {

constexpr std::uint64_t seeds = 300;
constexpr std::size_t recordHeaderBytes = 32;
constexpr std::uint64_t salt = 0x1234'5678'9abc'def1;
constexpr std::uint64_t otherSalt = 5;

/// A record, or a mark, of a journal.
struct Write
{
    std::uint64_t offset = 0;
    std::string bytes;
    bool isRecord = false;
    /// What its header states.
    std::uint64_t syncedEnd = 0;

    std::uint64_t end() const
    {
        return offset + bytes.size();
    }
};

/// @brief Random journal, written in the order of Journal: records, a sync now and then, mostly a mark after
/// it.
class WrittenJournal
{
public:
    explicit WrittenJournal(std::uint64_t seed)
        : m_random(seed)
    {
        for (std::size_t i = 0, n = below(12); i < n; ++i) {
            append(randomRecord());
            if (below(3) > 0)
                continue;
            sync();
            if (below(4) > 0)
                mark();
        }
    }

    void append(const std::string &record)
    {
        add(encodeRecord(record, content.size(), syncedEnd, salt), true);
        records.push_back(record);
    }

    void sync()
    {
        syncedEnd = content.size();
    }

    void mark()
    {
        add(encodeSyncMark(content.size(), syncedEnd, salt), false);
    }

    std::size_t below(std::size_t limit)
    {
        return m_random() % limit;
    }

    std::size_t recordsBefore(std::uint64_t end) const
    {
        return static_cast<std::size_t>(std::count_if(
            writes.begin(), writes.end(), [&](const auto &it) { return it.isRecord && it.end() <= end; }));
    }

    /// What is in @p left of the writes after the last sync is present, missing or torn.
    std::string losePower()
    {
        auto left = content.substr(0, syncedEnd);
        for (const auto &it : writes) {
            const auto fate = it.offset < syncedEnd ? 0 : below(4);
            const auto cut = below(it.bytes.size() + 1);
            const auto from = fate == 2 ? cut : 0;
            const auto to = fate == 3 ? cut : it.bytes.size();
            if (fate == 1 || from == to)
                continue;
            left.resize(std::max<std::size_t>(left.size(), it.offset + to));
            left.replace(it.offset + from, to - from, it.bytes, from, to - from);
        }
        return left;
    }

    /// Newest statement of a header that is unchanged in @p left.
    std::uint64_t statedEnd(const std::string &left) const
    {
        std::uint64_t end = 0;
        for (const auto &it : writes) {
            if (left.compare(std::min<std::size_t>(it.offset, left.size()), recordHeaderBytes, it.bytes, 0,
                             recordHeaderBytes)
                == 0)
                end = std::max(end, it.syncedEnd);
        }
        return end;
    }

    std::string content = encodeJournalHeader(salt);
    std::vector<Write> writes;
    std::vector<std::string> records;
    std::uint64_t syncedEnd = journalHeaderBytes;

private:
    void add(std::string bytes, bool isRecord)
    {
        writes.push_back({content.size(), std::move(bytes), isRecord, syncedEnd});
        content += writes.back().bytes;
    }

    std::string randomRecord()
    {
        const std::size_t sizes[] = {0, 1, 31, 32, 33, 200, 5000};
        std::string record(sizes[below(std::size(sizes))], '\0');
        // Some are zeros, as in a gap.
        for (std::size_t i = 0; below(4) > 0 && i < record.size(); ++i)
            record[i] = static_cast<char>(m_random());
        return record;
    }

    std::mt19937_64 m_random;
};

/// Scans a copy without spare bytes, so that the sanitizers see each read beyond it.
JournalScan scanCopy(const std::string &content)
{
    const auto bytes = std::make_unique<char[]>(content.size());
    std::copy(content.begin(), content.end(), bytes.get());
    return scanJournal({bytes.get(), content.size()});
}

void expectPrefix(const JournalScan &scan, const WrittenJournal &journal, const std::string &content)
{
    ASSERT_LE(scan.records.size(), journal.records.size());
    EXPECT_TRUE(std::equal(scan.records.begin(), scan.records.end(), journal.records.begin()));
    EXPECT_LE(scan.recordsEnd, scan.end);
    EXPECT_LE(scan.end, std::max(content.size(), journalHeaderBytes));
    EXPECT_EQ(scan.records.size(), journal.recordsBefore(scan.end));
}

using Mutation = void (*)(std::string &content, WrittenJournal &random);

void changeBytes(std::string &content, WrittenJournal &random)
{
    for (std::size_t i = 0, n = 1 + random.below(8); i < n && !content.empty(); ++i)
        content[random.below(content.size())] = static_cast<char>(random.below(256));
}

void truncate(std::string &content, WrittenJournal &random)
{
    content.resize(random.below(content.size() + 1));
}

void zeroFill(std::string &content, WrittenJournal &random)
{
    const auto from = random.below(content.size() + 1);
    std::fill_n(content.begin() + static_cast<std::ptrdiff_t>(from), random.below(content.size() - from + 1),
                '\0');
}

void appendZeros(std::string &content, WrittenJournal &random)
{
    content.append(random.below(200), '\0');
}

/// Shifts what follows.
void removeBytes(std::string &content, WrittenJournal &random)
{
    content.erase(random.below(content.size() + 1), random.below(64));
}

void duplicateBytes(std::string &content, WrittenJournal &random)
{
    const auto part = content.substr(random.below(content.size() + 1), random.below(400));
    content.insert(random.below(content.size() + 1), part);
}

constexpr Mutation mutations[] = {changeBytes, truncate, zeroFill, appendZeros, removeBytes, duplicateBytes};

/// Several power losses of @p journal, independent of each other.
void expectSyncedRecordsSurvive(WrittenJournal &journal)
{
    for (int i = 0; i < 20; ++i) {
        const auto content = journal.losePower();
        const auto scan = scanCopy(content);
        ASSERT_NO_FATAL_FAILURE(expectPrefix(scan, journal, content));
        EXPECT_FALSE(scan.isDamaged());
        EXPECT_GE(scan.records.size(), journal.recordsBefore(journal.syncedEnd));
    }
}

} // namespace

// Guards against reads beyond the content and against records that were not written at their place.
TEST(JournalFormatTest, damagedContentGivesOnlyWrittenRecordsInOrder)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        SCOPED_TRACE(seed);
        WrittenJournal journal(seed);
        ASSERT_EQ(scanCopy(journal.content).records, journal.records);
        for (int i = 0; i < 20; ++i) {
            auto content = journal.content;
            for (std::size_t n = 1 + journal.below(3); n > 0; --n)
                mutations[journal.below(std::size(mutations))](content, journal);
            ASSERT_NO_FATAL_FAILURE(expectPrefix(scanCopy(content), journal, content));
            scanUnmarkedJournal(content);
        }
    }
}

// A gap among the writes after the last sync was taken for damage, and the VM did not start.
TEST(JournalFormatTest, lossesAfterTheLastSyncKeepWhatWasSynced)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        SCOPED_TRACE(seed);
        WrittenJournal journal(seed);
        ASSERT_NO_FATAL_FAILURE(expectSyncedRecordsSurvive(journal));
    }
}

// Guards against dropping synced records without an error if a byte of them is damaged.
TEST(JournalFormatTest, changedByteOfSyncedContentIsDamageOrLosesNothing)
{
    std::uint64_t damaged = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        SCOPED_TRACE(seed);
        WrittenJournal journal(seed);
        auto content = journal.losePower();
        const auto statedEnd = journal.statedEnd(content);
        // Each byte of small journals, and some of each other one.
        const auto step = 1 + statedEnd / 200;
        for (std::uint64_t at = journal.below(step); at < statedEnd; at += step) {
            const auto byte = content[at];
            content[at] = static_cast<char>(byte ^ static_cast<char>(1 + journal.below(255)));
            const auto scan = scanCopy(content);
            ASSERT_NO_FATAL_FAILURE(expectPrefix(scan, journal, content));
            ASSERT_TRUE(scan.isDamaged() || scan.records.size() >= journal.recordsBefore(statedEnd)) << at;
            damaged += scan.isDamaged() ? 1 : 0;
            content[at] = byte;
        }
    }
    EXPECT_GT(damaged, 0U);
}

// Guards against taking the content of a record that holds a journal for records or for evidence of a sync.
TEST(JournalFormatTest, journalInsideOfARecordIsNeitherRecordsNorEvidence)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        SCOPED_TRACE(seed);
        WrittenJournal inner(seed);
        inner.append("inner");
        inner.sync();
        inner.mark();
        WrittenJournal journal(seed + seeds);
        journal.append(inner.content);
        journal.append("last");
        ASSERT_EQ(scanCopy(journal.content).records, journal.records);
        ASSERT_NO_FATAL_FAILURE(expectSyncedRecordsSurvive(journal));
    }
}

// A mark inside of a torn record, made for the offset at which it lay, was taken for evidence of a sync.
TEST(JournalFormatTest, recordsOfAnotherJournalAreNoEvidenceAtTheirOwnOffset)
{
    const auto start = encodeJournalHeader(salt);
    const auto at = start.size() + recordHeaderBytes;
    const auto record = encodeRecord(encodeSyncMark(at, at, otherSalt), start.size(), start.size(), salt);
    const auto lost = start + std::string(recordHeaderBytes, '\0') + record.substr(recordHeaderBytes);
    EXPECT_TRUE(scanCopy(lost).records.empty());
    EXPECT_FALSE(scanCopy(lost).isDamaged());
}
