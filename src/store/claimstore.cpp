#include "store/claimstore.h"

#include "store/folders.h"
#include "wire/peer.pb.h"

#include <boost/asio/post.hpp>

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sys/file.h>
#include <unistd.h>
#include <utility>

namespace Citronpitch {

namespace leaf = boost::leaf;
namespace wire = citronpitch::wire;
namespace fs = std::filesystem;

namespace {

/// Interval at which records without a token are synced.
constexpr auto lazySyncInterval = std::chrono::milliseconds(200);

std::string systemBootId()
{
    std::ifstream file("/proc/sys/kernel/random/boot_id");
    std::string id;
    file >> id;
    return id;
}

std::string incarnationRecord(const std::string &bootId, std::uint64_t incarnation)
{
    wire::ClaimJournalRecord record;
    record.mutable_life()->set_boot_id(bootId);
    record.mutable_life()->set_incarnation(incarnation);
    return record.SerializeAsString();
}

/// Runs @p step and returns its error, if any.
std::optional<StepError> errorOf(const std::function<leaf::result<void>()> &step)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<StepError>> {
            BOOST_LEAF_CHECK(step());
            return std::optional<StepError>();
        },
        [](const StepError &error) { return std::optional<StepError>(error); },
        [] {
            return std::optional<StepError>(StepError{"journal", "", "unknown error"});
        });
}

leaf::result<bool> fileExists(const std::string &path)
{
    std::error_code ec;
    const bool isFound = fs::exists(path, ec);
    if (ec)
        return leaf::new_error(StepError{"look up journal", path, ec.message()});
    return isFound;
}

} // namespace

leaf::result<void> ClaimStore::initialize(const std::string &folder)
{
    ClaimStoreOptions options;
    options.folder = folder;
    ClaimStore store(options);
    BOOST_LEAF_CHECK(createFolders(folder, store.m_options.hooks.syncFolder));
    BOOST_LEAF_CHECK(store.lockFolder());
    if (fs::exists(store.journalPath()) || fs::exists(store.incompletePath()))
        return leaf::new_error(StepError{"initialize", folder, "the folder already contains claims"});
    BOOST_LEAF_ASSIGN(auto journal, Journal::open(store.journalPath()));
    return journal.replace({incarnationRecord(systemBootId(), 0)});
}

leaf::result<std::unique_ptr<ClaimStore>> ClaimStore::open(const ClaimStoreOptions &options)
{
    std::unique_ptr<ClaimStore> store(new ClaimStore(options));
    if (options.folder.empty())
        return store;
    std::optional<StepError> error =
        errorOf([&] { return createFolders(options.folder, store->m_options.hooks.syncFolder); });
    if (!error) {
        BOOST_LEAF_CHECK(store->lockFolder());
        error = errorOf([&] { return store->openJournal(); });
    }
    if (!error)
        return store;
    if (error->step == checkJournalStep)
        return leaf::new_error(*error);
    store->m_openError = *error;
    store->m_hasFailed = true;
    store->m_journal.reset();
    return store;
}

ClaimStore::ClaimStore(const ClaimStoreOptions &options)
    : m_options(options)
{
    if (!m_options.bootId)
        m_options.bootId = systemBootId;
}

ClaimStore::~ClaimStore()
{
    *m_isAlive = false;
    if (m_thread.joinable()) {
        {
            const std::lock_guard lock(m_mutex);
            m_isStopping = true;
        }
        m_syncCondition.notify_all();
        m_thread.join();
    }
    if (m_lockDescriptor >= 0)
        ::close(m_lockDescriptor);
}

leaf::result<void> ClaimStore::lockFolder()
{
    const auto path = m_options.folder + "/lock";
    m_lockDescriptor = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
    if (m_lockDescriptor >= 0 && ::flock(m_lockDescriptor, LOCK_EX | LOCK_NB) != 0 && errno == EWOULDBLOCK)
        return leaf::new_error(StepError{"lock data folder", path, "another process holds it"});
    return {};
}

leaf::result<void> ClaimStore::openJournal()
{
    BOOST_LEAF_ASSIGN(const bool isIncomplete, fileExists(incompletePath()));
    BOOST_LEAF_ASSIGN(const bool hasJournal, fileExists(journalPath()));
    // If both exist, the journal is newer: it was replaced, and the incomplete one was not removed yet.
    const auto path = isIncomplete && !hasJournal ? incompletePath() : journalPath();
    const bool isFound = isIncomplete || hasJournal;
    BOOST_LEAF_ASSIGN(auto journal, Journal::open(path, m_options.hooks, incompletePath()));
    m_journal.emplace(std::move(journal));
    m_recovery.records = m_journal->takeRecovered();
    const auto replay = replayClaims(m_recovery.records);
    m_lastIncarnation = replay.lastIncarnation;
    const bool isFirstIncarnation = isFound && !m_recovery.records.empty() && m_lastIncarnation == 0;
    const bool isSameBoot = !replay.lastBootId.empty() && replay.lastBootId == m_options.bootId();
    // The end of a process alone leaves no record that is not intact.
    const bool isUncut = m_journal->summary().droppedBytes == 0;
    if (isUncut && (isFirstIncarnation || (isSameBoot && !isIncomplete)))
        m_recovery.completeness = JournalCompleteness::Whole;
    else if (isFound && (m_lastIncarnation != 0 || !isUncut))
        m_recovery.completeness = JournalCompleteness::TailMayBeLost;
    const auto &failure = m_journal->summary().failure;
    if (!failure)
        return {};
    auto reported = *failure;
    markIncomplete(reported);
    return leaf::new_error(reported);
}

ClaimRecovery ClaimStore::takeRecovery()
{
    return std::exchange(m_recovery, {});
}

std::uint64_t ClaimStore::lastIncarnation() const
{
    return m_lastIncarnation;
}

void ClaimStore::start(const boost::asio::any_io_executor &executor, std::uint64_t incarnation,
                       const std::vector<std::string> &snapshot, ClaimSyncedCallback synced,
                       ClaimStoreFailedCallback failed)
{
    m_executor = executor;
    m_incarnation = incarnation;
    m_synced = std::move(synced);
    m_failed = std::move(failed);
    if (m_options.folder.empty())
        return;
    if (m_hasFailed) {
        m_failed(m_openError);
        return;
    }
    // An incomplete journal keeps its name until the new one is on the disk.
    m_journal->setPath(journalPath());
    compact(snapshot);
    if (m_hasFailed)
        return;
    // If this fails or is undone by a power loss, the journal counts as incomplete, which is safe.
    m_options.hooks.remove(incompletePath().c_str());
    m_thread = std::thread([this] { syncLoop(); });
    m_lazySync.emplace(m_executor);
    scheduleLazySync();
}

void ClaimStore::append(const wire::ClaimJournalRecord &record, std::uint64_t token)
{
    if (m_options.folder.empty()) {
        // Nothing is persisted: after a restart every older key counts as unknown.
        if (token != 0)
            m_synced(token);
        return;
    }
    if (m_hasFailed)
        return;
    if (const auto error = errorOf([&] { return m_journal->append(record.SerializeAsString()); })) {
        fail(*error);
        return;
    }
    ++m_appended;
    if (token == 0)
        return;
    m_pending.push_back({m_appended, token});
    requestSync();
}

bool ClaimStore::needsCompaction() const
{
    return m_journal && !m_hasFailed && m_journal->size() > m_options.compactionThresholdBytes
        && m_journal->size() > 2 * m_compactedSize;
}

void ClaimStore::compact(const std::vector<std::string> &snapshot)
{
    std::vector<std::string> records{incarnationRecord(m_options.bootId(), m_incarnation)};
    records.insert(records.end(), snapshot.begin(), snapshot.end());
    const std::lock_guard lock(m_fileMutex);
    if (const auto error = errorOf([&] { return m_journal->replace(records); }))
        fail(*error);
    else
        m_compactedSize = m_journal->size();
}

bool ClaimStore::hasFailed() const
{
    return m_hasFailed;
}

std::uint64_t ClaimStore::size() const
{
    return m_journal ? m_journal->size() : 0;
}

void ClaimStore::syncLoop()
{
    std::unique_lock lock(m_mutex);
    for (;;) {
        m_syncCondition.wait(lock, [this] { return m_isStopping || m_syncWanted > m_syncDone; });
        if (m_isStopping)
            return;
        const auto target = m_syncWanted;
        lock.unlock();
        std::optional<StepError> error;
        {
            const std::lock_guard fileLock(m_fileMutex);
            error = errorOf([this] { return m_journal->sync(); });
        }
        boost::asio::post(m_executor, [this, isAlive = m_isAlive, target, error] {
            if (!*isAlive)
                return;
            if (error)
                fail(*error);
            else
                synced(target);
        });
        lock.lock();
        if (error)
            return;
        m_syncDone = target;
    }
}

void ClaimStore::requestSync()
{
    {
        const std::lock_guard lock(m_mutex);
        m_syncWanted = m_appended;
    }
    m_syncCondition.notify_one();
}

void ClaimStore::scheduleLazySync()
{
    m_lazySync->expires_after(lazySyncInterval);
    m_lazySync->async_wait([this, isAlive = m_isAlive](boost::system::error_code ec) {
        if (ec || !*isAlive || m_hasFailed)
            return;
        requestSync();
        scheduleLazySync();
    });
}

void ClaimStore::synced(std::uint64_t sequence)
{
    while (!m_hasFailed && !m_pending.empty() && m_pending.front().sequence <= sequence) {
        const auto token = m_pending.front().token;
        m_pending.pop_front();
        m_synced(token);
    }
    // While records are written, each states what was synced before it.
    if (m_hasFailed || sequence != m_appended)
        return;
    if (const auto error = errorOf([this] { return m_journal->markSynced(); }))
        fail(*error);
}

void ClaimStore::markIncomplete(StepError &error) const
{
    // Renaming works on a full disk too. If start() could not replace a marked journal, there is no other.
    if (m_options.hooks.rename(journalPath().c_str(), incompletePath().c_str()) != 0 && errno != ENOENT)
        error.detail += std::string("; can't mark the journal as incomplete: ") + std::strerror(errno)
            + "; before the next start, rename it to " + incompletePath();
}

void ClaimStore::fail(const StepError &error)
{
    if (m_hasFailed)
        return;
    m_hasFailed = true;
    m_pending.clear();
    auto reported = error;
    markIncomplete(reported);
    m_failed(reported);
}

std::string ClaimStore::journalPath() const
{
    return m_options.folder + "/claims";
}

std::string ClaimStore::incompletePath() const
{
    return m_options.folder + "/claims.incomplete";
}

} // namespace Citronpitch
