#include "store/journal.h"

#include <gtest/gtest.h>

#include <xxhash.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <optional>
#include <random>
#include <unistd.h>

using namespace Citronpitch;
namespace leaf = boost::leaf;

namespace {

constexpr std::uint64_t recordHeaderBytes = 32;

class JournalTest : public testing::Test
{
protected:
    void SetUp() override
    {
        const auto *test = testing::UnitTest::GetInstance()->current_test_info();
        m_folder = testing::TempDir() + "journaltest-" + std::to_string(::getpid()) + "-" + test->name();
        std::filesystem::remove_all(m_folder);
        std::filesystem::create_directories(m_folder);
        m_path = m_folder + "/journal";
    }

    void write(const std::vector<std::string> &records)
    {
        auto journal = Journal::open(m_path);
        ASSERT_TRUE(journal.has_value());
        for (const auto &it : records)
            ASSERT_TRUE(static_cast<bool>(journal->append(it)));
    }

    void writeSynced(const std::vector<std::string> &records)
    {
        auto journal = Journal::open(m_path);
        ASSERT_TRUE(journal.has_value());
        for (const auto &it : records)
            ASSERT_TRUE(static_cast<bool>(journal->append(it)));
        ASSERT_TRUE(static_cast<bool>(journal->sync()));
        ASSERT_TRUE(static_cast<bool>(journal->markSynced()));
    }

    void overwrite(std::uint64_t offset, char byte)
    {
        std::fstream file(m_path, std::ios::in | std::ios::out | std::ios::binary);
        file.seekp(static_cast<std::streamoff>(offset));
        file.put(byte);
    }

    std::string content() const
    {
        std::ifstream file(m_path, std::ios::binary);
        return {std::istreambuf_iterator<char>(file), {}};
    }

    /// Writes a journal of version unmarkedJournalFormatVersion.
    void writeUnmarked(const std::vector<std::string> &records)
    {
        std::string bytes(journalMagic);
        const auto add = [&](auto value) {
            bytes.append(reinterpret_cast<const char *>(&value), sizeof value);
        };
        add(unmarkedJournalFormatVersion);
        for (const auto &it : records) {
            const auto length = static_cast<std::uint32_t>(it.size());
            add(length);
            add(static_cast<std::uint32_t>(XXH3_64bits(&length, sizeof length)));
            add(XXH3_64bits(it.data(), it.size()));
            bytes += it;
        }
        std::ofstream(m_path, std::ios::binary) << bytes;
    }

    /// Records of the file, or the error text as the only element.
    std::vector<std::string> read()
    {
        return leaf::try_handle_all(
            [&]() -> leaf::result<std::vector<std::string>> {
                BOOST_LEAF_ASSIGN(auto journal, Journal::open(m_path));
                return journal.takeRecovered();
            },
            [](const StepError &error) { return std::vector<std::string>{error.text()}; },
            [] { return std::vector<std::string>{"other error"}; });
    }

    std::string m_folder;
    std::string m_path;
};

} // namespace

// Guards against losing or reordering records, empty ones included, when the file is opened again.
TEST_F(JournalTest, recordsSurviveReopening)
{
    write({"one", "", "three"});
    EXPECT_EQ(read(), (std::vector<std::string>{"one", "", "three"}));
}

// Guards against a journal that can't be opened after a power loss in the middle of an append.
TEST_F(JournalTest, tornTailIsTruncatedAtEveryLength)
{
    write({"one", "two"});
    const auto whole = std::filesystem::file_size(m_path);
    for (auto size = whole - 1; size > whole - 3 - recordHeaderBytes; --size) {
        std::filesystem::resize_file(m_path, size);
        EXPECT_EQ(read(), (std::vector<std::string>{"one"}));
        std::filesystem::remove(m_path);
        write({"one", "two"});
    }
}

// Guards against silently dropping intact records after a damaged one; the operator needs the file and
// offset.
TEST_F(JournalTest, damageBeforeTheEndIsReportedWithFileAndOffset)
{
    writeSynced({"one", "two", "three"});
    overwrite(journalHeaderBytes + recordHeaderBytes, 'X');
    const auto records = read();
    ASSERT_EQ(records.size(), 1U);
    EXPECT_NE(records.front().find(m_path), std::string::npos);
    EXPECT_NE(records.front().find("offset 26 "), std::string::npos);
}

// Guards against silently dropping the newest record, although it had been synced.
TEST_F(JournalTest, damageToTheLastSyncedRecordIsReported)
{
    writeSynced({"one", "two", "three"});
    const auto offset = journalHeaderBytes + 2 * (recordHeaderBytes + 3);
    for (const auto it : {offset, offset + recordHeaderBytes}) {
        const auto before = content();
        overwrite(it, 'X');
        EXPECT_NE(read().front().find("offset " + std::to_string(offset) + " "), std::string::npos) << it;
        std::ofstream(m_path, std::ios::binary) << before;
    }
    EXPECT_EQ(read(), (std::vector<std::string>{"one", "two", "three"}));
}

// Guards against silently dropping the records of a replaced journal.
TEST_F(JournalTest, damageToAReplacedJournalIsReported)
{
    {
        auto journal = Journal::open(m_path);
        ASSERT_TRUE(journal.has_value());
        ASSERT_TRUE(static_cast<bool>(journal->replace({"one", "two"})));
    }
    overwrite(journalHeaderBytes + recordHeaderBytes + 3, 'X');
    EXPECT_NE(read().front().find("offset 61 "), std::string::npos);
}

// Guards against rejecting a journal whose file had grown before a power loss, but whose data was not
// written.
TEST_F(JournalTest, zeroFilledTailIsTruncated)
{
    write({"one", "two"});
    const auto whole = std::filesystem::file_size(m_path);
    for (const auto zeros : {1U, 16U, 4096U}) {
        std::filesystem::resize_file(m_path, whole + zeros);
        EXPECT_EQ(read(), (std::vector<std::string>{"one", "two"})) << zeros;
    }
    std::filesystem::resize_file(m_path, whole - 1);
    std::filesystem::resize_file(m_path, whole + 4096);
    EXPECT_EQ(read(), (std::vector<std::string>{"one"}));
}

// Guards against reading the file of another format version as if it had this one.
TEST_F(JournalTest, unknownFormatVersionIsRejected)
{
    write({"one"});
    overwrite(journalMagic.size(), static_cast<char>(journalFormatVersion + 1));
    EXPECT_NE(read().front().find("format version"), std::string::npos);
}

// Guards against returning a changed record, or dropping a synced one, after one byte of the file was
// corrupted.
TEST_F(JournalTest, corruptBytesGiveAPrefixOrAnError)
{
    const std::vector<std::string> records{"one", "two", "three", "four"};
    std::mt19937_64 random(1);
    writeSynced(records);
    const auto whole = content();
    for (int i = 0; i < 2000; ++i) {
        auto changed = whole;
        changed[random() % changed.size()] = static_cast<char>(random());
        std::ofstream(m_path, std::ios::binary) << changed;
        const auto found = read();
        const bool isError = found.size() == 1 && found.front().find(m_path) != std::string::npos;
        EXPECT_TRUE(isError || found == records) << i;
    }
}

// Guards against old records that survive a replacement, and against appends that go to the replaced file.
TEST_F(JournalTest, replaceKeepsOnlyTheNewRecords)
{
    write({"one", "two"});
    {
        auto journal = Journal::open(m_path);
        ASSERT_TRUE(journal.has_value());
        ASSERT_TRUE(static_cast<bool>(journal->replace({"three"})));
        ASSERT_TRUE(static_cast<bool>(journal->append("four")));
    }
    EXPECT_EQ(read(), (std::vector<std::string>{"three", "four"}));
}

// Guards against records that are lost or repeated in a replacement that is written in several parts.
TEST_F(JournalTest, largeReplacementIsReadBack)
{
    std::vector<std::string> records;
    for (std::size_t i = 0; i < 40; ++i)
        records.emplace_back(100000 + i, static_cast<char>('a' + i % 26));
    {
        auto journal = Journal::open(m_path);
        ASSERT_TRUE(journal.has_value());
        ASSERT_TRUE(static_cast<bool>(journal->replace(records)));
        EXPECT_EQ(journal->size(), content().size());
        ASSERT_TRUE(static_cast<bool>(journal->append("new")));
    }
    records.emplace_back("new");
    EXPECT_TRUE(read() == records);
}

// Guards against losing the records of a journal that an earlier version of the program wrote.
TEST_F(JournalTest, journalWithoutMarksIsReadAndReplaced)
{
    for (const auto &it : {std::vector<std::string>{}, {"one"}, {"one", "", "three"}}) {
        writeUnmarked(it);
        EXPECT_EQ(read(), it);
        writeSynced({"new"});
        auto all = it;
        all.emplace_back("new");
        EXPECT_EQ(read(), all);
    }
}

// Guards against silently dropping records of a journal that doesn't show what was synced.
TEST_F(JournalTest, damageBeforeTheEndOfAJournalWithoutMarksIsReported)
{
    writeUnmarked({"one", "two"});
    overwrite(unmarkedJournalHeaderBytes + 16, 'X');
    EXPECT_NE(read().front().find("offset 10 "), std::string::npos);
    writeUnmarked({"one", "two"});
    overwrite(content().size() - 1, 'X');
    EXPECT_EQ(read(), (std::vector<std::string>{"one"}));
}

// Guards against rejecting the journal after a power loss, since a record counts as synced that was appended
// during the sync or whose sync failed.
TEST_F(JournalTest, onlyRecordsBeforeASuccessfulSyncCountAsSynced)
{
    for (const int result : {0, -1}) {
        std::filesystem::remove(m_path);
        std::optional<Journal> journal;
        JournalHooks hooks;
        hooks.sync = [&](int) {
            if (!journal)
                return 0;
            EXPECT_TRUE(static_cast<bool>(journal->append("two")));
            errno = EIO;
            return result;
        };
        auto opened = Journal::open(m_path, hooks);
        ASSERT_TRUE(opened.has_value());
        journal.emplace(std::move(*opened));
        ASSERT_TRUE(static_cast<bool>(journal->append("one")));
        EXPECT_EQ(static_cast<bool>(journal->sync()), result == 0);
        static_cast<void>(journal->markSynced());
        journal.reset();
        const std::uint64_t one = journalHeaderBytes + recordHeaderBytes;
        overwrite(result == 0 ? one + 3 + recordHeaderBytes : one, 'X');
        EXPECT_EQ(read(), result == 0 ? std::vector<std::string>{"one"} : std::vector<std::string>{});
    }
}

// Guards against a journal that is written again after a failure, behind content whose state is unknown.
TEST_F(JournalTest, nothingIsWrittenAfterAFailure)
{
    enum class Call { Open, Append, Replace };
    const struct
    {
        Call call;
        const char *failing;
    } cases[] = {{Call::Open, "write"},   {Call::Open, "sync"},      {Call::Open, "rename"},
                 {Call::Open, "folder"},  {Call::Append, "write"},   {Call::Replace, "write"},
                 {Call::Replace, "sync"}, {Call::Replace, "rename"}, {Call::Replace, "folder"}};
    for (const auto &[call, failing] : cases) {
        SCOPED_TRACE(std::to_string(static_cast<int>(call)) + ", " + failing);
        std::filesystem::remove(m_path);
        write({"one"});
        std::string refused = call == Call::Open ? failing : "";
        const auto isRefused = [&](std::string_view name) {
            errno = EIO;
            return refused == name;
        };
        JournalHooks hooks;
        hooks.write = [&](int descriptor, const void *bytes, std::size_t size) {
            // A full disk may take the start of a record.
            if (!isRefused("write"))
                return ::write(descriptor, bytes, size);
            return size > 5 ? ::write(descriptor, bytes, 5) : ssize_t{-1};
        };
        hooks.sync = [&](int) { return isRefused("sync") ? -1 : 0; };
        hooks.rename = [&](const char *from, const char *to) {
            return isRefused("rename") ? -1 : std::rename(from, to);
        };
        hooks.syncFolder = [&](int) { return isRefused("folder") ? -1 : 0; };
        auto journal = Journal::open(m_path, hooks);
        ASSERT_TRUE(journal.has_value());
        EXPECT_EQ(journal->summary().failure.has_value(), call == Call::Open);
        refused = failing;
        if (call == Call::Append) {
            EXPECT_FALSE(static_cast<bool>(journal->append("two")));
        } else if (call == Call::Replace) {
            EXPECT_FALSE(static_cast<bool>(journal->replace({"two"})));
        }
        refused.clear();
        const auto before = content();
        EXPECT_FALSE(static_cast<bool>(journal->sync()));
        EXPECT_FALSE(static_cast<bool>(journal->append("three")));
        EXPECT_FALSE(static_cast<bool>(journal->replace({"three"})));
        EXPECT_FALSE(static_cast<bool>(journal->sync()));
        static_cast<void>(journal->markSynced());
        EXPECT_EQ(content(), before);
    }
}

// Guards against torn records on a disk that takes a write in parts or interrupts it.
TEST_F(JournalTest, shortAndInterruptedWritesAreContinued)
{
    int calls = 0;
    JournalHooks hooks;
    hooks.write = [&](int descriptor, const void *bytes, std::size_t size) {
        errno = EINTR;
        return ++calls % 2 == 0 ? ssize_t{-1} : ::write(descriptor, bytes, std::min<std::size_t>(size, 7));
    };
    {
        auto journal = Journal::open(m_path, hooks);
        ASSERT_TRUE(journal.has_value());
        ASSERT_TRUE(static_cast<bool>(journal->replace({"one"})));
        ASSERT_TRUE(static_cast<bool>(journal->append("two")));
        EXPECT_EQ(journal->size(), content().size());
    }
    EXPECT_EQ(read(), (std::vector<std::string>{"one", "two"}));
}

// Guards against silently dropping a synced record, if only the next record, which was not synced, shows that
// it was.
TEST_F(JournalTest, damageIsReportedByTheNextUnsyncedRecord)
{
    const auto markOffset = journalHeaderBytes + recordHeaderBytes + 3;
    const auto damagedOffset = "offset " + std::to_string(journalHeaderBytes) + " ";
    for (const bool isReopened : {false, true}) {
        std::filesystem::remove(m_path);
        if (isReopened) {
            writeSynced({"one"});
            write({"two"});
            overwrite(markOffset, 'X');
        } else {
            auto journal = Journal::open(m_path);
            ASSERT_TRUE(journal.has_value());
            ASSERT_TRUE(static_cast<bool>(journal->append("one")));
            ASSERT_TRUE(static_cast<bool>(journal->sync()));
            ASSERT_TRUE(static_cast<bool>(journal->append("two")));
        }
        overwrite(markOffset - 1, 'X');
        const auto found = read();
        ASSERT_EQ(found.size(), 1U);
        EXPECT_NE(found.front().find(damagedOffset), std::string::npos) << isReopened;
    }
}

// Guards against silently dropping a synced record that is larger than a page.
TEST_F(JournalTest, damageFarBeforeTheNextIntactHeaderIsReported)
{
    const auto damagedOffset = "offset " + std::to_string(journalHeaderBytes) + " ";
    for (const std::size_t size : {10000U, 1000000U}) {
        std::filesystem::remove(m_path);
        writeSynced({std::string(size, 'r')});
        overwrite(journalHeaderBytes, 'X');
        const auto found = read();
        ASSERT_EQ(found.size(), 1U);
        EXPECT_NE(found.front().find(damagedOffset), std::string::npos) << size;
    }
}

// Guards against returning, or believing, a record that belongs to another place in a journal.
TEST_F(JournalTest, recordAtAnotherOffsetCountsAsDamaged)
{
    write({"one", "two"});
    const auto size = recordHeaderBytes + 3;
    const auto first = content().substr(0, journalHeaderBytes + size);
    std::ofstream(m_path, std::ios::binary) << first << first.substr(journalHeaderBytes);
    EXPECT_EQ(read(), std::vector<std::string>{"one"});

    std::filesystem::remove(m_path);
    writeSynced({"one"});
    auto shifted = content();
    shifted[journalHeaderBytes] = 'X';
    shifted.insert(journalHeaderBytes + size, 1, 'X');
    std::ofstream(m_path, std::ios::binary) << shifted;
    EXPECT_EQ(read(), std::vector<std::string>{});
}

// Guards against a restart that needs space on a full disk, although all records are known to be synced, and
// against marks of what the file states already.
TEST_F(JournalTest, nothingIsWrittenIfTheFileStatesThatAllIsSynced)
{
    JournalHooks refusing;
    refusing.write = [](int, const void *, std::size_t) -> ssize_t {
        errno = ENOSPC;
        return -1;
    };
    refusing.sync = [](int) {
        errno = ENOSPC;
        return -1;
    };
    for (const auto &it : {std::vector<std::string>{}, {"one"}, {"one", "two"}}) {
        std::filesystem::remove(m_path);
        writeSynced(it);
        const auto before = content();
        {
            auto journal = Journal::open(m_path, refusing);
            ASSERT_TRUE(journal.has_value());
            EXPECT_FALSE(journal->summary().failure.has_value()) << it.size();
            EXPECT_EQ(journal->takeRecovered(), it);
            EXPECT_TRUE(static_cast<bool>(journal->markSynced())) << it.size();
        }
        auto journal = Journal::open(m_path);
        ASSERT_TRUE(journal.has_value());
        EXPECT_EQ(content(), before);
        ASSERT_TRUE(static_cast<bool>(journal->append("three")));
        ASSERT_TRUE(static_cast<bool>(journal->sync()));
        ASSERT_TRUE(static_cast<bool>(journal->append("four")));
        auto size = journal->size();
        ASSERT_TRUE(static_cast<bool>(journal->markSynced()));
        EXPECT_EQ(journal->size(), size);
        ASSERT_TRUE(static_cast<bool>(journal->replace({"five"})));
        size = journal->size();
        ASSERT_TRUE(static_cast<bool>(journal->markSynced()));
        EXPECT_EQ(journal->size(), size);
    }
}

// Guards against a control VM that can't start while its disk is full.
TEST_F(JournalTest, recordsAreReadWhileTheDiskRefusesWrites)
{
    write({"one"});
    JournalHooks hooks;
    hooks.write = [](int, const void *, std::size_t) -> ssize_t {
        errno = ENOSPC;
        return -1;
    };
    auto journal = Journal::open(m_path, hooks);
    ASSERT_TRUE(journal.has_value());
    EXPECT_TRUE(journal->summary().failure.has_value());
    EXPECT_EQ(journal->takeRecovered(), std::vector<std::string>{"one"});
    EXPECT_FALSE(static_cast<bool>(journal->append("two")));
    EXPECT_EQ(read(), std::vector<std::string>{"one"});
}

// Guards against counting records as stored after the system may have dropped them.
TEST_F(JournalTest, nothingSucceedsAfterAFailedSync)
{
    JournalHooks hooks;
    int result = 0;
    hooks.sync = [&](int) { return result; };
    auto journal = Journal::open(m_path, hooks);
    ASSERT_TRUE(journal.has_value());
    result = -1;
    ASSERT_TRUE(static_cast<bool>(journal->append("one")));
    EXPECT_FALSE(static_cast<bool>(journal->sync()));
    result = 0;
    EXPECT_FALSE(static_cast<bool>(journal->sync()));
    EXPECT_FALSE(static_cast<bool>(journal->append("two")));
    EXPECT_FALSE(static_cast<bool>(journal->replace({"two"})));
}

// Guards against a log that lacks the cause, if another thread meets the failed sync first.
TEST_F(JournalTest, errorsAfterAFailedSyncNameItsCause)
{
    JournalHooks hooks;
    int result = 0;
    hooks.sync = [&](int) {
        errno = EIO;
        return result;
    };
    auto journal = Journal::open(m_path, hooks);
    ASSERT_TRUE(journal.has_value());
    result = -1;
    EXPECT_FALSE(static_cast<bool>(journal->sync()));
    const auto error = leaf::try_handle_all(
        [&]() -> leaf::result<std::string> {
            BOOST_LEAF_CHECK(journal->append("one"));
            return std::string();
        },
        [](const StepError &found) { return found.text(); }, [] { return std::string("other error"); });
    EXPECT_EQ(error,
              "append to journal: " + m_path + ": an earlier write or sync failed: Input/output error");
}

// Guards against content of an earlier file that is taken for that of its replacement.
TEST_F(JournalTest, eachFileHasASaltOfItsOwn)
{
    write({});
    const auto first = content().substr(0, journalHeaderBytes);
    auto journal = Journal::open(m_path);
    ASSERT_TRUE(journal.has_value());
    ASSERT_TRUE(static_cast<bool>(journal->replace({})));
    EXPECT_NE(content().substr(0, journalHeaderBytes), first);
}
