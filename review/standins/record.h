#pragma once

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace Review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

/// Milliseconds since the start of this process.
inline std::int64_t elapsedMs()
{
    static const auto begin = Clock::now();
    return std::chrono::duration_cast<Milliseconds>(Clock::now() - begin).count();
}

/**
 * @brief Writes record.txt: one line for each event, with the milliseconds since the start. From any thread.
 */
class Record
{
public:
    explicit Record(const std::string &path)
        : m_file(path)
    {
        elapsedMs();
    }

    void write(const std::string &line)
    {
        const std::lock_guard lock(m_mutex);
        m_file << elapsedMs() << " ms  " << line << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

} // namespace Review
