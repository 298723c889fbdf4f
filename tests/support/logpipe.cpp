#include "support/logpipe.h"

#include <array>
#include <cerrno>
#include <fcntl.h>
#include <stdexcept>
#include <system_error>
#include <unistd.h>
#include <utility>

namespace Citronpitch {

namespace {

void setNonBlocking(int descriptor, bool isNonBlocking)
{
    if (::fcntl(descriptor, F_SETFL, isNonBlocking ? O_NONBLOCK : 0) != 0)
        throw std::system_error(errno, std::system_category(), "can't set the flags of a pipe");
}

} // namespace

LogPipe::LogPipe()
{
    std::array<int, 2> ends{};
    if (::pipe2(ends.data(), O_CLOEXEC) != 0)
        throw std::system_error(errno, std::system_category(), "can't create a pipe");
    m_readEnd = ends[0];
    m_writeEnd = ends[1];
    setNonBlocking(m_readEnd, true);
}

LogPipe::~LogPipe()
{
    closeReadEnd();
    ::close(m_writeEnd);
}

int LogPipe::writeEnd() const
{
    return m_writeEnd;
}

std::size_t LogPipe::fill()
{
    std::size_t n = 0;
    setNonBlocking(m_writeEnd, true);
    while (::write(m_writeEnd, "\n", 1) == 1)
        ++n;
    // The processes that log to the pipe share its flags.
    setNonBlocking(m_writeEnd, false);
    return n;
}

const std::string &LogPipe::read()
{
    std::array<char, 65536> buf{};
    for (auto n = ::read(m_readEnd, buf.data(), buf.size()); n > 0;
         n = ::read(m_readEnd, buf.data(), buf.size()))
        m_text.append(buf.data(), static_cast<std::size_t>(n));
    return m_text;
}

void LogPipe::closeReadEnd()
{
    if (m_readEnd >= 0)
        ::close(std::exchange(m_readEnd, -1));
}

} // namespace Citronpitch
