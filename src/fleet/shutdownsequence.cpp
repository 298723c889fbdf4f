#include "fleet/shutdownsequence.h"

#include "log/eventlog.h"

#include <utility>

namespace Citronpitch {

namespace {

constexpr auto pollInterval = std::chrono::milliseconds(20);

} // namespace

ShutdownSequence::ShutdownSequence(boost::asio::io_context &io, std::string vm,
                                   std::function<TimePoint()> now)
    : m_io(io)
    , m_vm(std::move(vm))
    , m_now(std::move(now))
    , m_timer(io)
{
}

void ShutdownSequence::begin(std::vector<ShutdownStep> steps, TimePoint deadline)
{
    m_hasBegun = true;
    m_steps = std::move(steps);
    m_deadline = deadline;
    logEvent(Event::DrainStarted, {{"vm", m_vm}});
    schedule();
}

bool ShutdownSequence::hasBegun() const
{
    return m_hasBegun;
}

void ShutdownSequence::schedule()
{
    m_timer.expires_after(pollInterval);
    m_timer.async_wait([this](boost::system::error_code ec) {
        if (!ec)
            checkStep();
    });
}

void ShutdownSequence::checkStep()
{
    while (m_current < m_steps.size() && m_steps[m_current].isDone()) {
        if (m_steps[m_current].onDone)
            m_steps[m_current].onDone();
        ++m_current;
    }
    const bool isLate = m_now() >= m_deadline;
    if (m_current < m_steps.size() && !isLate) {
        schedule();
        return;
    }
    if (m_current < m_steps.size())
        logEvent(Event::DrainTimedOut, {{"vm", m_vm}});
    m_io.stop();
}

} // namespace Citronpitch
