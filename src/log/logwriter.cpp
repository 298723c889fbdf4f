#include "log/logwriter.h"

#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <deque>
#include <mutex>
#include <poll.h>
#include <pthread.h>
#include <string_view>
#include <thread>
#include <unistd.h>
#include <utility>

namespace Citronpitch {

namespace {

using Clock = std::chrono::steady_clock;

/// Normal lines leave the rest of the queue to those of high priority.
constexpr std::size_t maximumNormalBytes = LogWriter::maximumQueuedBytes / 4 * 3;
/// Below this, lost lines are reported and normal lines are queued again.
constexpr std::size_t reportBytes = LogWriter::maximumQueuedBytes / 2;
/// Memory of a queued line in addition to its characters.
constexpr std::size_t lineOverheadBytes = sizeof(std::string) + 16;
/// A process ends within this time although nobody reads its log.
constexpr auto exitTimeout = std::chrono::seconds(1);
/// Lost lines are reported again at the earliest this long after a failed write, as the report fails, too,
/// while the reader is gone.
constexpr auto reportPause = std::chrono::seconds(1);

std::size_t bytesOf(const std::string &line)
{
    return line.size() + lineOverheadBytes;
}

bool canBeRetried(int descriptor, int error)
{
    if (error == EINTR)
        return true;
    if (error != EAGAIN)
        return false;
    // Another process that shares the descriptor has made it non-blocking.
    pollfd waiting{descriptor, POLLOUT, 0};
    return ::poll(&waiting, 1, -1) >= 0 || errno == EINTR;
}

bool writeAll(int descriptor, std::string_view text)
{
    while (!text.empty()) {
        const auto n = ::write(descriptor, text.data(), text.size());
        if (n >= 0)
            text.remove_prefix(static_cast<std::size_t>(n));
        else if (!canBeRetried(descriptor, errno))
            return false;
    }
    return true;
}

} // namespace

/// Shared with the thread, which outlives the writer while a write waits for the reader.
struct LogWriter::State
{
    int descriptor = -1;
    std::mutex mutex;
    std::condition_variable hasChanged;
    std::condition_variable hasDrained;
    std::deque<std::string> lines;
    /// Of the queue and of the line that is being written.
    std::size_t queuedBytes = 0;
    LostLines lost;
    Clock::time_point reportAt;
    /// Normal lines are dropped until the lost ones are reported.
    bool isDropping = false;
    bool isClosing = false;
    bool isAbandoned = false;

    void countLostLine()
    {
        ++lost.lines;
        ++lost.total;
    }
};

LogWriter::LogWriter(int descriptor)
    : m_state(std::make_shared<State>())
{
    m_state->descriptor = descriptor;
    sigset_t all;
    sigset_t previous;
    sigfillset(&all);
    pthread_sigmask(SIG_BLOCK, &all, &previous);
    std::thread([state = m_state] { run(*state); }).detach();
    pthread_sigmask(SIG_SETMASK, &previous, nullptr);
}

LogWriter::~LogWriter()
{
    const auto deadline = Clock::now() + exitTimeout;
    std::unique_lock lock(m_state->mutex);
    m_state->isClosing = true;
    m_state->hasChanged.notify_one();
    m_state->hasDrained.wait_until(lock, deadline, [this] { return m_state->queuedBytes == 0; });
    m_state->isAbandoned = true;
}

void LogWriter::write(std::string line, LinePriority priority)
{
    const std::lock_guard lock(m_state->mutex);
    const bool isNormal = priority == LinePriority::Normal;
    const auto limit = isNormal ? maximumNormalBytes : maximumQueuedBytes;
    const auto bytes = bytesOf(line);
    if (m_state->queuedBytes + bytes > limit || (isNormal && m_state->isDropping)) {
        m_state->isDropping = true;
        m_state->countLostLine();
        return;
    }
    m_state->queuedBytes += bytes;
    m_state->lines.push_back(std::move(line));
    m_state->hasChanged.notify_one();
}

LostLines LogWriter::takeLostLines()
{
    const std::lock_guard lock(m_state->mutex);
    if (m_state->lost.lines == 0 || m_state->queuedBytes > reportBytes || Clock::now() < m_state->reportAt)
        return {};
    m_state->isDropping = false;
    return std::exchange(m_state->lost, {0, m_state->lost.total});
}

std::uint64_t LogWriter::lostLines() const
{
    const std::lock_guard lock(m_state->mutex);
    return m_state->lost.total;
}

void LogWriter::run(State &state)
{
    std::unique_lock lock(state.mutex);
    while (!state.isAbandoned) {
        state.hasChanged.wait(lock, [&state] { return !state.lines.empty() || state.isClosing; });
        if (state.lines.empty())
            return;
        const auto line = std::move(state.lines.front());
        state.lines.pop_front();
        lock.unlock();
        const bool isWritten = writeAll(state.descriptor, line);
        lock.lock();
        state.queuedBytes -= bytesOf(line);
        if (!isWritten) {
            state.countLostLine();
            state.reportAt = Clock::now() + reportPause;
        }
        if (state.queuedBytes == 0)
            state.hasDrained.notify_all();
    }
}

} // namespace Citronpitch
