#pragma once

#include "store/journal.h"
#include "support/powerloss.h"

#include <cstdint>
#include <filesystem>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <vector>

namespace Citronpitch {

/**
 * @brief Disk of a journal in a test: a power loss keeps what was synced, and any part of the writes after
 * it.
 *
 * A rename is atomic: it is kept or lost as a whole, as file systems promise. The files of a folder are real;
 * what was synced is recorded by hooks. Files must be written through the hooks only.
 */
class UnreliableDisk
{
public:
    UnreliableDisk(std::filesystem::path folder, std::uint64_t seed);

    /// The hooks refer to this object.
    JournalHooks hooks();

    /// Makes @p count syncs of files or folders fail, after the next @p before ones.
    void refuseSyncs(unsigned count, unsigned before = 0);

    /// Lets a refused sync of a file count the writes as stored that it did not store: they can be read until
    /// the power loss, but later syncs don't store them either.
    void dropWritesOfRefusedSyncs();

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
    struct NameChange
    {
        std::string from;
        /// Empty if the name was removed.
        std::string to;
        FilePointer moved;
        FilePointer replaced;
    };

    ssize_t write(int descriptor, const void *bytes, std::size_t size);
    int sync(int descriptor);
    void dropUnsynced(int descriptor);
    int rename(const std::string &from, const std::string &to);
    int remove(const std::string &path);
    int syncFolder();
    FilePointer fileAt(const std::string &path);
    bool isRefused();
    void undoNameChanges(std::map<std::string, FilePointer> &names, PowerLoss loss);

    /// A ClaimStore writes and syncs on two threads.
    std::mutex m_mutex;
    std::filesystem::path m_folder;
    std::mt19937_64 m_random;
    /// By inode number.
    std::map<std::uint64_t, FilePointer> m_files;
    std::vector<NameChange> m_nameChanges;
    unsigned m_syncsBeforeRefusal = 0;
    unsigned m_refusedSyncs = 0;
    bool m_dropsWritesOfRefusedSyncs = false;
};

} // namespace Citronpitch
