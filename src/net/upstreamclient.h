#pragma once

#include "citronpitch/action.h"
#include "citronpitch/upstream.h"
#include "net/httpclient.h"

#include <functional>
#include <map>

namespace Citronpitch {

/// Called with the result of an attempt.
using AttemptHandler = std::function<void(AttemptId, const AttemptResult &)>;

/**
 * @brief Starts attempts on upstreams over HTTP and reports the result of each. Used by Daemon.
 */
class UpstreamClient
{
public:
    /// @p clock returns the current time, on the clock of StartTask::deadline.
    UpstreamClient(boost::asio::io_context &io, std::function<TimePoint()> clock, AttemptHandler handler);

    /**
     * Sends @p start without retries; the handler is called once.
     *
     * Nothing is sent if the deadline has passed by the time the connection is established, as after a
     * suspension of the process.
     */
    void start(const StartTask &start);

    /// Aborts an attempt by closing its connection, which the upstream detects. The handler is called at
    /// once.
    void stop(AttemptId attempt);

private:
    void exchangeFinished(AttemptId attempt, const ClientResponse &response);

    HttpClient m_client;
    std::function<TimePoint()> m_clock;
    AttemptHandler m_handler;
    std::map<AttemptId, ExchangeId> m_exchanges;
};

} // namespace Citronpitch
