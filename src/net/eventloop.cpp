#include "net/eventloop.h"

#include "log/eventlog.h"

#include <csignal>
#include <utility>

namespace Citronpitch {

HandlerError::HandlerError(std::string activity, const std::string &error)
    : std::runtime_error(error)
    , m_activity(std::move(activity))
{
}

const std::string &HandlerError::activity() const
{
    return m_activity;
}

bool runEventLoop(boost::asio::io_context &io)
{
    try {
        io.run();
        return true;
    } catch (const HandlerError &e) {
        logEvent(Event::EventLoopFailed, {{"activity", e.activity()}, {"error", e.what()}});
    } catch (const std::exception &e) {
        logEvent(Event::EventLoopFailed, {{"activity", "unknown"}, {"error", e.what()}});
    }
    return false;
}

void blockShutdownSignals()
{
    sigset_t set;
    sigemptyset(&set);
    for (const int it : {SIGTERM, SIGINT, SIGHUP})
        sigaddset(&set, it);
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
}

} // namespace Citronpitch
