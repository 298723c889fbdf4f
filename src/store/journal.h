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

/// Version of the file format, held in the header of every journal.
constexpr std::uint32_t journalFormatVersion = 1;

/// Largest record, in bytes.
constexpr std::size_t maximumRecordBytes = std::size_t{64} << 20;

/// Step of an error that says that the content of a journal is damaged, and no failure of the disk.
inline constexpr std::string_view checkJournalStep = "check journal";

/// Calls of the system that a test replaces to make the disk fail. Each works as the call of its name.
struct JournalHooks
{
    std::function<ssize_t(int descriptor, const void *bytes, std::size_t size)> write;
    std::function<int(int descriptor)> sync;
};

/**
 * @brief An append-only file of checksummed records in the data folder.
 *
 * A record survives the end of the process once append() has returned, and the loss of power once sync() has.
 * A torn record at the end of the file is cut off when the file is opened; a damaged one before the end is an
 * error that names the file and the offset. Used by the claim store and the configuration store. Errors are
 * StepError values whose peer is the path of the file.
 */
class Journal
{
public:
    /// Opens the file at @p path, or makes it. The folder must exist.
    static boost::leaf::result<Journal> open(const std::string &path, const JournalHooks &hooks = {});

    ~Journal();
    Journal(Journal &&other) noexcept;
    Journal &operator=(Journal &&other) noexcept;
    Journal(const Journal &) = delete;
    Journal &operator=(const Journal &) = delete;

    /// The records that were in the file when it was opened, in order; may be called once.
    std::vector<std::string> takeRecovered();

    /// Bytes of a torn record that were cut off when the file was opened.
    std::uint64_t tornBytes() const;

    /// Adds @p record to the end. After an error nothing more may be appended.
    boost::leaf::result<void> append(std::string_view record);

    /// Forces everything appended so far to the disk. Safe to call from another thread than append().
    boost::leaf::result<void> sync() const;

    /// Replaces the whole content by @p records: another file is written, synced and renamed.
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
    std::uint64_t m_tornBytes = 0;
    std::vector<std::string> m_recovered;
    bool m_hasFailed = false;
};

} // namespace Citronpitch
