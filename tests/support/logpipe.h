#pragma once

#include <cstddef>
#include <string>

namespace Citronpitch {

/**
 * @brief A pipe for the log of processes, with a reader that reads only when it is told to.
 *
 * Used by the tests of logs that nobody reads.
 */
class LogPipe
{
public:
    LogPipe();
    ~LogPipe();
    LogPipe(const LogPipe &) = delete;
    LogPipe &operator=(const LogPipe &) = delete;

    /// Descriptor to write to.
    int writeEnd() const;

    /// Fills the pipe, so that the next write to it waits for the reader. Returns the number of bytes.
    std::size_t fill();

    /// Reads what the pipe holds, without waiting, and returns all that was read so far.
    const std::string &read();

    /// Closes the reader's end.
    void closeReadEnd();

private:
    int m_readEnd = -1;
    int m_writeEnd = -1;
    std::string m_text;
};

} // namespace Citronpitch
