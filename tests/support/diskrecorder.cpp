// Library for LD_PRELOAD: records what a process has synced of the files below a folder; see diskrecord.h.
#include "support/diskrecord.h"

#include <cerrno>
#include <chrono>
#include <climits>
#include <cstdio>
#include <cstdlib>
#include <dlfcn.h>
#include <fcntl.h>
#include <string>
#include <sys/stat.h>
#include <thread>
#include <unistd.h>

namespace {

using namespace Citronpitch;

template <typename Function> Function next(const char *name)
{
    return reinterpret_cast<Function>(::dlsym(RTLD_NEXT, name));
}

std::string variable(const char *name)
{
    const char *value = std::getenv(name);
    return value == nullptr ? std::string() : value;
}

/// @brief The record of the folder that the environment names.
class DiskRecorder
{
public:
    using Write = ssize_t (*)(int, const void *, std::size_t);
    using Sync = int (*)(int);
    using Rename = int (*)(const char *, const char *);

    static const DiskRecorder &instance()
    {
        static const DiskRecorder recorder;
        return recorder;
    }

    ssize_t write(int descriptor, const void *bytes, std::size_t size) const
    {
        struct stat status = {};
        if (!pathOf(descriptor, S_IFREG, status).empty())
            append("write " + std::to_string(status.st_ino) + " " + std::to_string(status.st_size));
        return m_write(descriptor, bytes, size);
    }

    int sync(int descriptor, Sync function) const
    {
        struct stat status = {};
        const auto file = pathOf(descriptor, S_IFREG, status);
        const auto folder = file.empty() ? pathOf(descriptor, S_IFDIR, status) : std::string();
        if (file.empty() && folder.empty())
            return function(descriptor);
        std::this_thread::sleep_for(m_syncDelay);
        if (const int result = function(descriptor); result != 0)
            return result;
        if (!file.empty())
            append("sync " + std::to_string(status.st_ino) + " " + std::to_string(status.st_size));
        else
            append("folder \"" + folder + "\"");
        return 0;
    }

    int rename(const char *from, const char *to) const
    {
        if (!isRecorded(to))
            return m_rename(from, to);
        struct stat replaced = {};
        const bool hasReplaced = ::stat(to, &replaced) == 0;
        // The link also keeps the inode number from being used for another file.
        if (hasReplaced && ::link(to, (m_record + "." + std::to_string(replaced.st_ino)).c_str()) != 0
            && errno != EEXIST)
            fail("link");
        if (const int result = m_rename(from, to); result != 0)
            return result;
        append("rename " + std::to_string(hasReplaced ? replaced.st_ino : 0) + " \"" + from + "\" \"" + to
               + "\"");
        return 0;
    }

private:
    DiskRecorder()
        : m_write(next<Write>("write"))
        , m_rename(next<Rename>("rename"))
        , m_folder(variable(DiskRecord::folderVariable))
        , m_record(variable(DiskRecord::recordVariable))
        , m_syncDelay(std::atoi(variable(DiskRecord::syncDelayVariable).c_str()))
    {
        if (m_folder.empty())
            return;
        m_folder += "/";
        m_descriptor = ::open(m_record.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
        if (m_descriptor < 0)
            fail("open");
    }

    /// A test whose record is not complete must not pass.
    [[noreturn]] static void fail(const char *step)
    {
        std::perror(step);
        std::abort();
    }

    bool isRecorded(const std::string &path) const
    {
        return !m_folder.empty() && path.starts_with(m_folder);
    }

    /// Path of @p descriptor if it is a file of @p type below the folder; else empty.
    std::string pathOf(int descriptor, mode_t type, struct stat &status) const
    {
        if (m_folder.empty() || ::fstat(descriptor, &status) != 0 || (status.st_mode & S_IFMT) != type)
            return {};
        std::string path(PATH_MAX, '\0');
        const auto link = "/proc/self/fd/" + std::to_string(descriptor);
        const auto n = ::readlink(link.c_str(), path.data(), path.size());
        path.resize(n < 0 ? 0 : static_cast<std::size_t>(n));
        return isRecorded(path) ? path : std::string();
    }

    /// A line is one write, so that a record of several threads or of a killed process has whole lines.
    void append(const std::string &line) const
    {
        const auto text = line + "\n";
        if (m_write(m_descriptor, text.data(), text.size()) != static_cast<ssize_t>(text.size()))
            fail("write");
    }

    Write m_write;
    Rename m_rename;
    std::string m_folder;
    std::string m_record;
    std::chrono::milliseconds m_syncDelay;
    int m_descriptor = -1;
};

} // namespace

extern "C" ssize_t write(int descriptor, const void *bytes, std::size_t size)
{
    return DiskRecorder::instance().write(descriptor, bytes, size);
}

extern "C" int fdatasync(int descriptor)
{
    static const auto function = next<DiskRecorder::Sync>("fdatasync");
    return DiskRecorder::instance().sync(descriptor, function);
}

extern "C" int fsync(int descriptor)
{
    static const auto function = next<DiskRecorder::Sync>("fsync");
    return DiskRecorder::instance().sync(descriptor, function);
}

extern "C" int rename(const char *from, const char *to) noexcept
{
    return DiskRecorder::instance().rename(from, to);
}
