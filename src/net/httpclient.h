#pragma once

#include "citronpitch/timepoint.h"
#include "net/httptypes.h"
#include "settings/settings.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace Citronpitch {

class HttpConnection;

/// Outcome of an exchange.
enum class ExchangeOutcome {
    /// No byte of the request was written to a socket.
    NotSent,
    /// The request may have been written in part or in whole, but no complete response was received.
    Incomplete,
    Answered,
};

/// Request to send. HttpClient adds the header fields that each request needs.
struct ClientRequest
{
    std::string method = "GET";
    std::string target = "/";
    std::vector<HttpHeader> headers;
    std::string body;
    /// Timeout of writing the request and reading the response together; zero for none. Connecting has a
    /// timeout of its own.
    Duration timeout{};
    /// Called right before the request is written, after the connection was established. If it returns true,
    /// nothing is written and the outcome is NotSent. Never expires if empty.
    std::function<bool()> isExpired;
};

/// Result of an exchange; response is only set if the outcome is Answered.
struct ClientResponse
{
    ExchangeOutcome outcome = ExchangeOutcome::Incomplete;
    HttpResponse response;

    /// Returns the value of header @p name (case-insensitive), or nullptr.
    const std::string *findHeader(std::string_view name) const;
};

using ExchangeId = std::uint64_t;
using ExchangeHandler = std::function<void(const ClientResponse &)>;

/**
 * @brief Sends HTTP/1.1 requests over persistent connections, without pipelining and without retries.
 *
 * Used by UpstreamClient, the command-line tool, the fake upstream and the load tool.
 */
class HttpClient
{
public:
    explicit HttpClient(boost::asio::io_context &io);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Sends @p request. @p handler is called exactly once, never before this returns.
    ExchangeId send(const Endpoint &endpoint, const ClientRequest &request, ExchangeHandler handler);

    /// Closes the connection of an exchange in progress; its handler is called before this returns. No effect
    /// if the exchange has finished.
    void abort(ExchangeId exchange);

    /// Returns the number of connections that are open or being opened.
    std::size_t connectionCount() const;

private:
    friend class HttpConnection;

    void exchangeFinished(const std::shared_ptr<HttpConnection> &connection, ExchangeId exchange,
                          const ExchangeHandler &handler, const ClientResponse &response);
    void connectionClosed(const std::shared_ptr<HttpConnection> &connection);

    boost::asio::io_context &m_io;
    std::map<Endpoint, std::vector<std::shared_ptr<HttpConnection>>> m_idle;
    std::map<ExchangeId, std::shared_ptr<HttpConnection>> m_active;
    ExchangeId m_nextExchange = 1;
};

} // namespace Citronpitch
