#pragma once

#include "citronpitch/steperror.h"

#include <boost/leaf.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <vector>

namespace Citronpitch {

/// Version of the file format, stored in the file header.
constexpr std::uint32_t journalFormatVersion = 1;

/// Maximum size of a record in bytes.
constexpr std::size_t maximumRecordBytes = std::size_t{64} << 20;

/// Step of an error that reports damaged content rather than an I/O failure.
inline constexpr std::string_view checkJournalStep = "check journal";

/// System calls that tests replace to inject disk failures, with the semantics of write(), fdatasync(),
/// rename(), and fsync() of a folder.
struct JournalHooks
{
    std::function<ssize_t(int descriptor, const void *bytes, std::size_t size)> write;
    std::function<int(int descriptor)> sync;
    std::function<int(const char *from, const char *to)> rename;
    std::function<int(int descriptor)> syncFolder;
};

/// What Journal::open() found in the file.
struct JournalSummary
{
    std::uint64_t records = 0;
    /// Size of the content that was kept.
    std::uint64_t bytes = 0;
    /// Size of the content behind the last kept record, which was dropped.
    std::uint64_t droppedBytes = 0;
};

/**
 * @brief Stores checksummed records in an append-only file.
 *
 * A record survives the end of the process once append() has returned, and a power loss once sync() has.
 * Opening the file truncates a torn or damaged last record and trailing zeros; a damaged record before the
 * end is an error that names the file and the offset. Errors are StepError values whose peer is the path of
 * the file. Used by ClaimStore and ConfigurationStore.
 */
class Journal
{
public:
    /// Opens or creates the file at @p path. The folder must exist.
    static boost::leaf::result<Journal> open(const std::string &path, const JournalHooks &hooks = {});

    ~Journal();
    Journal(Journal &&other) noexcept;
    Journal &operator=(Journal &&other) noexcept;
    Journal(const Journal &) = delete;
    Journal &operator=(const Journal &) = delete;

    /// The records found in the file when it was opened, in order; may be called once.
    std::vector<std::string> takeRecovered();

    const JournalSummary &summary() const;

    /// Appends @p record. Fails if it is larger than @ref maximumRecordBytes; after a failed write,
    /// every later append() fails.
    boost::leaf::result<void> append(std::string_view record);

    /// Syncs all appended records to the disk. May be called from another thread than append().
    boost::leaf::result<void> sync() const;

    /// Atomically replaces the whole content by @p records: writes and syncs a new file and renames it.
    boost::leaf::result<void> replace(const std::vector<std::string> &records);

    /// Size of the file in bytes.
    std::uint64_t size() const;

private:
    Journal() = default;

    bool writeAll(int descriptor, std::string_view bytes) const;

    std::string m_path;
    JournalHooks m_hooks;
    int m_descriptor = -1;
    std::uint64_t m_size = 0;
    JournalSummary m_summary;
    std::vector<std::string> m_recovered;
    bool m_hasFailed = false;
};

} // namespace Citronpitch
