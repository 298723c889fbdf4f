#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace Citronpitch {

/// Lost lines to be reported.
struct LostLines
{
    /// Since the previous report.
    std::uint64_t lines = 0;
    /// Since the writer was created.
    std::uint64_t total = 0;
};

/// Lines that are dropped last when the queue is full.
enum class LinePriority { Normal, High };

/**
 * @brief Writes lines to a descriptor on a thread of its own, so that no caller waits for the reader.
 *
 * Lines wait in a queue of at most @ref maximumQueuedBytes and are written in the order of write(). Lines
 * that don't fit in, or that can't be written, are dropped and counted. The thread blocks all signals: a
 * reader that has closed the pipe is no SIGPIPE for the process. Each line is one call of write(2), so that
 * lines of processes that share a pipe aren't mixed up to PIPE_BUF. Thread-safe. Used by the event log.
 */
class LogWriter
{
public:
    /// Bytes of the lines that wait for the reader, including the memory that manages them.
    static constexpr std::size_t maximumQueuedBytes = std::size_t{1024} * 1024;

    /// Writes to @p descriptor, which must remain open until the process ends if the reader doesn't read.
    explicit LogWriter(int descriptor);

    /// Waits until all lines are written, for at most 1 s; lines that are left then are lost.
    ~LogWriter();
    LogWriter(const LogWriter &) = delete;
    LogWriter &operator=(const LogWriter &) = delete;

    /// Queues @p line, which ends with a newline, or drops it.
    void write(std::string line, LinePriority priority);

    /// Returns and resets the number of lost lines once there is room again. Normal lines are dropped from
    /// the first loss until then, so that a report shows the place of the gap.
    LostLines takeLostLines();

    /// Number of lines that were lost since the writer was created.
    std::uint64_t lostLines() const;

private:
    struct State;

    static void run(State &state);

    std::shared_ptr<State> m_state;
};

} // namespace Citronpitch
