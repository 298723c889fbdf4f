#pragma once

#include <boost/asio/io_context.hpp>

#include <stdexcept>
#include <string>

namespace Citronpitch {

/// An exception left a handler of the event loop; what() describes it.
class HandlerError : public std::runtime_error
{
public:
    /// @p activity names the message, request or timer that the handler was called for.
    HandlerError(std::string activity, const std::string &error);

    const std::string &activity() const;

private:
    std::string m_activity;
};

/// Calls @p handler. An exception that leaves it is thrown on as a HandlerError with the text that
/// @p describe returns; if it is one already, the innermost activity is kept.
template <typename Describe, typename Handler>
void callHandler(const Describe &describe, const Handler &handler)
{
    try {
        handler();
    } catch (const HandlerError &) {
        throw;
    } catch (const std::exception &e) {
        throw HandlerError(describe(), e.what());
    }
}

/// Runs the event loop until it is stopped. Returns false if an exception left a handler; it is logged.
bool runEventLoop(boost::asio::io_context &io);

/// Blocks SIGTERM, SIGINT and SIGHUP in this thread. To be called after runEventLoop() and before the
/// handlers of the signals are removed, so that a further one does not interrupt the rest of the shutdown.
void blockShutdownSignals();

} // namespace Citronpitch
