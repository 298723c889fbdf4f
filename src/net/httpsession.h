#pragma once

#include "net/httptypes.h"
#include "settings/settings.h"

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

    /// Closes the connection once the response in progress, if any, is written.
    void drain();

    const std::string &remoteAddress() const;

    /// Detaches the session from a server that is being destroyed.
    void abandon();

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;
    using Response = boost::beast::http::response<boost::beast::http::string_body>;

    void read();
    void readRest();
    void handle();
    void watchForEnd();
    void respond(HttpResponse response);
    void rejectInput(boost::beast::error_code ec);
    void write(HttpResponse response, bool keepAlive);
    void close();

    HttpServer *m_server;
    boost::beast::tcp_stream m_stream;
    boost::beast::flat_buffer m_buffer;
    std::optional<Parser> m_parser;
    Response m_response;
    std::string m_remoteAddress;
    HttpGone m_gone;
    /// Counts requests, so that a response that comes twice is dropped.
    std::uint64_t m_requestNumber = 0;
    bool m_isHandling = false;
    bool m_isDraining = false;
    bool m_isClosed = false;
};

} // namespace Citronpitch
