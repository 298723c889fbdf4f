#include "net/httpclient.h"

#include "net/eventloop.h"
#include "net/httpconnection.h"

#include <boost/algorithm/string/predicate.hpp>

namespace Citronpitch {

const std::string *ClientResponse::findHeader(std::string_view name) const
{
    for (const auto &it : response.headers) {
        if (boost::algorithm::iequals(it.name, name))
            return &it.value;
    }
    return nullptr;
}

HttpClient::HttpClient(boost::asio::io_context &io)
    : m_io(io)
{
}

HttpClient::~HttpClient()
{
    for (const auto &[endpoint, list] : m_idle) {
        for (const auto &it : list)
            it->detach();
    }
    for (const auto &[exchange, connection] : m_active)
        connection->detach();
}

ExchangeId HttpClient::send(const Endpoint &endpoint, const ClientRequest &request, ExchangeHandler handler)
{
    auto &idle = m_idle[endpoint];
    std::shared_ptr<HttpConnection> connection;
    if (idle.empty()) {
        connection = std::make_shared<HttpConnection>(*this, m_io, endpoint);
    } else {
        connection = idle.back();
        idle.pop_back();
    }
    const auto exchange = m_nextExchange++;
    m_active.emplace(exchange, connection);
    connection->start(exchange, request, std::move(handler));
    return exchange;
}

void HttpClient::abort(ExchangeId exchange)
{
    const auto it = m_active.find(exchange);
    if (it == m_active.end())
        return;
    const auto connection = it->second;
    connection->close();
}

std::size_t HttpClient::connectionCount() const
{
    std::size_t n = m_active.size();
    for (const auto &[endpoint, list] : m_idle)
        n += list.size();
    return n;
}

void HttpClient::exchangeFinished(const std::shared_ptr<HttpConnection> &connection, ExchangeId exchange,
                                  const ExchangeHandler &handler, const ClientResponse &response)
{
    m_active.erase(exchange);
    if (connection->isOpen())
        m_idle[connection->endpoint()].push_back(connection);
    callHandler([&] { return "response of " + connection->endpoint().text(); }, [&] { handler(response); });
}

void HttpClient::connectionClosed(const std::shared_ptr<HttpConnection> &connection)
{
    const auto it = m_idle.find(connection->endpoint());
    if (it == m_idle.end())
        return;
    std::erase(it->second, connection);
    if (it->second.empty())
        m_idle.erase(it);
}

} // namespace Citronpitch
