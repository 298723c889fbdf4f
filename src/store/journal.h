#pragma once

#include "citronpitch/steperror.h"
#include "store/journalformat.h"

#include <boost/leaf.hpp>

#include <atomic>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <unistd.h>
#include <vector>

namespace Citronpitch {

/// Step of an error that reports damaged content rather than an I/O failure.
inline constexpr std::string_view checkJournalStep = "check journal";

/// System calls that tests replace to inject disk failures. remove() is called by ClaimStore only.
struct JournalHooks
{
    std::function<ssize_t(int descriptor, const void *bytes, std::size_t size)> write = ::write;
    std::function<int(int descriptor)> sync = ::fdatasync;
    std::function<int(const char *from, const char *to)> rename = ::rename;
    std::function<int(const char *path)> remove = ::unlink;
    std::function<int(int descriptor)> syncFolder = ::fsync;
};

/// What Journal::open() found in the file.
struct JournalSummary
{
    std::uint64_t records = 0;
    /// Size of the content that was kept.
    std::uint64_t bytes = 0;
    /// Size of the content that is known to have been synced before.
    std::uint64_t syncedBytes = 0;
    /// Size of the content behind the last kept record, which was dropped; it had not been synced.
    std::uint64_t droppedBytes = 0;
    /// The error that kept open() from writing the records to the disk, and with it the journal from being
    /// written at all.
    std::optional<StepError> failure;
};

/**
 * @brief Stores checksummed records in an append-only file.
 *
 * A record survives the end of the process once append() has returned, and a power loss once sync() has. Of
 * the writes after the last sync a power loss may keep any, in whole or in part: open() drops the first
 * record that is not intact and everything behind it, provided that it had not been synced. Damage to what
 * had been synced is an error that names the file and the offset. The file states what was synced in the
 * records and marks that follow; damage to the records of the newest sync is recognized only once a mark was
 * written.
 *
 * What open() returns is on the disk: records that were perhaps never synced are written to a new file first.
 * Errors are StepError values whose peer is the path of the file. Used by ClaimStore and ConfigurationStore.
 */
class Journal
{
public:
    /**
     * Opens or creates the file at @p path. The folder must exist.
     *
     * If the disk refuses to write, JournalSummary::failure is set: the records can be read, but may not
     * survive a power loss, and nothing can be appended.
     *
     * If @p cutPath isn't empty, a file of which something is dropped is renamed to @p cutPath before that,
     * and stays there.
     */
    static boost::leaf::result<Journal> open(const std::string &path, const JournalHooks &hooks = {},
                                             const std::string &cutPath = {});

    /// Reads the records of the file at @p path without changing it; none if there is no file. They may not
    /// survive a power loss. Errors as of open().
    static boost::leaf::result<std::vector<std::string>> peek(const std::string &path);

    ~Journal();
    Journal(Journal &&other) noexcept;
    Journal &operator=(Journal &&other) noexcept;
    Journal(const Journal &) = delete;
    Journal &operator=(const Journal &) = delete;

    /// The records found in the file when it was opened, in order; may be called once.
    std::vector<std::string> takeRecovered();

    const JournalSummary &summary() const;

    /// Appends @p record. Fails if it is larger than @ref maximumRecordBytes; after a failed append(), sync()
    /// or replace(), everything else fails.
    boost::leaf::result<void> append(std::string_view record);

    /// Syncs all appended records to the disk. May be called from another thread than append(), but not
    /// during replace().
    boost::leaf::result<void> sync();

    /// Writes a mark of what was synced, unless the file states it already; to be called after sync() and
    /// from the thread of append().
    boost::leaf::result<void> markSynced();

    /// Atomically replaces the whole content by @p records: writes and syncs a new file and renames it.
    boost::leaf::result<void> replace(const std::vector<std::string> &records);

    /// Lets later calls of replace() write the file at @p path, in the same folder; the present file is kept.
    void setPath(const std::string &path);

    /// Size of the file in bytes.
    std::uint64_t size() const;

private:
    Journal(std::string path, JournalHooks hooks);

    boost::leaf::result<void> read(const std::string &cutPath);
    boost::leaf::result<void> persistRecovered(const JournalScan &scan, const std::string &cutPath);
    boost::leaf::result<void> write(std::string_view bytes, std::string_view step);
    boost::leaf::error_id earlierError(std::string_view step) const;
    bool writeAll(int descriptor, std::string_view bytes) const;

    std::string m_path;
    JournalHooks m_hooks;
    int m_descriptor = -1;
    std::uint64_t m_salt = 0;
    std::atomic<std::uint64_t> m_size = 0;
    std::atomic<std::uint64_t> m_syncedEnd = 0;
    /// Newest statement in the file of what was synced.
    std::uint64_t m_markedEnd = 0;
    JournalSummary m_summary;
    std::vector<std::string> m_recovered;
    std::atomic<bool> m_hasFailed = false;
    /// The errno of the append() or sync() that failed; zero if none did.
    std::atomic<int> m_failedErrno = 0;
};

} // namespace Citronpitch
