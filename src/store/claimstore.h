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

/// Options of a ClaimStore.
struct ClaimStoreOptions
{
    /// Data folder; empty for a VM without a disk, which persists nothing.
    std::string folder;
    /// Returns the boot ID of the machine; the default reads it from the system.
    std::function<std::string()> bootId;
    JournalHooks hooks;
    /// Size above which the journal is replaced by a snapshot, if it has also doubled since the last one.
    std::uint64_t compactionThresholdBytes = std::uint64_t{256} << 20;
};

/// Called on the event loop with the token of a synced record.
using ClaimSyncedCallback = std::function<void(std::uint64_t token)>;

/// Called once on the event loop, when the journal can't be written any more.
using ClaimStoreFailedCallback = std::function<void(const StepError &error)>;

/**
 * @brief Persists the claims of an entry VM in a journal in the data folder.
 *
 * append() writes on the event loop, so that a record survives the end of the process. A thread syncs all
 * records written so far in one batch and repeats this while tokens are pending. The folder is locked: one
 * process at a time can use it. Used by Daemon.
 */
class ClaimStore
{
public:
    /// Creates the journal of a VM that has never run in @p folder. Fails if the folder already holds claims.
    static boost::leaf::result<void> initialize(const std::string &folder);

    /**
     * Opens the journal and reads its records.
     *
     * Fails if another process has locked the folder or the journal is damaged. If the folder can't be read,
     * the returned store has failed and recovers nothing; if it can't be written, it has failed and recovers
     * what can be read.
     */
    static boost::leaf::result<std::unique_ptr<ClaimStore>> open(const ClaimStoreOptions &options);

    ~ClaimStore();
    ClaimStore(const ClaimStore &) = delete;
    ClaimStore &operator=(const ClaimStore &) = delete;

    /// The recovered records; may be called once.
    ClaimRecovery takeRecovery();

    /// Newest incarnation in the journal; zero if there is none.
    std::uint64_t lastIncarnation() const;

    /// Starts @p incarnation: replaces the journal by @p snapshot, syncs it, and starts syncing later
    /// records.
    void start(const boost::asio::any_io_executor &executor, std::uint64_t incarnation,
               const std::vector<std::string> &snapshot, ClaimSyncedCallback synced,
               ClaimStoreFailedCallback failed);

    /// Writes @p record. A non-zero @p token is reported once the record is synced.
    void append(const citronpitch::wire::ClaimJournalRecord &record, std::uint64_t token);

    /// Whether the journal is large enough to be compacted.
    bool needsCompaction() const;

    /// Replaces the journal by the records of @p snapshot.
    void compact(const std::vector<std::string> &snapshot);

    /// Whether the journal can't be written any more.
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
    /// Marks the journal as incomplete for later incarnations; adds to @p error if that fails.
    void markIncomplete(StepError &error) const;
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
    StepError m_openError;

    boost::asio::any_io_executor m_executor;
    std::optional<boost::asio::steady_timer> m_lazySync;
    ClaimSyncedCallback m_synced;
    ClaimStoreFailedCallback m_failed;
    std::uint64_t m_appended = 0;
    std::deque<PendingToken> m_pending;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);

    /// Guards the members up to m_isStopping.
    std::mutex m_mutex;
    std::condition_variable m_syncCondition;
    std::uint64_t m_syncWanted = 0;
    std::uint64_t m_syncDone = 0;
    bool m_isStopping = false;
    /// Locked while the file is synced or replaced.
    std::mutex m_fileMutex;
    std::thread m_thread;
};

} // namespace Citronpitch
