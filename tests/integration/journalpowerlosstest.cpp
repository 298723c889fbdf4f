#include "support/unreliabledisk.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <unistd.h>

using namespace Citronpitch;
namespace leaf = boost::leaf;

namespace {

/// A journal on an UnreliableDisk, and what must be found in it.
class JournalOnUnreliableDisk
{
public:
    explicit JournalOnUnreliableDisk(std::uint64_t seed)
        : m_folder(folderOf(seed))
        , m_disk(m_folder, seed)
    {
        std::filesystem::remove_all(m_folder);
        std::filesystem::create_directories(m_folder);
        open();
    }

    ~JournalOnUnreliableDisk()
    {
        m_journal.reset();
        std::filesystem::remove_all(m_folder);
    }

    JournalOnUnreliableDisk(const JournalOnUnreliableDisk &) = delete;
    JournalOnUnreliableDisk &operator=(const JournalOnUnreliableDisk &) = delete;

    UnreliableDisk &disk()
    {
        return m_disk;
    }

    void append(const std::string &record)
    {
        if (m_journal && m_journal->append(record))
            m_records.push_back(record);
    }

    void sync()
    {
        if (m_journal && m_journal->sync())
            m_synced = m_records.size();
        else
            restart();
    }

    void markSynced()
    {
        if (m_journal && !m_journal->markSynced())
            restart();
    }

    void replace(const std::vector<std::string> &records)
    {
        if (!m_journal) {
            restart();
        } else if (m_journal->replace(records)) {
            m_records = records;
            m_synced = records.size();
        } else {
            m_replacement = records;
            restart();
        }
    }

    /// Ends the process and starts it again: all records are found, and count as stored.
    void restart()
    {
        m_journal.reset();
        open();
        if (m_journal)
            checkRecovered();
    }

    void losePower(PowerLoss loss)
    {
        m_journal.reset();
        m_disk.losePower(loss);
        m_hasLostPower = true;
        restart();
    }

    const std::vector<std::string> &records() const
    {
        return m_records;
    }

    const std::string &error() const
    {
        return m_error;
    }

private:
    static std::filesystem::path folderOf(std::uint64_t seed)
    {
        return testing::TempDir() + "journalpowerlosstest-" + std::to_string(::getpid()) + "-"
            + std::to_string(seed);
    }

    void open()
    {
        leaf::try_handle_all(
            [&]() -> leaf::result<void> {
                BOOST_LEAF_ASSIGN(auto journal, Journal::open(m_folder / "journal", m_disk.hooks()));
                m_journal.emplace(std::move(journal));
                return {};
            },
            [&](const StepError &error) {
                if (error.step == checkJournalStep)
                    m_error = error.text();
            },
            [&] { m_error = "unknown error"; });
    }

    /// After a power loss the journal holds at least what was synced, or all of a replacement.
    void checkRecovered()
    {
        const auto found = m_journal->takeRecovered();
        const auto expected = m_hasLostPower ? m_synced : m_records.size();
        const bool isPrefix = found.size() >= expected && found.size() <= m_records.size()
            && std::equal(found.begin(), found.end(), m_records.begin());
        if (!isPrefix && found != m_replacement)
            m_error = "found " + std::to_string(found.size()) + " of " + std::to_string(m_records.size())
                + " records, at least " + std::to_string(expected) + " expected";
        if (m_journal->summary().failure) {
            m_journal.reset();
            return;
        }
        m_records = found;
        m_replacement.reset();
        m_hasLostPower = false;
        m_synced = found.size();
    }

    std::filesystem::path m_folder;
    UnreliableDisk m_disk;
    std::optional<Journal> m_journal;
    std::vector<std::string> m_records;
    std::size_t m_synced = 0;
    /// Content of a failed replacement, which may be found, too.
    std::optional<std::vector<std::string>> m_replacement;
    /// Whether power was lost since the journal was last opened.
    bool m_hasLostPower = false;
    std::string m_error;
};

constexpr std::uint64_t seeds = 20;

} // namespace

// Guards against a VM that never starts again after a power loss that kept later writes and lost earlier
// ones.
TEST(JournalPowerLossTest, gapAmongUnsyncedRecordsDoesNotRejectTheJournal)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        for (const auto loss :
             {PowerLoss::KeepsNothing, PowerLoss::KeepsAll, PowerLoss::LosesFirst, PowerLoss::TearsEndOfFirst,
              PowerLoss::TearsStartOfFirst, PowerLoss::Random}) {
            for (const int unsynced : {1, 2, 6}) {
                JournalOnUnreliableDisk journal(seed);
                journal.append("synced");
                journal.sync();
                for (int i = 0; i < unsynced; ++i)
                    journal.append("record " + std::to_string(i));
                journal.losePower(loss);
                EXPECT_EQ(journal.error(), "") << static_cast<int>(loss) << ", " << unsynced << ", " << seed;
            }
        }
    }
}

// Guards against a version that is acknowledged after a restart and older after the next power loss.
TEST(JournalPowerLossTest, recordsFoundAfterARestartSurviveAPowerLoss)
{
    JournalOnUnreliableDisk journal(1);
    journal.append("one");
    journal.restart();
    ASSERT_EQ(journal.records().size(), 1U);
    journal.losePower(PowerLoss::KeepsNothing);
    EXPECT_EQ(journal.error(), "");
}

// Guards against records that a restart returns and syncs in vain, since a failed sync marked them as stored.
TEST(JournalPowerLossTest, recordsFoundAfterARefusedSyncAreWrittenAgain)
{
    JournalOnUnreliableDisk journal(1);
    journal.disk().dropWritesOfRefusedSyncs();
    journal.append("one");
    journal.disk().refuseSyncs(1);
    journal.sync();
    ASSERT_EQ(journal.records().size(), 1U);
    journal.losePower(PowerLoss::KeepsNothing);
    EXPECT_EQ(journal.error(), "");
}

// Guards against a dropped record that comes back behind the record that was written in place of the gap.
TEST(JournalPowerLossTest, recordsBehindAGapDoNotComeBack)
{
    JournalOnUnreliableDisk journal(1);
    journal.append("one");
    journal.sync();
    journal.markSynced();
    journal.sync();
    journal.append("two");
    journal.append("three");
    journal.losePower(PowerLoss::LosesFirst);
    ASSERT_EQ(journal.records(), std::vector<std::string>{"one"});
    journal.append("six");
    journal.losePower(PowerLoss::KeepsAll);
    EXPECT_EQ(journal.error(), "");
}

// Guards against appending to a replaced journal whose name the next power loss takes away.
TEST(JournalPowerLossTest, nameOfAReplacedJournalIsSyncedBeforeItIsUsed)
{
    JournalOnUnreliableDisk journal(1);
    journal.append("one");
    journal.sync();
    journal.disk().refuseSyncs(1, 1);
    journal.replace({"two"});
    journal.append("three");
    journal.sync();
    journal.losePower(PowerLoss::KeepsNothing);
    EXPECT_EQ(journal.error(), "");
}

// Guards against any other loss of synced records, in any order of writes, syncs, restarts and power losses.
TEST(JournalPowerLossTest, syncedRecordsSurviveRandomFaults)
{
    constexpr int steps = 300;
    for (std::uint64_t seed = 1; seed <= 2 * seeds; ++seed) {
        JournalOnUnreliableDisk journal(seed);
        if (seed > seeds)
            journal.disk().dropWritesOfRefusedSyncs();
        std::mt19937_64 random(seed);
        for (int i = 0; i < steps && journal.error().empty(); ++i) {
            const auto drawn = random() % 16;
            if (drawn == 0)
                journal.losePower(static_cast<PowerLoss>(random() % 6));
            else if (drawn == 1)
                journal.restart();
            else if (drawn == 2)
                journal.replace({"snapshot " + std::to_string(i), std::string(random() % 500, 's')});
            else if (drawn == 3)
                journal.disk().refuseSyncs(1 + random() % 3, random() % 2);
            else if (drawn < 7)
                journal.sync();
            else if (drawn < 9)
                journal.markSynced();
            else
                journal.append(std::string(random() % 300, 'r') + std::to_string(i));
        }
        EXPECT_EQ(journal.error(), "") << "seed " << seed;
    }
}
