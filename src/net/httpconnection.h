#pragma once

#include "net/httpclient.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace Citronpitch {

/**
 * @brief Persistent connection of HttpClient with at most one exchange in progress.
 */
class HttpConnection : public std::enable_shared_from_this<HttpConnection>
{
public:
    HttpConnection(HttpClient &client, boost::asio::io_context &io, Endpoint endpoint);

    const Endpoint &endpoint() const;
    bool isOpen() const;

    /// Sends @p request. Must not be called while an exchange is in progress.
    void start(ExchangeId exchange, const ClientRequest &request, ExchangeHandler handler);

    /// Whether an exchange that has reached its timeout may take longer, since part of its response has
    /// arrived. Returns false once an exchange has been extended too often.
    bool takeExtension();

    /// Number by which HttpClient orders the idle connections.
    std::uint64_t idleSince() const;
    void setIdleSince(std::uint64_t number);

    /// Closes the connection; an exchange in progress finishes as NotSent or Incomplete.
    void close();

    /// Closes the connection without calling a handler, as the client is being destroyed.
    void detach();

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    void connect();
    void write();
    void read();
    void readMore();
    /// Parses what has arrived, and reads on or handles the response.
    void parse();
    void handleResponse();
    void watchForRemoteClose();
    void finishExchange(const ClientResponse &response, bool keepAlive);

    HttpClient *m_client;
    boost::beast::tcp_stream m_stream;
    boost::beast::flat_buffer m_buffer;
    boost::beast::http::request<boost::beast::http::string_body> m_request;
    std::optional<Parser> m_parser;
    Endpoint m_endpoint;
    ExchangeId m_exchange = 0;
    ExchangeHandler m_handler;
    Duration m_timeout{};
    std::function<bool()> m_isExpired;
    std::uint64_t m_idleSince = 0;
    int m_extensions = 0;
    bool m_hasSentBytes = false;
    bool m_isConnected = false;
    bool m_isClosed = false;
};

} // namespace Citronpitch
