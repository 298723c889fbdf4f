#pragma once

#include "net/httpclient.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <memory>
#include <optional>

namespace Citronpitch {

/**
 * @brief One kept connection of HttpClient; has one exchange in progress at most.
 */
class HttpConnection : public std::enable_shared_from_this<HttpConnection>
{
public:
    HttpConnection(HttpClient &client, boost::asio::io_context &io, Endpoint endpoint);

    const Endpoint &endpoint() const;
    bool isOpen() const;

    /// Sends @p request; no exchange may be in progress.
    void start(ExchangeId exchange, const ClientRequest &request, ExchangeHandler ended);

    /// Closes the connection; an exchange in progress ends as not sent or broken.
    void close();

    /// Detaches the connection from a client that is being destroyed.
    void detach();

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    void connect();
    void write();
    void read();
    void handleResponse();
    void watchForRemoteClose();
    void finishExchange(const ClientResponse &response, bool keep);

    HttpClient *m_client;
    boost::beast::tcp_stream m_stream;
    boost::beast::flat_buffer m_buffer;
    boost::beast::http::request<boost::beast::http::string_body> m_request;
    std::optional<Parser> m_parser;
    Endpoint m_endpoint;
    ExchangeId m_exchange = 0;
    ExchangeHandler m_handler;
    Duration m_timeout{};
    bool m_hasSentBytes = false;
    bool m_isConnected = false;
    bool m_isClosed = false;
};

} // namespace Citronpitch
