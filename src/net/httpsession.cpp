#include "net/httpsession.h"

#include "net/eventloop.h"
#include "net/httpserver.h"

#include <sys/socket.h>

#include <cerrno>

namespace Citronpitch {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t initialReadBytes = 4096;

} // namespace

HttpSession::HttpSession(HttpServer &server, boost::asio::ip::tcp::socket socket, std::string remoteAddress)
    : m_server(&server)
    , m_stream(std::move(socket))
    , m_readTimer(m_stream.get_executor())
    , m_remoteAddress(std::move(remoteAddress))
{
}

void HttpSession::start()
{
    read();
}

void HttpSession::reject(HttpResponse response)
{
    m_rejection = std::move(response);
    read();
}

void HttpSession::closeAfterResponse()
{
    m_isClosingAfterResponse = true;
}

void HttpSession::drain()
{
    m_isClosingAfterResponse = true;
    if (!m_hasRequestInProgress)
        close();
}

const std::string &HttpSession::remoteAddress() const
{
    return m_remoteAddress;
}

void HttpSession::detach()
{
    m_server = nullptr;
    m_isClosed = true;
    m_stream.close();
}

void HttpSession::read()
{
    const auto &limits = m_server->m_limits;
    m_parser.emplace();
    m_parser->header_limit(limits.maximumHeaderBytes);
    m_parser->body_limit(limits.maximumBodyBytes);
    // The idle timeout applies until the first byte arrives, the read timeout to the rest of the request.
    if (m_buffer.size() > 0) {
        readHeader();
        return;
    }
    m_stream.expires_after(limits.idleTimeout);
    m_stream.async_read_some(m_buffer.prepare(initialReadBytes),
                             [self = shared_from_this()](beast::error_code ec, std::size_t n) {
                                 if (self->m_isClosed)
                                     return;
                                 if (ec) {
                                     self->close();
                                     return;
                                 }
                                 self->m_buffer.commit(n);
                                 self->readHeader();
                             });
}

void HttpSession::readHeader()
{
    m_hasRequestInProgress = true;
    m_stream.expires_never();
    startReadTimer();
    http::async_read_header(m_stream, m_buffer, *m_parser,
                            [self = shared_from_this()](beast::error_code ec, std::size_t) {
                                if (self->m_isClosed)
                                    return;
                                if (ec)
                                    self->handleReadError(ec);
                                else
                                    self->readBody();
                            });
}

void HttpSession::startReadTimer()
{
    m_readTimer.expires_after(m_server->m_limits.readTimeout);
    m_readTimer.async_wait([self = shared_from_this()](beast::error_code ec) {
        if (ec || self->m_isClosed)
            return;
        self->m_isReadTimedOut = true;
        self->m_stream.cancel();
    });
}

void HttpSession::readBody()
{
    if (m_rejection) {
        write(*m_rejection, false);
        return;
    }
    m_bodyBytes = m_parser->content_length().value_or(m_server->m_limits.maximumBodyBytes);
    if (m_parser->is_done())
        m_bodyBytes = 0;
    if (!m_server->reserveBodyBytes(m_bodyBytes)) {
        m_bodyBytes = 0;
        write({503,
               R"({"error":"read request: too many request body bytes in flight; retry later"})",
               {{"Retry-After", "1"}}},
              false);
        return;
    }
    if (m_parser->is_done()) {
        handle();
        return;
    }
    http::async_read(m_stream, m_buffer, *m_parser,
                     [self = shared_from_this()](beast::error_code ec, std::size_t) {
                         if (self->m_isClosed)
                             return;
                         if (ec)
                             self->handleReadError(ec);
                         else
                             self->handle();
                     });
}

void HttpSession::handle()
{
    m_readTimer.cancel();
    if (m_server->m_abandoned == AbandonedRequests::Dropped && isClosedByRemote()) {
        close();
        return;
    }
    const auto message = m_parser->release();
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.remoteAddress = m_remoteAddress;
    for (const auto &it : message)
        request.headers.push_back({std::string(it.name_string()), std::string(it.value())});
    request.body = message.body();
    m_isClosingAfterResponse = m_isClosingAfterResponse || !message.keep_alive();
    releaseBody();
    if (!parseTarget({message.target().data(), message.target().size()}, request)) {
        write({400, R"({"error":"read request: malformed request target"})", {}}, false);
        return;
    }
    const auto number = ++m_requestNumber;
    const auto respondOnce = [self = shared_from_this(), number](HttpResponse response) {
        if (self->m_isClosed || self->m_requestNumber != number || !self->m_hasRequestInProgress)
            return;
        self->respond(std::move(response));
    };
    callHandler([&] { return "request " + request.method + " " + request.path; },
                [&] { m_onDisconnect = m_server->m_handler(request, respondOnce); });
    if (m_hasRequestInProgress && m_onDisconnect)
        watchForRemoteClose();
}

bool HttpSession::isClosedByRemote()
{
    char byte = 0;
    const auto n = ::recv(m_stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void HttpSession::watchForRemoteClose()
{
    const auto number = m_requestNumber;
    m_stream.socket().async_wait(
        boost::asio::ip::tcp::socket::wait_read, [self = shared_from_this(), number](beast::error_code ec) {
            if (ec || self->m_isClosed || self->m_requestNumber != number || !self->m_hasRequestInProgress)
                return;
            beast::error_code ignored;
            if (self->m_stream.socket().available(ignored) == 0)
                self->close();
        });
}

void HttpSession::respond(HttpResponse response)
{
    m_onDisconnect = nullptr;
    write(std::move(response), !m_isClosingAfterResponse);
}

void HttpSession::handleReadError(beast::error_code ec)
{
    const bool isInputError = ec == http::error::body_limit || ec == http::error::header_limit
        || (ec.category() == http::make_error_code(http::error::end_of_stream).category()
            && ec != http::error::end_of_stream && ec != http::error::partial_message);
    if (!isInputError && !m_isReadTimedOut) {
        close();
        return;
    }
    int status = 400;
    if (m_isReadTimedOut)
        status = 408;
    else if (ec == http::error::body_limit)
        status = 413;
    else if (ec == http::error::header_limit)
        status = 431;
    const std::string cause = m_isReadTimedOut ? "timed out waiting for the request" : ec.message();
    write({status, R"({"error":"read request: )" + cause + "\"}", {}}, false);
}

void HttpSession::write(HttpResponse response, bool keepAlive)
{
    releaseBody();
    m_readTimer.cancel();
    m_hasRequestInProgress = true;
    m_response = Response(static_cast<http::status>(response.status), 11);
    m_response.set(http::field::content_type, response.contentType);
    for (const auto &it : response.headers)
        m_response.set(it.name, it.value);
    m_response.body() = std::move(response.body);
    m_response.keep_alive(keepAlive);
    m_response.prepare_payload();
    m_stream.expires_after(m_server->m_limits.readTimeout);
    http::async_write(m_stream, m_response,
                      [self = shared_from_this(), keepAlive](beast::error_code ec, std::size_t) {
                          if (self->m_isClosed)
                              return;
                          self->m_hasRequestInProgress = false;
                          if (ec || !keepAlive || self->m_isClosingAfterResponse)
                              self->close();
                          else
                              self->read();
                      });
}

void HttpSession::releaseBody()
{
    if (m_server != nullptr)
        m_server->releaseBody(std::exchange(m_bodyBytes, 0));
}

void HttpSession::close()
{
    if (m_isClosed)
        return;
    m_isClosed = true;
    m_readTimer.cancel();
    releaseBody();
    beast::error_code ignored;
    m_stream.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    m_stream.close();
    if (m_onDisconnect)
        std::exchange(m_onDisconnect, nullptr)();
    if (m_server != nullptr)
        m_server->remove(shared_from_this());
}

} // namespace Citronpitch
