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
enum class RequestLimit;

/**
 * @brief Connection of HttpServer: reads requests one at a time and writes the response of each.
 */
class HttpSession : public std::enable_shared_from_this<HttpSession>
{
public:
    HttpSession(HttpServer &server, boost::asio::ip::tcp::socket socket, std::string remoteAddress);

    /// Starts to read the first request.
    void start();

    /// Answers the first request with @p response without handling it, and closes the connection.
    void reject(HttpResponse response);

    /// Closes the connection after the next response.
    void closeAfterResponse();

    /// Closes the connection at once if it is idle, otherwise after the current response.
    void drain();

    const std::string &remoteAddress() const;

    /// Refuses the request that is being read, or closes the connection if its response is being written,
    /// since all connections together hold too much.
    void giveUp();

    /// Closes the connection without notifying the server, which is being destroyed.
    void detach();

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;
    using Response = boost::beast::http::response<boost::beast::http::string_body>;

    void read();
    /// Reads on, as far as the limit of what may be held allows.
    void readMore();
    void startReadTimer();
    /// Parses what has arrived, and reads on or handles the request.
    void parse();
    /// Handles the end of the header. Returns false if the request was answered.
    bool acceptHeader();
    /// Memory that the request takes until it is handed on.
    std::uint64_t heldBytes() const;
    void handle();
    bool isClosedByRemote();
    void watchForRemoteClose();
    void respond(HttpResponse response);
    void handleReadError(boost::beast::error_code ec);
    /// Answers a request that exceeds @p limit and closes the connection.
    void refuse(RequestLimit limit, int status, const std::string &cause);
    void write(HttpResponse response, bool keepAlive);
    void releaseBody();
    void close();

    HttpServer *m_server;
    boost::beast::tcp_stream m_stream;
    boost::beast::flat_buffer m_buffer;
    /// Timeout of reading a request. The timeout of beast::tcp_stream is not used for it, since it would
    /// close the socket before the session can write the error response.
    boost::asio::steady_timer m_readTimer;
    std::optional<Parser> m_parser;
    std::optional<HttpResponse> m_rejection;
    Response m_response;
    std::string m_remoteAddress;
    DisconnectHandler m_onDisconnect;
    /// Number of the current request, to ignore a repeated or late call of its responder.
    std::uint64_t m_requestNumber = 0;
    /// Bytes reserved for the request body in the server's total limit: the content length, if the request
    /// states one.
    std::uint64_t m_bodyBytes = 0;
    /// Memory of the fields of the header.
    std::uint64_t m_headerBytes = 0;
    bool m_isHeaderAccepted = false;
    bool m_hasRequestInProgress = false;
    bool m_isWriting = false;
    /// Refused by giveUp() while it is being read.
    bool m_isGivenUp = false;
    bool m_isReadTimedOut = false;
    bool m_isClosingAfterResponse = false;
    bool m_isClosed = false;
};

} // namespace Citronpitch
