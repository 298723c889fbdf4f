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

/// How far an exchange got.
enum class ExchangeOutcome {
    /// No byte of the request was written to a socket.
    NotSent,
    /// The request was written in whole or in part, and no whole response came.
    Incomplete,
    Answered,
};

/// A request to send. Fields that every request needs are added.
struct ClientRequest
{
    std::string method = "GET";
    std::string target = "/";
    std::vector<HttpHeader> headers;
    std::string body;
    /// The exchange is given up this long after its start; zero waits without limit.
    Duration timeout{};
};

/// What came back; status, headers and body only where the end is Answered.
struct ClientResponse
{
    ExchangeOutcome outcome = ExchangeOutcome::Incomplete;
    HttpResponse response;

    /// Value of header @p name without regard to case, or null.
    const std::string *findHeader(std::string_view name) const;
};

using ExchangeId = std::uint64_t;
using ExchangeHandler = std::function<void(const ClientResponse &)>;

/**
 * @brief Sends HTTP/1.1 requests over kept connections, one exchange a connection at a time; never sends one
 * twice.
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

    /// Sends @p request; @p ended is called once, never before this returns.
    ExchangeId send(const Endpoint &endpoint, const ClientRequest &request, ExchangeHandler ended);

    /// Closes the connection of an exchange in progress; its end is reported at once.
    void abort(ExchangeId exchange);

    /// Connections open or being opened.
    std::size_t connectionCount() const;

private:
    friend class HttpConnection;

    void exchangeFinished(const std::shared_ptr<HttpConnection> &connection, ExchangeId exchange,
                          const ExchangeHandler &callback, const ClientResponse &response);
    void connectionClosed(const std::shared_ptr<HttpConnection> &connection);

    boost::asio::io_context &m_io;
    std::map<Endpoint, std::vector<std::shared_ptr<HttpConnection>>> m_idle;
    std::map<ExchangeId, std::shared_ptr<HttpConnection>> m_active;
    ExchangeId m_nextExchange = 1;
};

} // namespace Citronpitch
