#include "store/journal.h"

#include "store/folders.h"
#include "store/randomnumber.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <unistd.h>
#include <utility>

namespace Citronpitch {

namespace leaf = boost::leaf;

namespace {

leaf::error_id fileError(std::string_view step, const std::string &path, const std::string &detail)
{
    return leaf::new_error(StepError{std::string(step), path, detail});
}

leaf::error_id systemError(std::string_view step, const std::string &path)
{
    return fileError(step, path, std::strerror(errno));
}

leaf::result<std::string> readAll(int descriptor, const std::string &path)
{
    std::string content;
    std::array<char, 65536> buf{};
    for (;;) {
        const auto n = ::read(descriptor, buf.data(), buf.size());
        if (n < 0)
            return systemError("read journal", path);
        if (n == 0)
            return content;
        content.append(buf.data(), static_cast<std::size_t>(n));
    }
}

leaf::result<JournalScan> scan(const std::string &content, const std::string &path)
{
    std::uint32_t version = 0;
    if (content.size() < unmarkedJournalHeaderBytes || !content.starts_with(journalMagic))
        return fileError(checkJournalStep, path, "the file is not a journal");
    std::memcpy(&version, content.data() + journalMagic.size(), sizeof version);
    if (version != journalFormatVersion && version != unmarkedJournalFormatVersion)
        return fileError(checkJournalStep, path,
                         "format version " + std::to_string(version) + " is not supported");
    auto found = version == journalFormatVersion ? scanJournal(content) : scanUnmarkedJournal(content);
    if (found.isDamaged())
        return fileError(checkJournalStep, path,
                         "the record at offset " + std::to_string(found.end)
                             + " is damaged, although the file had been synced up to offset "
                             + std::to_string(found.syncedEnd)
                             + "; check the disk, and move the file away to start without its records");
    return found;
}

} // namespace

leaf::result<Journal> Journal::open(const std::string &path, const JournalHooks &hooks,
                                    const std::string &cutPath)
{
    Journal journal(path, hooks);
    BOOST_LEAF_CHECK(journal.read(cutPath));
    return journal;
}

leaf::result<std::vector<std::string>> Journal::peek(const std::string &path)
{
    const int descriptor = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
    if (descriptor < 0 && errno == ENOENT)
        return std::vector<std::string>();
    if (descriptor < 0)
        return systemError("open journal", path);
    auto content = readAll(descriptor, path);
    ::close(descriptor);
    if (!content)
        return content.error();
    if (content->empty())
        return std::vector<std::string>();
    BOOST_LEAF_ASSIGN(auto found, scan(*content, path));
    return std::move(found.records);
}

Journal::Journal(std::string path, JournalHooks hooks)
    : m_path(std::move(path))
    , m_hooks(std::move(hooks))
{
}

Journal::~Journal()
{
    if (m_descriptor >= 0)
        ::close(m_descriptor);
}

Journal::Journal(Journal &&other) noexcept
    : m_path(std::move(other.m_path))
    , m_hooks(std::move(other.m_hooks))
    , m_descriptor(std::exchange(other.m_descriptor, -1))
    , m_salt(other.m_salt)
    , m_size(other.m_size.load())
    , m_syncedEnd(other.m_syncedEnd.load())
    , m_markedEnd(other.m_markedEnd)
    , m_summary(std::move(other.m_summary))
    , m_recovered(std::move(other.m_recovered))
    , m_hasFailed(other.m_hasFailed.load())
    , m_failedErrno(other.m_failedErrno.load())
{
}

Journal &Journal::operator=(Journal &&other) noexcept
{
    std::swap(m_path, other.m_path);
    std::swap(m_hooks, other.m_hooks);
    std::swap(m_descriptor, other.m_descriptor);
    std::swap(m_salt, other.m_salt);
    other.m_size = m_size.exchange(other.m_size);
    other.m_syncedEnd = m_syncedEnd.exchange(other.m_syncedEnd);
    std::swap(m_markedEnd, other.m_markedEnd);
    std::swap(m_summary, other.m_summary);
    std::swap(m_recovered, other.m_recovered);
    other.m_hasFailed = m_hasFailed.exchange(other.m_hasFailed);
    other.m_failedErrno = m_failedErrno.exchange(other.m_failedErrno);
    return *this;
}

leaf::result<void> Journal::read(const std::string &cutPath)
{
    m_descriptor = ::open(m_path.c_str(), O_RDWR | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    if (m_descriptor < 0)
        return systemError("open journal", m_path);
    BOOST_LEAF_ASSIGN(auto content, readAll(m_descriptor, m_path));
    // A file gets its name with its header synced; an empty one was only just created.
    if (content.empty())
        return replace({});
    BOOST_LEAF_ASSIGN(auto found, scan(content, m_path));
    m_recovered = std::move(found.records);
    m_salt = found.salt;
    m_size = content.size();
    m_syncedEnd = found.syncedEnd;
    m_markedEnd = found.syncedEnd;
    m_summary = {m_recovered.size(), found.end, found.syncedEnd, found.droppedBytes, {}};
    // Journals of claims have hundreds of megabytes.
    content.clear();
    content.shrink_to_fit();
    leaf::try_handle_all([&]() -> leaf::result<void> { return persistRecovered(found, cutPath); },
                         [&](const StepError &error) { m_summary.failure = error; },
                         [&] {
                             m_summary.failure = StepError{"open journal", m_path, "unknown error"};
                         });
    m_hasFailed = m_summary.failure.has_value();
    return {};
}

leaf::result<void> Journal::persistRecovered(const JournalScan &scan, const std::string &cutPath)
{
    if (scan.droppedBytes > 0 && !cutPath.empty() && cutPath != m_path) {
        if (m_hooks.rename(m_path.c_str(), cutPath.c_str()) != 0)
            return systemError("rename journal", m_path);
        m_path = cutPath;
    }
    if (!scan.isStored())
        return replace(m_recovered);
    // An earlier process may have ended between renaming a replaced journal and syncing the folder.
    return syncParentFolder(m_path, m_hooks.syncFolder);
}

std::vector<std::string> Journal::takeRecovered()
{
    return std::exchange(m_recovered, {});
}

const JournalSummary &Journal::summary() const
{
    return m_summary;
}

leaf::result<void> Journal::append(std::string_view record)
{
    if (record.size() > maximumRecordBytes)
        return fileError("append to journal", m_path, "the record is too large");
    const auto syncedEnd = m_syncedEnd.load();
    BOOST_LEAF_CHECK(write(encodeRecord(record, m_size, syncedEnd, m_salt), "append to journal"));
    m_markedEnd = syncedEnd;
    return {};
}

leaf::result<void> Journal::sync()
{
    if (m_hasFailed)
        return earlierError("sync journal");
    const auto size = m_size.load();
    if (m_hooks.sync(m_descriptor) != 0) {
        m_failedErrno = errno;
        m_hasFailed = true;
        return fileError("sync journal", m_path, std::strerror(m_failedErrno));
    }
    m_syncedEnd = size;
    return {};
}

leaf::result<void> Journal::markSynced()
{
    const auto syncedEnd = m_syncedEnd.load();
    if (syncedEnd == m_markedEnd)
        return {};
    BOOST_LEAF_CHECK(write(encodeSyncMark(m_size, syncedEnd, m_salt), "mark journal as synced"));
    m_markedEnd = syncedEnd;
    return {};
}

leaf::result<void> Journal::replace(const std::vector<std::string> &records)
{
    if (m_hasFailed)
        return earlierError("replace journal");
    m_hasFailed = true;
    const auto path = m_path + ".new";
    const int descriptor = ::open(path.c_str(), O_RDWR | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC, 0600);
    if (descriptor < 0)
        return systemError("open journal", path);
    const auto salt = randomNonZero();
    std::uint64_t size = 0;
    // The file gets its name only once all of it is synced.
    const bool isWritten = encodeJournal(records, salt, [&](std::string_view part) {
        size += part.size();
        return writeAll(descriptor, part);
    });
    if (!isWritten || m_hooks.sync(descriptor) != 0 || m_hooks.rename(path.c_str(), m_path.c_str()) != 0) {
        const auto error = systemError("replace journal", path);
        ::close(descriptor);
        return error;
    }
    if (m_descriptor >= 0)
        ::close(m_descriptor);
    m_descriptor = descriptor;
    m_salt = salt;
    m_size = size;
    m_syncedEnd = size;
    m_markedEnd = size;
    BOOST_LEAF_CHECK(syncParentFolder(m_path, m_hooks.syncFolder));
    m_hasFailed = false;
    return {};
}

void Journal::setPath(const std::string &path)
{
    m_path = path;
}

std::uint64_t Journal::size() const
{
    return m_size;
}

leaf::result<void> Journal::write(std::string_view bytes, std::string_view step)
{
    if (m_hasFailed)
        return earlierError(step);
    if (!writeAll(m_descriptor, bytes)) {
        m_failedErrno = errno;
        m_hasFailed = true;
        return fileError(step, m_path, std::strerror(m_failedErrno));
    }
    m_size += bytes.size();
    return {};
}

leaf::error_id Journal::earlierError(std::string_view step) const
{
    const int error = m_failedErrno;
    const std::string detail = "an earlier write or sync failed";
    return fileError(step, m_path, error == 0 ? detail : detail + ": " + std::strerror(error));
}

bool Journal::writeAll(int descriptor, std::string_view bytes) const
{
    while (!bytes.empty()) {
        const auto n = m_hooks.write(descriptor, bytes.data(), bytes.size());
        if (n < 0 && errno == EINTR)
            continue;
        if (n <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
}

} // namespace Citronpitch
