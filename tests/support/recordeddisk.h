#pragma once

#include "support/powerloss.h"

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <map>
#include <string>
#include <vector>

namespace Citronpitch {

/**
 * @brief Disk of a real process that can lose power: a power loss keeps what was synced, and any part of the
 * rest.
 *
 * A library that is loaded into the process records what it syncs; the record lies beside the folder, so that
 * it is there after the process was killed at any moment. Used by PlatformFleet.
 */
class RecordedDisk
{
public:
    /// @p folder is a canonical path.
    explicit RecordedDisk(std::filesystem::path folder);

    /// Environment with which a process is recorded by @p library, and with which each of its syncs takes
    /// @p syncDelay longer.
    std::vector<std::string> environment(const std::string &library,
                                         std::chrono::milliseconds syncDelay) const;

    /// Changes the files to what @p loss leaves of them, which then counts as synced. No process may use
    /// them. Returns the number of writes and renames that had not been synced.
    std::size_t losePower(PowerLoss loss, std::uint64_t seed) const;

    /// Forgets what was recorded; to be called when the folder was removed.
    void clearRecord() const;

private:
    /// Recorded events of a file.
    struct File
    {
        std::uint64_t syncedSize = 0;
        /// Offsets of the writes after the last sync.
        std::vector<std::uint64_t> writes;
    };

    /// A name that changed since the last sync of the folder.
    struct Rename
    {
        std::uint64_t replaced = 0;
        std::string from;
        std::string to;
    };

    struct Record
    {
        /// By inode number.
        std::map<std::uint64_t, File> files;
        std::vector<Rename> renames;
    };

    Record readRecord() const;
    std::filesystem::path replacedFile(std::uint64_t inode) const;

    std::filesystem::path m_folder;
    std::filesystem::path m_record;
};

} // namespace Citronpitch
