#pragma once

#include "net/httptypes.h"
#include "settings/settings.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <memory>
#include <optional>
#include <string>

namespace Citronpitch {

class HttpServer;

/**
 * @brief One connection of HttpServer: reads a request, waits for its response, writes it, and starts again.
 */
class HttpSession : public std::enable_shared_from_this<HttpSession>
{
public:
    HttpSession(HttpServer &server, boost::asio::ip::tcp::socket socket, std::string remoteAddress);

    /// Reads the first request.
    void start();

    /// Answers the first request with @p response, whatever it asks for, and closes the connection.
    void reject(HttpResponse response);

    /// Every response from now on ends the connection.
    void closeAfterResponse();

    /// Closes the connection, or lets it be closed after the response in progress.
    void drain();

    const std::string &remoteAddress() const;

    /// Detaches the session from a server that is being destroyed.
    void detach();

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;
    using Response = boost::beast::http::response<boost::beast::http::string_body>;

    void read();
    void readHeader();
    void startReadTimer();
    void readBody();
    void handle();
    void watchForRemoteClose();
    void respond(HttpResponse response);
    void handleReadError(boost::beast::error_code ec);
    void write(HttpResponse response, bool keepAlive);
    void releaseBody();
    void close();

    HttpServer *m_server;
    boost::beast::tcp_stream m_stream;
    boost::beast::flat_buffer m_buffer;
    /// Ends a read that takes too long; unlike the stream's own timeout it leaves the socket open for a
    /// response.
    boost::asio::steady_timer m_readTimer;
    std::optional<Parser> m_parser;
    std::optional<HttpResponse> m_rejection;
    Response m_response;
    std::string m_remoteAddress;
    DisconnectHandler m_onDisconnect;
    /// Counts requests, so that a response that comes twice is dropped.
    std::uint64_t m_requestNumber = 0;
    /// Bytes of the request body that count against the server's limit.
    std::uint64_t m_bodyBytes = 0;
    bool m_hasRequestInProgress = false;
    bool m_isReadTimedOut = false;
    bool m_isClosingAfterResponse = false;
    bool m_isClosed = false;
};

} // namespace Citronpitch
