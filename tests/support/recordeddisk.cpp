#include "support/recordeddisk.h"

#include "support/diskrecord.h"

#include <algorithm>
#include <fstream>
#include <iomanip>
#include <random>
#include <sstream>
#include <stdexcept>
#include <sys/stat.h>
#include <utility>

namespace Citronpitch {

namespace fs = std::filesystem;

namespace {

std::uint64_t inodeOf(const std::string &path)
{
    struct stat status = {};
    if (::stat(path.c_str(), &status) != 0)
        throw std::runtime_error("can't find " + path);
    return status.st_ino;
}

std::string contentOf(const std::string &path)
{
    std::ostringstream content;
    content << std::ifstream(path, std::ios::binary).rdbuf();
    return content.str();
}

/// The writes to a file with @p content that began at @p offsets; one that was never made has no bytes.
std::vector<DiskWrite> writesOf(const std::string &content, const std::vector<std::uint64_t> &offsets)
{
    std::vector<DiskWrite> writes;
    for (std::size_t i = 0; i < offsets.size(); ++i) {
        const auto end = i + 1 < offsets.size() ? offsets[i + 1] : content.size();
        if (offsets[i] < std::min<std::uint64_t>(end, content.size()))
            writes.push_back({offsets[i], content.substr(offsets[i], end - offsets[i])});
    }
    return writes;
}

} // namespace

RecordedDisk::RecordedDisk(fs::path folder)
    : m_folder(std::move(folder))
    , m_record(m_folder.string() + ".disk")
{
}

std::vector<std::string> RecordedDisk::environment(const std::string &library,
                                                   std::chrono::milliseconds syncDelay) const
{
    // The loader only warns of a library that is missing.
    if (!fs::exists(library))
        throw std::runtime_error("can't find " + library);
    return {"LD_PRELOAD=" + library, std::string(DiskRecord::folderVariable) + "=" + m_folder.string(),
            std::string(DiskRecord::recordVariable) + "=" + m_record.string(),
            std::string(DiskRecord::syncDelayVariable) + "=" + std::to_string(syncDelay.count())};
}

std::size_t RecordedDisk::losePower(PowerLoss loss, std::uint64_t seed) const
{
    // The folder of a lost disk is created at the next start.
    if (!fs::exists(m_folder))
        return 0;
    std::mt19937_64 random(seed);
    auto record = readRecord();
    auto unsynced = record.renames.size();
    // The file that has the content of each name.
    std::map<std::string, std::string> names;
    for (const auto &it : fs::recursive_directory_iterator(m_folder)) {
        if (it.is_regular_file())
            names[it.path()] = it.path();
    }
    // Renames of one name depend on each other: the newest ones may be lost.
    for (; !record.renames.empty() && losesRename(loss, random); record.renames.pop_back()) {
        const auto &last = record.renames.back();
        names[last.from] = names[last.to];
        names[last.to] = last.replaced == 0 ? std::string() : replacedFile(last.replaced).string();
    }
    std::map<std::string, std::string> contents;
    for (const auto &[name, path] : names) {
        if (path.empty())
            continue;
        auto content = contentOf(path);
        if (const auto file = record.files.find(inodeOf(path)); file != record.files.end()) {
            const auto writes = writesOf(content, file->second.writes);
            unsynced += writes.size();
            content.resize(std::min<std::uint64_t>(content.size(), file->second.syncedSize));
            content = contentAfter(loss, std::move(content), writes, random);
        }
        contents[name] = std::move(content);
    }
    for (const auto &[name, path] : names)
        fs::remove(name);
    for (const auto &[name, content] : contents)
        std::ofstream(name, std::ios::binary) << content;
    clearRecord();
    return unsynced;
}

void RecordedDisk::clearRecord() const
{
    const auto prefix = m_record.filename().string();
    std::vector<fs::path> files;
    for (const auto &it : fs::directory_iterator(m_folder.parent_path())) {
        const auto name = it.path().filename().string();
        if (name == prefix || name.starts_with(prefix + "."))
            files.push_back(it.path());
    }
    for (const auto &it : files)
        fs::remove(it);
}

RecordedDisk::Record RecordedDisk::readRecord() const
{
    Record record;
    std::ifstream lines(m_record);
    for (std::string line; std::getline(lines, line);) {
        std::istringstream fields(line);
        std::string event;
        std::uint64_t inode = 0;
        std::uint64_t offset = 0;
        fields >> event;
        if (event == "write" && fields >> inode >> offset) {
            auto &file = record.files[inode];
            // An empty file is a new or a truncated one.
            if (offset == 0)
                file = {};
            file.writes.push_back(offset);
        } else if (event == "sync" && fields >> inode >> offset) {
            auto &file = record.files[inode];
            file.syncedSize = offset;
            std::erase_if(file.writes, [offset](std::uint64_t it) { return it < offset; });
        } else if (Rename rename; event == "rename"
                   && fields >> rename.replaced >> std::quoted(rename.from) >> std::quoted(rename.to)) {
            record.renames.push_back(std::move(rename));
        } else if (std::string folder; event == "folder" && fields >> std::quoted(folder)) {
            std::erase_if(record.renames,
                          [&](const Rename &it) { return fs::path(it.to).parent_path() == folder; });
        } else {
            throw std::runtime_error("record of a disk: " + line);
        }
    }
    return record;
}

fs::path RecordedDisk::replacedFile(std::uint64_t inode) const
{
    return m_record.string() + "." + std::to_string(inode);
}

} // namespace Citronpitch
