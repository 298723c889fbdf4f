#pragma once

#include "citronpitch/action.h"
#include "citronpitch/upstream.h"
#include "net/httpclient.h"

#include <functional>
#include <map>

namespace Citronpitch {

/// Told how an attempt ended.
using AttemptHandler = std::function<void(AttemptId, const AttemptResult &)>;

/**
 * @brief Sends the start messages of attempts to upstreams and reports how each attempt ended. Used by
 * Daemon.
 */
class UpstreamClient
{
public:
    UpstreamClient(boost::asio::io_context &io, AttemptHandler ended);

    /// Sends @p start once; its end is reported once.
    void start(const StartTask &start);

    /// Gives up an attempt; closing its connection tells the upstream. Its end is reported at once.
    void stop(AttemptId attempt);

private:
    void exchangeFinished(AttemptId attempt, const ClientResponse &response);

    HttpClient m_client;
    AttemptHandler m_handler;
    std::map<AttemptId, ExchangeId> m_exchanges;
};

} // namespace Citronpitch
