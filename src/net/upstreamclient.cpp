#include "net/upstreamclient.h"

namespace Citronpitch {

namespace {

/// Field with which an upstream says that it did not start the task.
constexpr const char *notStartedField = "Task-Not-Started";

AttemptResult resultOf(const ClientResponse &response)
{
    switch (response.end) {
    case ExchangeEnd::NotSent:
        return {AttemptEnd::NotSent, 0, {}};
    case ExchangeEnd::Broken:
        return {AttemptEnd::Broken, 0, {}};
    case ExchangeEnd::Answered:
        break;
    }
    const bool isDeclined = response.findHeader(notStartedField) != nullptr;
    return {isDeclined ? AttemptEnd::Declined : AttemptEnd::Answered, response.response.status,
            response.response.body};
}

} // namespace

UpstreamClient::UpstreamClient(boost::asio::io_context &io, AttemptEnded ended)
    : m_client(io)
    , m_ended(std::move(ended))
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
    const auto attempt = start.attempt;
    const auto exchange =
        m_client.send({start.address, start.port}, request,
                      [this, attempt](const auto &response) { finished(attempt, response); });
    m_exchanges.emplace(attempt, exchange);
}

void UpstreamClient::stop(AttemptId attempt)
{
    const auto it = m_exchanges.find(attempt);
    if (it == m_exchanges.end())
        return;
    m_client.abort(it->second);
}

void UpstreamClient::finished(AttemptId attempt, const ClientResponse &response)
{
    m_exchanges.erase(attempt);
    m_ended(attempt, resultOf(response));
}

} // namespace Citronpitch
