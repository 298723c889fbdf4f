#include "store/claimstore.h"

#include "wire/peer.pb.h"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <cerrno>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <unistd.h>

using namespace Citronpitch;
namespace leaf = boost::leaf;
namespace wire = citronpitch::wire;

namespace {

/// Thrown by a hook where the process ends.
struct ProcessEnded
{
};

class ClaimStoreTest : public testing::Test
{
protected:
    void SetUp() override
    {
        const auto *test = testing::UnitTest::GetInstance()->current_test_info();
        m_options.folder =
            testing::TempDir() + "claimstoretest-" + std::to_string(::getpid()) + "-" + test->name();
        m_options.bootId = [this] { return m_bootId; };
        std::filesystem::remove_all(m_options.folder);
    }

    /// Opens the store; null with m_error set if that fails.
    std::unique_ptr<ClaimStore> open()
    {
        return leaf::try_handle_all([&] { return ClaimStore::open(m_options); },
                                    [&](const StepError &error) {
                                        m_error = error.text();
                                        return std::unique_ptr<ClaimStore>();
                                    },
                                    [] { return std::unique_ptr<ClaimStore>(); });
    }

    /// Starts an incarnation, appends @p records and waits until each is synced or the store fails.
    void runIncarnation(ClaimStore &store, int records)
    {
        store.start(
            m_io.get_executor(), store.lastIncarnation() + 1, {}, [this](std::uint64_t) { ++m_synced; },
            [this](const StepError &error) {
                ++m_failures;
                m_failure = error.text();
            });
        for (int i = 1; i <= records; ++i) {
            wire::ClaimJournalRecord record;
            record.mutable_claim()->mutable_submission()->set_key("key-" + std::to_string(i));
            store.append(record, static_cast<std::uint64_t>(i));
        }
        while (m_synced < records && m_failures == 0)
            m_io.run_one();
    }

    /// Leaves a journal that lacks records, without a power loss.
    void makeIncomplete(bool isCut)
    {
        m_synced = 0;
        m_failures = 0;
        m_options.hooks = {};
        std::filesystem::remove_all(m_options.folder);
        if (isCut) {
            runIncarnation(*open(), 1);
            const auto path = m_options.folder + "/claims";
            std::filesystem::resize_file(path, std::filesystem::file_size(path) - 1);
            return;
        }
        int syncs = 0;
        m_options.hooks.sync = [&](int) { return ++syncs > 2 ? -1 : 0; };
        runIncarnation(*open(), 1);
        m_options.hooks = {};
    }

    /// Ends the process at the system call after @p calls ones, or lets it and all later ones fail.
    void failAfter(int calls, bool endsProcess)
    {
        const auto isRefused = [calls, endsProcess]() mutable {
            if (calls-- > 0)
                return false;
            if (endsProcess)
                throw ProcessEnded();
            errno = EIO;
            return true;
        };
        const auto refuses = std::make_shared<std::function<bool()>>(isRefused);
        m_options.hooks.write = [refuses](int descriptor, const void *bytes, std::size_t size) {
            return (*refuses)() ? -1 : ::write(descriptor, bytes, size);
        };
        m_options.hooks.sync = [refuses](int) { return (*refuses)() ? -1 : 0; };
        m_options.hooks.syncFolder = m_options.hooks.sync;
        m_options.hooks.rename = [refuses](const char *from, const char *to) {
            return (*refuses)() ? -1 : std::rename(from, to);
        };
    }

    JournalCompleteness memoryAfterRestart()
    {
        return open()->takeRecovery().completeness;
    }

    ClaimStoreOptions m_options;
    boost::asio::io_context m_io;
    std::string m_bootId = "boot-1";
    std::string m_error;
    int m_synced = 0;
    int m_failures = 0;
    std::string m_failure;
};

} // namespace

// Guards against treating a lost data folder as that of a new VM: every older key would count as unclaimed.
TEST_F(ClaimStoreTest, onlyAnInitializedFolderStartsWithWholeMemory)
{
    EXPECT_EQ(memoryAfterRestart(), JournalCompleteness::Lost);
    std::filesystem::remove_all(m_options.folder);
    ASSERT_TRUE(static_cast<bool>(ClaimStore::initialize(m_options.folder)));
    EXPECT_EQ(memoryAfterRestart(), JournalCompleteness::Whole);
    EXPECT_FALSE(static_cast<bool>(ClaimStore::initialize(m_options.folder)))
        << "the folder already contains claims";
}

// Guards against trusting the end of the journal after the machine rebooted: records that were written but
// not synced may be lost.
TEST_F(ClaimStoreTest, anotherBootMeansThatTheTailMayBeLost)
{
    runIncarnation(*open(), 3);
    EXPECT_EQ(m_synced, 3);
    const auto recovery = open()->takeRecovery();
    EXPECT_EQ(recovery.completeness, JournalCompleteness::Whole);
    EXPECT_EQ(recovery.records.size(), 4U);
    m_bootId = "boot-2";
    EXPECT_EQ(memoryAfterRestart(), JournalCompleteness::TailMayBeLost);
    std::filesystem::remove_all(m_options.folder);
    EXPECT_EQ(memoryAfterRestart(), JournalCompleteness::Lost);
}

// Guards against losing all claims with a folder whose name was not synced; a store that can't sync it fails.
TEST_F(ClaimStoreTest, nameOfANewFolderIsSyncedBeforeItIsUsed)
{
    std::vector<std::string> synced;
    int result = -1;
    m_options.folder += "/data";
    m_options.hooks.syncFolder = [&](int descriptor) {
        synced.push_back(std::filesystem::read_symlink("/proc/self/fd/" + std::to_string(descriptor)));
        return result;
    };
    const auto parent = std::filesystem::path(m_options.folder).parent_path();
    const std::vector<std::string> expected{parent.parent_path(), parent, m_options.folder};
    for (const bool isRefused : {true, true, false}) {
        result = isRefused ? -1 : 0;
        const auto store = open();
        ASSERT_NE(store, nullptr);
        EXPECT_EQ(store->hasFailed(), isRefused);
    }
    ASSERT_GE(synced.size(), 2 + expected.size());
    EXPECT_EQ(std::vector<std::string>(synced.begin(), synced.begin() + 2),
              std::vector<std::string>(2, expected.front()));
    EXPECT_EQ(std::vector<std::string>(synced.begin() + 2, synced.begin() + 5), expected);
}

// Guards against two processes that write the same journal.
TEST_F(ClaimStoreTest, folderIsLockedByOneProcess)
{
    const auto store = open();
    EXPECT_EQ(open(), nullptr);
    EXPECT_NE(m_error.find("another process holds it"), std::string::npos);
}

// Guards against reporting a record as synced although the sync failed, and against trusting that journal
// after a restart.
TEST_F(ClaimStoreTest, failedSyncReportsNoTokenAndMarksTheJournalIncomplete)
{
    int syncs = 0;
    m_options.hooks.sync = [&](int) {
        errno = EIO;
        // The first two syncs create and replace the journal, before any record is synced.
        return ++syncs > 2 ? -1 : 0;
    };
    runIncarnation(*open(), 3);
    EXPECT_EQ(m_synced, 0);
    EXPECT_EQ(m_failures, 1);
    m_options.hooks = {};
    EXPECT_EQ(memoryAfterRestart(), JournalCompleteness::TailMayBeLost);
}

// Guards against trusting an incomplete journal after a start that ended, or failed, before it replaced it.
TEST_F(ClaimStoreTest, journalStaysIncompleteUntilAStartHasReplacedIt)
{
    constexpr int maximumCalls = 10;
    for (int i = 0; i < 4 * maximumCalls; ++i) {
        const bool isCut = i % 2 == 0;
        const bool endsProcess = i % 4 < 2;
        makeIncomplete(isCut);
        failAfter(i / 4, endsProcess);
        try {
            open();
        } catch (const ProcessEnded &) {
        }
        m_options.hooks = {};
        EXPECT_EQ(memoryAfterRestart(), JournalCompleteness::TailMayBeLost)
            << "cut: " << isCut << ", ends: " << endsProcess << ", calls: " << i / 4;
    }
}

// Guards against trusting a journal because its mark can't be looked up.
TEST_F(ClaimStoreTest, markThatCanNotBeLookedUpGivesAFailedStore)
{
    runIncarnation(*open(), 1);
    std::filesystem::create_symlink("claims.incomplete", m_options.folder + "/claims.incomplete");
    const auto store = open();
    EXPECT_TRUE(store->hasFailed());
    EXPECT_EQ(store->takeRecovery().completeness, JournalCompleteness::Lost);
}

// Guards against an incomplete journal without a mark that goes unreported.
TEST_F(ClaimStoreTest, markThatCanNotBeWrittenIsReported)
{
    int syncs = 0;
    m_options.hooks.sync = [&](int) {
        errno = ENOSPC;
        return ++syncs > 2 ? -1 : 0;
    };
    m_options.hooks.rename = [](const char *from, const char *to) {
        errno = EIO;
        return std::string(to).ends_with(".incomplete") ? -1 : std::rename(from, to);
    };
    runIncarnation(*open(), 1);
    EXPECT_NE(m_failure.find("No space left on device"), std::string::npos) << m_failure;
    EXPECT_NE(m_failure.find("can't mark the journal as incomplete: Input/output error"), std::string::npos)
        << m_failure;
}

// Guards against a full disk that goes unreported or is reported for every append.
TEST_F(ClaimStoreTest, fullDiskIsReportedOnceAndLaterAppendsAreIgnored)
{
    int writes = 0;
    m_options.hooks.write = [&](int descriptor, const void *bytes, std::size_t size) -> ssize_t {
        errno = ENOSPC;
        return ++writes > 3 ? -1 : ::write(descriptor, bytes, size);
    };
    const auto store = open();
    runIncarnation(*store, 3);
    EXPECT_EQ(m_failures, 1);
    EXPECT_TRUE(store->hasFailed());
}

// Guards against a VM that can't start because its disk can't be written; it must start with a failed store.
TEST_F(ClaimStoreTest, diskFailureAtOpenGivesAFailedStore)
{
    m_options.hooks.write = [](int, const void *, std::size_t) -> ssize_t {
        errno = EIO;
        return -1;
    };
    const auto store = open();
    ASSERT_NE(store, nullptr);
    EXPECT_TRUE(store->hasFailed());
    runIncarnation(*store, 1);
    EXPECT_EQ(m_failures, 1);
}

// Guards against answering "unknown" for claims that can be read on a full disk, and against trusting a
// journal into which an incarnation could not write.
TEST_F(ClaimStoreTest, claimsAreRecoveredWhileTheDiskRefusesWrites)
{
    {
        const auto store = open();
        store->start(
            m_io.get_executor(), 7, {}, [](std::uint64_t) {}, [](const StepError &) {});
        store->append({}, 0);
    }
    m_options.hooks.write = [](int, const void *, std::size_t) -> ssize_t {
        errno = ENOSPC;
        return -1;
    };
    {
        const auto store = open();
        EXPECT_TRUE(store->hasFailed());
        EXPECT_EQ(store->lastIncarnation(), 7U);
        const auto recovery = store->takeRecovery();
        EXPECT_EQ(recovery.records.size(), 2U);
        EXPECT_EQ(recovery.completeness, JournalCompleteness::Whole);
    }
    m_options.hooks = {};
    EXPECT_EQ(memoryAfterRestart(), JournalCompleteness::TailMayBeLost);
}

// Guards against recovering only some of the claims from a damaged journal.
TEST_F(ClaimStoreTest, damagedJournalIsRejected)
{
    runIncarnation(*open(), 3);
    std::fstream file(m_options.folder + "/claims", std::ios::in | std::ios::out | std::ios::binary);
    file.seekp(30);
    file.put('X');
    file.close();
    EXPECT_EQ(open(), nullptr);
    EXPECT_NE(m_error.find("is damaged"), std::string::npos) << m_error;
}
