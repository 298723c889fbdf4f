#include "store/journal.h"

#include <xxhash.h>

#include <array>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <optional>
#include <sys/stat.h>
#include <unistd.h>
#include <utility>

namespace Citronpitch {

namespace leaf = boost::leaf;

namespace {

constexpr std::string_view magic = "CPJRNL";
constexpr std::size_t headerBytes = magic.size() + sizeof journalFormatVersion;

/// Header of each record.
struct RecordHeader
{
    std::uint32_t length = 0;
    std::uint32_t lengthCheck = 0;
    std::uint64_t checksum = 0;
};

leaf::error_id fileError(const std::string &step, const std::string &path, const std::string &detail)
{
    return leaf::new_error(StepError{step, path, detail});
}

leaf::error_id systemError(const std::string &step, const std::string &path)
{
    return fileError(step, path, std::strerror(errno));
}

std::uint32_t lengthCheckOf(std::uint32_t length)
{
    return static_cast<std::uint32_t>(XXH3_64bits(&length, sizeof length));
}

std::string encodeRecord(std::string_view record)
{
    RecordHeader header;
    header.length = static_cast<std::uint32_t>(record.size());
    header.lengthCheck = lengthCheckOf(header.length);
    header.checksum = XXH3_64bits(record.data(), record.size());
    std::string bytes(sizeof header, '\0');
    std::memcpy(bytes.data(), &header, sizeof header);
    return bytes.append(record);
}

std::string fileHeader()
{
    std::string bytes(magic);
    bytes.append(reinterpret_cast<const char *>(&journalFormatVersion), sizeof journalFormatVersion);
    return bytes;
}

leaf::result<std::string> readAll(int descriptor, const std::string &path)
{
    std::string content;
    std::array<char, 65536> buf{};
    for (;;) {
        const auto n = ::read(descriptor, buf.data(), buf.size());
        if (n < 0)
            return systemError("read journal", path);
        if (n == 0)
            return content;
        content.append(buf.data(), static_cast<std::size_t>(n));
    }
}

leaf::result<void> syncFolder(const std::string &path, const JournalHooks &hooks)
{
    const auto folder = std::filesystem::path(path).parent_path().string();
    const int descriptor = ::open(folder.empty() ? "." : folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (descriptor < 0)
        return systemError("open data folder", folder);
    const int result = hooks.syncFolder(descriptor);
    ::close(descriptor);
    if (result != 0)
        return systemError("sync data folder", folder);
    return {};
}

/// The intact records of a file, and the offset of their end.
struct JournalScan
{
    std::vector<std::string> records;
    std::uint64_t end = headerBytes;
};

/// Whether only zeros follow, as after a power loss between growing the file and writing its data.
bool isZeroFilledFrom(const std::string &content, std::uint64_t offset)
{
    return content.find_first_not_of('\0', offset) == std::string::npos;
}

leaf::result<JournalScan> scanRecords(const std::string &content, const std::string &path)
{
    JournalScan scan;
    while (scan.end + sizeof(RecordHeader) <= content.size()) {
        RecordHeader header;
        std::memcpy(&header, content.data() + scan.end, sizeof header);
        const auto bodyStart = scan.end + sizeof header;
        const bool isLengthWhole = header.lengthCheck == lengthCheckOf(header.length);
        if (isLengthWhole && bodyStart + header.length > content.size())
            break;
        const bool isWhole =
            isLengthWhole && header.checksum == XXH3_64bits(content.data() + bodyStart, header.length);
        const bool isLast = isLengthWhole && bodyStart + header.length == content.size();
        const auto next = isLengthWhole ? bodyStart + header.length : scan.end;
        if (!isWhole && (isLast || isZeroFilledFrom(content, next)))
            break;
        if (!isWhole)
            return fileError(std::string(checkJournalStep), path,
                             "the record at offset " + std::to_string(scan.end)
                                 + " is damaged; restore the file from a backup, or remove it to start "
                                   "without its records");
        scan.records.emplace_back(content, bodyStart, header.length);
        scan.end = bodyStart + header.length;
    }
    return scan;
}

leaf::result<void> checkHeader(const std::string &content, const std::string &path)
{
    if (content.compare(0, magic.size(), magic) != 0)
        return fileError(std::string(checkJournalStep), path, "the file is not a journal");
    std::uint32_t version = 0;
    std::memcpy(&version, content.data() + magic.size(), sizeof version);
    if (version != journalFormatVersion)
        return fileError(std::string(checkJournalStep), path,
                         "format version " + std::to_string(version) + " is not supported");
    return {};
}

} // namespace

leaf::result<Journal> Journal::open(const std::string &path, const JournalHooks &hooks)
{
    Journal journal;
    journal.m_path = path;
    journal.m_hooks = hooks;
    if (!journal.m_hooks.write)
        journal.m_hooks.write = ::write;
    if (!journal.m_hooks.sync)
        journal.m_hooks.sync = ::fdatasync;
    if (!journal.m_hooks.rename)
        journal.m_hooks.rename = [](const char *from, const char *to) { return std::rename(from, to); };
    if (!journal.m_hooks.syncFolder)
        journal.m_hooks.syncFolder = ::fsync;
    journal.m_descriptor = ::open(path.c_str(), O_RDWR | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    if (journal.m_descriptor < 0)
        return systemError("open journal", path);
    BOOST_LEAF_ASSIGN(const auto content, readAll(journal.m_descriptor, path));
    if (content.size() < headerBytes) {
        BOOST_LEAF_CHECK(journal.replace({}));
        journal.m_summary = {0, journal.m_size, content.size()};
        return journal;
    }
    BOOST_LEAF_CHECK(checkHeader(content, path));
    BOOST_LEAF_ASSIGN(auto scan, scanRecords(content, path));
    journal.m_recovered = std::move(scan.records);
    journal.m_size = scan.end;
    journal.m_summary = {journal.m_recovered.size(), scan.end, content.size() - scan.end};
    if (journal.m_summary.droppedBytes > 0
        && ::ftruncate(journal.m_descriptor, static_cast<off_t>(scan.end)) != 0)
        return systemError("truncate torn record", path);
    return journal;
}

Journal::~Journal()
{
    if (m_descriptor >= 0)
        ::close(m_descriptor);
}

Journal::Journal(Journal &&other) noexcept
    : m_path(std::move(other.m_path))
    , m_hooks(std::move(other.m_hooks))
    , m_descriptor(std::exchange(other.m_descriptor, -1))
    , m_size(other.m_size)
    , m_summary(other.m_summary)
    , m_recovered(std::move(other.m_recovered))
    , m_hasFailed(other.m_hasFailed)
{
}

Journal &Journal::operator=(Journal &&other) noexcept
{
    std::swap(m_path, other.m_path);
    std::swap(m_hooks, other.m_hooks);
    std::swap(m_descriptor, other.m_descriptor);
    std::swap(m_size, other.m_size);
    std::swap(m_summary, other.m_summary);
    std::swap(m_recovered, other.m_recovered);
    std::swap(m_hasFailed, other.m_hasFailed);
    return *this;
}

std::vector<std::string> Journal::takeRecovered()
{
    return std::exchange(m_recovered, {});
}

const JournalSummary &Journal::summary() const
{
    return m_summary;
}

leaf::result<void> Journal::append(std::string_view record)
{
    if (m_hasFailed)
        return fileError("append to journal", m_path, "an earlier write failed");
    if (record.size() > maximumRecordBytes)
        return fileError("append to journal", m_path, "the record is too large");
    const auto bytes = encodeRecord(record);
    if (!writeAll(m_descriptor, bytes)) {
        m_hasFailed = true;
        return systemError("append to journal", m_path);
    }
    m_size += bytes.size();
    return {};
}

leaf::result<void> Journal::sync() const
{
    if (m_hooks.sync(m_descriptor) != 0)
        return systemError("sync journal", m_path);
    return {};
}

leaf::result<void> Journal::replace(const std::vector<std::string> &records)
{
    const auto path = m_path + ".new";
    const int descriptor = ::open(path.c_str(), O_RDWR | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC, 0600);
    if (descriptor < 0)
        return systemError("open journal", path);
    std::string content = fileHeader();
    for (const auto &it : records)
        content += encodeRecord(it);
    if (!writeAll(descriptor, content) || m_hooks.sync(descriptor) != 0
        || m_hooks.rename(path.c_str(), m_path.c_str()) != 0) {
        const auto error = systemError("replace journal", path);
        ::close(descriptor);
        return error;
    }
    if (m_descriptor >= 0)
        ::close(m_descriptor);
    m_descriptor = descriptor;
    m_size = content.size();
    return syncFolder(m_path, m_hooks);
}

bool Journal::writeAll(int descriptor, std::string_view bytes) const
{
    while (!bytes.empty()) {
        const auto n = m_hooks.write(descriptor, bytes.data(), bytes.size());
        if (n < 0 && errno == EINTR)
            continue;
        if (n <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
}

std::uint64_t Journal::size() const
{
    return m_size;
}

} // namespace Citronpitch
