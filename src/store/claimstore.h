#pragma once

#include "citronpitch/claimreplay.h"
#include "store/journal.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>

namespace citronpitch::wire {
class ClaimJournalRecord;
} // namespace citronpitch::wire

namespace Citronpitch {

/// Where the claims of an entry VM are kept, and how the machine is looked at.
struct ClaimStoreOptions
{
    /// Data folder; empty for a VM without a disk.
    std::string folder;
    /// Identity of the machine's current boot; the default reads it from the system.
    std::function<std::string()> bootId;
    JournalHooks hooks;
    /// Size of the journal at which it is replaced by a snapshot, when it has also doubled since the last
    /// one.
    std::uint64_t compactionThresholdBytes = std::uint64_t{256} << 20;
};

/// Called on the event loop with a token whose record is synced.
using ClaimSyncedCallback = std::function<void(std::uint64_t token)>;

/// Called on the event loop, once, when the journal can't be written any more.
using ClaimStoreFailedCallback = std::function<void(const StepError &error)>;

/**
 * @brief The journal of claims in the data folder, synced by a thread of its own.
 *
 * append() writes on the event loop, so that a record survives the end of the process; the thread syncs all
 * records written so far at once, again and again while some wait. One process at a time can hold the folder.
 * Used by Daemon.
 */
class ClaimStore
{
public:
    /// Makes the data folder at @p folder hold the memory of a VM that never lived before. Fails where one
    /// is.
    static boost::leaf::result<void> initialize(const std::string &folder);

    /**
     * Opens the journal and reads it.
     *
     * Fails when another process holds the folder or the journal is damaged. A folder that can't be read or
     * written gives a store that has failed and remembers nothing.
     */
    static boost::leaf::result<std::unique_ptr<ClaimStore>> open(const ClaimStoreOptions &options);

    ~ClaimStore();
    ClaimStore(const ClaimStore &) = delete;
    ClaimStore &operator=(const ClaimStore &) = delete;

    /// What was read; may be called once.
    ClaimRecovery takeRecovery();

    /// Incarnation of the last life in the journal; zero where there was none.
    std::uint64_t lastIncarnation() const;

    /// Starts a life: replaces the journal by @p snapshot, synced, and begins to sync later records.
    void start(const boost::asio::any_io_executor &executor, std::uint64_t incarnation,
               const std::vector<std::string> &snapshot, ClaimSyncedCallback synced,
               ClaimStoreFailedCallback failed);

    /// Writes @p record; @p token, when not zero, is reported once the record is synced.
    void append(const citronpitch::wire::ClaimJournalRecord &record, std::uint64_t token);

    /// Whether the journal has grown enough to be replaced.
    bool needsCompaction() const;

    /// Replaces the journal by @p snapshot.
    void compact(const std::vector<std::string> &snapshot);

    /// Whether nothing can be written any more.
    bool hasFailed() const;

    /// Size of the journal in bytes.
    std::uint64_t size() const;

private:
    struct PendingToken
    {
        std::uint64_t sequence = 0;
        std::uint64_t token = 0;
    };

    explicit ClaimStore(const ClaimStoreOptions &options);
    boost::leaf::result<void> openJournal();
    boost::leaf::result<void> lockFolder();
    void syncLoop();
    void requestSync();
    void scheduleLazySync();
    void synced(std::uint64_t sequence);
    void fail(const StepError &error);
    std::string journalPath() const;
    std::string incompletePath() const;

    ClaimStoreOptions m_options;
    int m_lockDescriptor = -1;
    std::optional<Journal> m_journal;
    ClaimRecovery m_recovery;
    std::uint64_t m_lastIncarnation = 0;
    std::uint64_t m_incarnation = 0;
    std::uint64_t m_compactedSize = 0;
    bool m_hasFailed = false;

    boost::asio::any_io_executor m_executor;
    std::optional<boost::asio::steady_timer> m_lazySync;
    ClaimSyncedCallback m_synced;
    ClaimStoreFailedCallback m_failed;
    std::uint64_t m_appended = 0;
    std::deque<PendingToken> m_pending;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);

    /// Guards the members below.
    std::mutex m_mutex;
    std::condition_variable m_syncCondition;
    std::uint64_t m_syncWanted = 0;
    std::uint64_t m_syncDone = 0;
    bool m_isStopping = false;
    /// Held while the file is synced or replaced.
    std::mutex m_fileMutex;
    std::thread m_thread;
};

} // namespace Citronpitch
