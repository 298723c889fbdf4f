#include "support/unreliabledisk.h"

#include <cerrno>
#include <cstdio>
#include <fstream>
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
    hooks.sync = [this](int descriptor) { return sync(descriptor); };
    hooks.rename = [this](const char *from, const char *to) { return rename(from, to); };
    hooks.syncFolder = [this](int) {
        if (isRefused())
            return -1;
        m_renames.clear();
        return 0;
    };
    return hooks;
}

void UnreliableDisk::refuseSyncs(unsigned count, unsigned before)
{
    m_syncsBeforeRefusal = before;
    m_refusedSyncs = count;
}

void UnreliableDisk::losePower(PowerLoss loss)
{
    std::map<std::string, FilePointer> names;
    for (const auto &it : fs::directory_iterator(m_folder)) {
        auto &file = m_files[statusOf(it.path()).st_ino];
        if (!file)
            file = std::make_shared<File>();
        names[it.path()] = file;
    }
    // Renames of one name depend on each other: the newest ones may be lost.
    for (; !m_renames.empty(); m_renames.pop_back()) {
        if (!losesRename(loss, m_random))
            break;
        const auto &last = m_renames.back();
        names[last.from] = names[last.to];
        names[last.to] = last.replaced;
    }
    m_renames.clear();
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
    const auto replaced = fs::exists(to) ? m_files[statusOf(to).st_ino] : nullptr;
    if (std::rename(from.c_str(), to.c_str()) != 0)
        return -1;
    m_renames.push_back({from, to, replaced});
    return 0;
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
