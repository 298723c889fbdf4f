#include "store/claimstore.h"
#include "support/unreliabledisk.h"

#include "wire/peer.pb.h"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <unistd.h>

using namespace Citronpitch;
namespace leaf = boost::leaf;
namespace wire = citronpitch::wire;

namespace {

/// A claim store on an UnreliableDisk, and what must be found in it.
class ClaimStoreOnUnreliableDisk
{
public:
    explicit ClaimStoreOnUnreliableDisk(std::uint64_t seed)
        : m_folder(testing::TempDir() + "claimstorepowerlosstest-" + std::to_string(::getpid()) + "-"
                   + std::to_string(seed))
        , m_disk(m_folder, seed)
    {
        std::filesystem::remove_all(m_folder);
        std::filesystem::create_directories(m_folder);
        m_options.folder = m_folder;
        m_options.bootId = [this] { return "boot-" + std::to_string(m_boot); };
        m_options.hooks = endingHooks();
        restart();
    }

    ~ClaimStoreOnUnreliableDisk()
    {
        m_store.reset();
        std::filesystem::remove_all(m_folder);
    }

    ClaimStoreOnUnreliableDisk(const ClaimStoreOnUnreliableDisk &) = delete;
    ClaimStoreOnUnreliableDisk &operator=(const ClaimStoreOnUnreliableDisk &) = delete;

    UnreliableDisk &disk()
    {
        return m_disk;
    }

    void append()
    {
        append(0);
    }

    /// Appends a record with a token and waits until it is synced or the store has failed.
    void appendSynced()
    {
        if (!m_store || m_store->hasFailed())
            return;
        append(++m_lastToken);
        while (m_syncedToken != m_lastToken && !m_store->hasFailed())
            m_io.run_one();
        if (m_syncedToken == m_lastToken)
            m_synced = m_records;
    }

    void compact()
    {
        if (!m_store || m_store->hasFailed())
            return;
        m_store->compact(m_records);
        if (!m_store->hasFailed())
            m_synced = m_records;
    }

    /// Ends the process and starts it again.
    void restart()
    {
        restart(0);
    }

    /// Ends the process, again at system call @p endingCall of its start, and starts it.
    void restartTwice(unsigned endingCall)
    {
        restart(endingCall);
        restart(0);
    }

    void losePower(PowerLoss loss)
    {
        m_store.reset();
        m_disk.losePower(loss);
        ++m_boot;
        m_hasLostPower = true;
        m_endedIncarnation.reset();
        restart();
    }

    JournalCompleteness completeness() const
    {
        return m_completeness;
    }

    const std::string &error() const
    {
        return m_error;
    }

private:
    /// Thrown where the process ends.
    struct ProcessEnded
    {
    };

    JournalHooks endingHooks()
    {
        const auto ending = [this](auto call) {
            return [this, call](auto... arguments) {
                // LEAF catches what is thrown: an ended process must not call anything any more.
                if (m_callsUntilEnd == 1)
                    throw ProcessEnded();
                if (m_callsUntilEnd > 1)
                    --m_callsUntilEnd;
                return call(arguments...);
            };
        };
        const auto hooks = m_disk.hooks();
        return {ending(hooks.write), ending(hooks.sync), ending(hooks.rename), ending(hooks.remove),
                ending(hooks.syncFolder)};
    }

    void restart(unsigned endingCall)
    {
        m_store.reset();
        m_io.poll();
        m_io.restart();
        m_callsUntilEnd = endingCall;
        try {
            open();
            if (m_store && !m_store->hasFailed()) {
                checkRecovered();
                start();
            } else if (m_store && m_store->lastIncarnation() > 0) {
                // The journal was read, but can't be written. It is marked unless the process has ended
                // before.
                if (m_callsUntilEnd != 1)
                    checkRecovered();
                (m_callsUntilEnd == 1 ? m_mayBeMarked : m_isIncomplete) = true;
            }
        } catch (const ProcessEnded &) {
            m_store.reset();
        }
        // The thread of the store must not end the process.
        m_callsUntilEnd = 0;
    }

    void append(std::uint64_t token)
    {
        if (!m_store || m_store->hasFailed())
            return;
        wire::ClaimJournalRecord record;
        record.mutable_claim()->mutable_submission()->set_key("key-" + std::to_string(++m_lastKey));
        record.mutable_claim()->mutable_submission()->set_team(std::string(m_lastKey % 300, 'p'));
        m_store->append(record, token);
        m_records.push_back(record.SerializeAsString());
    }

    void open()
    {
        leaf::try_handle_all(
            [&]() -> leaf::result<void> {
                BOOST_LEAF_ASSIGN(m_store, ClaimStore::open(m_options));
                return {};
            },
            [&](const StepError &error) { m_error = error.text(); }, [&] { m_error = "unknown error"; });
    }

    void start()
    {
        m_endedIncarnation = m_store->lastIncarnation() + 1;
        m_store->start(
            m_io.get_executor(), *m_endedIncarnation, m_records,
            [this](std::uint64_t token) { m_syncedToken = token; },
            [this](const StepError &) { m_isIncomplete = true; });
        m_endedIncarnation.reset();
        if (m_store->hasFailed())
            return;
        m_hasLostPower = false;
        m_isIncomplete = false;
        m_mayBeMarked = false;
        m_synced = m_records;
    }

    void checkRecovered()
    {
        auto recovery = m_store->takeRecovery();
        std::erase_if(recovery.records, [](const std::string &it) {
            wire::ClaimJournalRecord record;
            return record.ParseFromString(it) && record.has_life();
        });
        const auto &found = recovery.records;
        m_completeness = recovery.completeness;
        const bool isWhole = m_completeness == JournalCompleteness::Whole;
        const bool mustBeWhole = m_store->lastIncarnation() > 0 && !m_hasLostPower && !m_isIncomplete;
        const bool isReplaced = m_endedIncarnation == m_store->lastIncarnation();
        const bool isMarked = !isWhole && m_mayBeMarked;
        if (isWhole != mustBeWhole && !isReplaced && !isMarked)
            m_error = isWhole ? "reported as whole" : "not reported as whole";
        const auto expected = isWhole ? m_records.size() : m_synced.size();
        if (found.size() < expected || found.size() > m_records.size()
            || !std::equal(found.begin(), found.end(), m_records.begin()))
            m_error = "found " + std::to_string(found.size()) + " of " + std::to_string(m_records.size())
                + " records, at least " + std::to_string(expected) + " expected";
        m_records = found;
    }

    std::filesystem::path m_folder;
    UnreliableDisk m_disk;
    boost::asio::io_context m_io;
    ClaimStoreOptions m_options;
    std::unique_ptr<ClaimStore> m_store;
    JournalCompleteness m_completeness = JournalCompleteness::Lost;
    std::vector<std::string> m_records;
    std::vector<std::string> m_synced;
    std::uint64_t m_lastKey = 0;
    std::uint64_t m_lastToken = 0;
    std::uint64_t m_syncedToken = 0;
    int m_boot = 1;
    /// Whether power was lost since the last successful start.
    bool m_hasLostPower = false;
    /// Whether the store failed since the last successful start.
    bool m_isIncomplete = false;
    bool m_mayBeMarked = false;
    /// Incarnation whose start did not return; its journal is whole if it replaced the former one.
    std::optional<std::uint64_t> m_endedIncarnation;
    /// The process ends at this system call, the first being 1; zero for none.
    unsigned m_callsUntilEnd = 0;
    std::string m_error;
};

constexpr std::uint64_t seeds = 20;

} // namespace

// Guards against a task that is started twice, as its claim is lost or missing ones are not suspected.
TEST(ClaimStorePowerLossTest, syncedClaimsSurviveRandomFaults)
{
    constexpr int steps = 200;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        ClaimStoreOnUnreliableDisk store(seed);
        std::mt19937_64 random(seed);
        for (int i = 0; i < steps && store.error().empty(); ++i) {
            const auto drawn = random() % 16;
            if (drawn < 2)
                store.losePower(static_cast<PowerLoss>(random() % 6));
            else if (drawn < 3)
                store.restart();
            else if (drawn == 3)
                store.restartTwice(1 + random() % 12);
            else if (drawn == 4)
                store.compact();
            else if (drawn == 5)
                store.disk().refuseSyncs(1 + random() % 3, random() % 4);
            else if (drawn < 9)
                store.appendSynced();
            else
                store.append();
        }
        EXPECT_EQ(store.error(), "") << "seed " << seed;
    }
}
