#include "support/unreliabledisk.h"

#include <cerrno>
#include <cstdio>
#include <fstream>
#include <set>
#include <sys/stat.h>
#include <unistd.h>

namespace Citronpitch {

namespace fs = std::filesystem;

namespace {

struct stat statusOf(const std::string &path)
{
    struct stat status = {};
    ::stat(path.c_str(), &status);
    return status;
}

} // namespace

UnreliableDisk::UnreliableDisk(fs::path folder, std::uint64_t seed)
    : m_folder(std::move(folder))
    , m_random(seed)
{
}

JournalHooks UnreliableDisk::hooks()
{
    JournalHooks hooks;
    hooks.write = [this](int descriptor, const void *bytes, std::size_t size) {
        return write(descriptor, bytes, size);
    };
    hooks.sync = [this](int descriptor) {
        const int result = sync(descriptor);
        if (result != 0 && m_dropsWritesOfRefusedSyncs)
            dropUnsynced(descriptor);
        return result;
    };
    hooks.rename = [this](const char *from, const char *to) { return rename(from, to); };
    hooks.remove = [this](const char *path) { return remove(path); };
    hooks.syncFolder = [this](int) { return syncFolder(); };
    return hooks;
}

void UnreliableDisk::refuseSyncs(unsigned count, unsigned before)
{
    const std::lock_guard lock(m_mutex);
    m_syncsBeforeRefusal = before;
    m_refusedSyncs = count;
}

void UnreliableDisk::dropWritesOfRefusedSyncs()
{
    m_dropsWritesOfRefusedSyncs = true;
}

void UnreliableDisk::dropUnsynced(int descriptor)
{
    const std::lock_guard lock(m_mutex);
    struct stat status = {};
    ::fstat(descriptor, &status);
    if (const auto &file = m_files[status.st_ino])
        file->writes.clear();
}

void UnreliableDisk::losePower(PowerLoss loss)
{
    const std::lock_guard lock(m_mutex);
    std::map<std::string, FilePointer> names;
    for (const auto &it : fs::directory_iterator(m_folder)) {
        names[it.path()] = fileAt(it.path());
    }
    undoNameChanges(names, loss);
    m_files.clear();
    fs::remove_all(m_folder);
    fs::create_directories(m_folder);
    for (const auto &[name, file] : names) {
        if (!file)
            continue;
        auto content = contentAfter(loss, file->synced, file->writes, m_random);
        std::ofstream(name, std::ios::binary) << content;
        m_files[statusOf(name).st_ino] = std::make_shared<File>(File{std::move(content), {}});
    }
}

ssize_t UnreliableDisk::write(int descriptor, const void *bytes, std::size_t size)
{
    const std::lock_guard lock(m_mutex);
    struct stat status = {};
    ::fstat(descriptor, &status);
    auto &file = m_files[status.st_ino];
    if (!file || status.st_size == 0)
        file = std::make_shared<File>();
    const auto n = ::write(descriptor, bytes, size);
    if (n > 0)
        file->writes.push_back({static_cast<std::uint64_t>(status.st_size),
                                std::string(static_cast<const char *>(bytes), static_cast<std::size_t>(n))});
    return n;
}

int UnreliableDisk::sync(int descriptor)
{
    const std::lock_guard lock(m_mutex);
    if (isRefused())
        return -1;
    struct stat status = {};
    ::fstat(descriptor, &status);
    if (const auto &file = m_files[status.st_ino]) {
        for (const auto &it : file->writes)
            writeAt(file->synced, it.offset, it.bytes);
        file->writes.clear();
    }
    return 0;
}

int UnreliableDisk::rename(const std::string &from, const std::string &to)
{
    const std::lock_guard lock(m_mutex);
    NameChange change{from, to, fileAt(from), fileAt(to)};
    const auto replacedInode = statusOf(to).st_ino;
    if (std::rename(from.c_str(), to.c_str()) != 0)
        return -1;
    m_nameChanges.push_back(std::move(change));
    m_files.erase(replacedInode);
    return 0;
}

int UnreliableDisk::remove(const std::string &path)
{
    const std::lock_guard lock(m_mutex);
    NameChange change{path, "", fileAt(path), nullptr};
    const auto inode = statusOf(path).st_ino;
    if (::unlink(path.c_str()) != 0)
        return -1;
    m_nameChanges.push_back(std::move(change));
    m_files.erase(inode);
    return 0;
}

int UnreliableDisk::syncFolder()
{
    const std::lock_guard lock(m_mutex);
    if (isRefused())
        return -1;
    m_nameChanges.clear();
    return 0;
}

UnreliableDisk::FilePointer UnreliableDisk::fileAt(const std::string &path)
{
    if (!fs::exists(path))
        return nullptr;
    auto &file = m_files[statusOf(path).st_ino];
    if (!file)
        file = std::make_shared<File>();
    return file;
}

void UnreliableDisk::undoNameChanges(std::map<std::string, FilePointer> &names, PowerLoss loss)
{
    std::set<std::string> kept;
    for (; !m_nameChanges.empty(); m_nameChanges.pop_back()) {
        const auto &last = m_nameChanges.back();
        // A change that was kept presupposes the earlier ones of the same names.
        const bool isLost =
            !kept.contains(last.from) && !kept.contains(last.to) && losesRename(loss, m_random);
        if (!isLost) {
            kept.insert(last.from);
            if (!last.to.empty())
                kept.insert(last.to);
            continue;
        }
        names[last.from] = last.moved;
        if (!last.to.empty())
            names[last.to] = last.replaced;
    }
}

bool UnreliableDisk::isRefused()
{
    if (m_syncsBeforeRefusal > 0) {
        --m_syncsBeforeRefusal;
        return false;
    }
    if (m_refusedSyncs == 0)
        return false;
    --m_refusedSyncs;
    errno = EIO;
    return true;
}

} // namespace Citronpitch
