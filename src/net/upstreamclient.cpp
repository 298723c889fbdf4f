#include "net/upstreamclient.h"

namespace Citronpitch {

namespace {

/// Response header by which an upstream states that it did not start the task.
constexpr const char *notStartedHeader = "Task-Not-Started";

AttemptResult attemptResult(const ClientResponse &response)
{
    switch (response.outcome) {
    case ExchangeOutcome::NotSent:
    case ExchangeOutcome::Limited:
        return {AttemptOutcome::NotSent, 0, {}};
    case ExchangeOutcome::Incomplete:
        return {AttemptOutcome::Broken, 0, {}};
    case ExchangeOutcome::Answered:
        break;
    }
    const bool isDeclined = response.findHeader(notStartedHeader) != nullptr;
    return {isDeclined ? AttemptOutcome::Declined : AttemptOutcome::Answered, response.response.status,
            response.response.body};
}

} // namespace

UpstreamClient::UpstreamClient(boost::asio::io_context &io, std::function<TimePoint()> clock,
                               AttemptHandler handler)
    : m_client(io)
    , m_clock(std::move(clock))
    , m_handler(std::move(handler))
{
}

void UpstreamClient::start(const StartTask &start)
{
    ClientRequest request;
    request.method = "POST";
    request.target = "/v1/tasks";
    request.headers = {{"Attempt-Id", start.attemptName},
                       {"Task-Class", start.className},
                       {"Task-Deadline", std::to_string(microsecondsOf(start.deadline))}};
    request.body = start.payload;
    request.isExpired = [this, deadline = start.deadline] { return m_clock() >= deadline; };
    const auto attempt = start.attempt;
    const auto exchange =
        m_client.send({start.address, start.port}, request,
                      [this, attempt](const auto &response) { exchangeFinished(attempt, response); });
    m_exchanges.emplace(attempt, exchange);
}

void UpstreamClient::stop(AttemptId attempt)
{
    const auto it = m_exchanges.find(attempt);
    if (it == m_exchanges.end())
        return;
    m_client.abort(it->second);
}

void UpstreamClient::exchangeFinished(AttemptId attempt, const ClientResponse &response)
{
    m_exchanges.erase(attempt);
    m_handler(attempt, attemptResult(response));
}

} // namespace Citronpitch
