#include "store/configurationstore.h"

#include "store/folders.h"

#include <boost/asio/post.hpp>

#include <condition_variable>
#include <deque>
#include <filesystem>
#include <mutex>
#include <optional>
#include <stdexcept>
#include <thread>
#include <unistd.h>

namespace Citronpitch {

namespace leaf = boost::leaf;
namespace fs = std::filesystem;

namespace {

using WriteRequest = std::variant<AppendRecords, ReplaceRecords>;

fs::path journalPath(const std::string &dataFolder)
{
    return fs::path(dataFolder) / "configuration" / "journal";
}

Journal openJournal(const std::string &dataFolder)
{
    const auto path = journalPath(dataFolder);
    return leaf::try_handle_all(
        [&]() -> leaf::result<Journal> {
            BOOST_LEAF_CHECK(createFolders(path.parent_path(), ::fsync));
            return Journal::open(path);
        },
        [](const StepError &error) -> Journal { throw std::runtime_error(error.text()); },
        []() -> Journal { throw std::runtime_error("open configuration journal"); });
}

} // namespace

/// @brief Owns the thread that writes the journal, and the queue of its requests.
class ConfigurationStore::Writer
{
public:
    Writer(boost::asio::io_context &io, std::optional<Journal> journal, RecordsSyncedCallback synced,
           StorageFailedCallback failed)
        : m_io(io)
        , m_journal(std::move(journal))
        , m_synced(std::move(synced))
        , m_failed(std::move(failed))
        , m_thread([this] { writeLoop(); })
    {
    }

    ~Writer()
    {
        *m_isAlive = false;
        {
            const std::lock_guard lock(m_mutex);
            m_isStopping = true;
        }
        m_requestsCondition.notify_one();
        m_thread.join();
    }

    void write(WriteRequest request)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_requests.push_back(std::move(request));
        }
        m_requestsCondition.notify_one();
    }

private:
    void writeLoop()
    {
        for (;;) {
            std::unique_lock lock(m_mutex);
            m_requestsCondition.wait(lock, [this] { return m_isStopping || !m_requests.empty(); });
            if (m_requests.empty())
                return;
            auto requests = std::exchange(m_requests, {});
            lock.unlock();
            if (!writeAll(requests))
                return;
        }
    }

    /// Writes @p requests in order and syncs once at the end. Returns false if the journal has failed.
    bool writeAll(const std::deque<WriteRequest> &requests)
    {
        return leaf::try_handle_all(
            [&]() -> leaf::result<bool> {
                for (const auto &it : requests) {
                    if (m_journal)
                        BOOST_LEAF_CHECK(writeOne(it));
                }
                if (m_journal) {
                    BOOST_LEAF_CHECK(m_journal->sync());
                    BOOST_LEAF_CHECK(m_journal->markSynced());
                }
                const auto token =
                    std::visit([](const auto &request) { return request.token; }, requests.back());
                post([this, token] { m_synced(token); });
                return true;
            },
            [&](const StepError &error) {
                post([this, error] { m_failed(error); });
                return false;
            },
            [&] {
                post([this] { m_failed({"write", "configuration journal", "unknown error"}); });
                return false;
            });
    }

    leaf::result<void> writeOne(const WriteRequest &request)
    {
        if (const auto *replace = std::get_if<ReplaceRecords>(&request))
            return m_journal->replace(replace->records);
        for (const auto &it : std::get<AppendRecords>(request).records)
            BOOST_LEAF_CHECK(m_journal->append(it));
        return {};
    }

    void post(std::function<void()> work)
    {
        boost::asio::post(m_io, [work = std::move(work), isAlive = m_isAlive] {
            if (*isAlive)
                work();
        });
    }

    boost::asio::io_context &m_io;
    std::optional<Journal> m_journal;
    RecordsSyncedCallback m_synced;
    StorageFailedCallback m_failed;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
    std::mutex m_mutex;
    std::condition_variable m_requestsCondition;
    std::deque<WriteRequest> m_requests;
    bool m_isStopping = false;
    std::thread m_thread;
};

ConfigurationStore::ConfigurationStore(boost::asio::io_context &io, const std::string &dataFolder,
                                       RecordsSyncedCallback synced, StorageFailedCallback failed)
{
    std::optional<Journal> journal;
    if (!dataFolder.empty()) {
        journal = openJournal(dataFolder);
        m_recovered = journal->takeRecovered();
        m_summary = journal->summary();
    }
    m_writer = std::make_unique<Writer>(io, std::move(journal), std::move(synced), std::move(failed));
}

ConfigurationStore::~ConfigurationStore() = default;

std::vector<std::string> ConfigurationStore::peek(const std::string &dataFolder)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::vector<std::string>> { return Journal::peek(journalPath(dataFolder)); },
        [](const StepError &error) -> std::vector<std::string> { throw std::runtime_error(error.text()); },
        []() -> std::vector<std::string> { throw std::runtime_error("read configuration journal"); });
}

std::vector<std::string> ConfigurationStore::takeRecovered()
{
    return std::exchange(m_recovered, {});
}

const std::optional<JournalSummary> &ConfigurationStore::summary() const
{
    return m_summary;
}

void ConfigurationStore::write(const AppendRecords &append)
{
    m_writer->write(append);
}

void ConfigurationStore::write(const ReplaceRecords &replace)
{
    m_writer->write(replace);
}

} // namespace Citronpitch
