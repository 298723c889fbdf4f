#pragma once

#include "store/journal.h"
#include "support/powerloss.h"

#include <cstdint>
#include <filesystem>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace Citronpitch {

/**
 * @brief Disk of a journal in a test: a power loss keeps what was synced, and any part of the writes after
 * it.
 *
 * The files of a folder are real; what was synced is recorded by hooks. Files must be written through the
 * hooks only.
 */
class UnreliableDisk
{
public:
    UnreliableDisk(std::filesystem::path folder, std::uint64_t seed);

    /// The hooks refer to this object.
    JournalHooks hooks();

    /// Makes @p count syncs of files or folders fail, after the next @p before ones.
    void refuseSyncs(unsigned count, unsigned before = 0);

    /// Changes the files to what @p loss leaves of them. No file may be open.
    void losePower(PowerLoss loss);

private:
    struct File
    {
        std::string synced;
        std::vector<DiskWrite> writes;
    };

    using FilePointer = std::shared_ptr<File>;

    /// A name that changed since the last sync of the folder.
    struct Rename
    {
        std::string from;
        std::string to;
        FilePointer replaced;
    };

    ssize_t write(int descriptor, const void *bytes, std::size_t size);
    int sync(int descriptor);
    int rename(const std::string &from, const std::string &to);
    bool isRefused();

    std::filesystem::path m_folder;
    std::mt19937_64 m_random;
    /// By inode number.
    std::map<std::uint64_t, FilePointer> m_files;
    std::vector<Rename> m_renames;
    unsigned m_syncsBeforeRefusal = 0;
    unsigned m_refusedSyncs = 0;
};

} // namespace Citronpitch
