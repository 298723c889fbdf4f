#include "net/httpsession.h"

#include "net/eventloop.h"
#include "net/httpserver.h"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <iterator>

namespace Citronpitch {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t initialReadBytes = 4096;
constexpr std::size_t maximumReadBytes = std::size_t{16} << 10;
/// Room for the line before a chunk, or for a part of a body, beside a header or trailers of the maximum
/// size.
constexpr std::size_t lineBytes = std::size_t{8} << 10;
/// Memory that a parsed header field takes beside its text.
constexpr std::uint64_t bytesPerField = 128;

constexpr int statusBadRequest = 400;
constexpr int statusTimeout = 408;
constexpr int statusBodyTooLarge = 413;
constexpr int statusHeaderTooLarge = 431;
constexpr int statusUnavailable = 503;

HttpResponse errorResponse(int status, const std::string &cause)
{
    return {status, R"({"error":"read request: )" + cause + "\"}", {}};
}

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
    m_isHeaderAccepted = false;
    m_headerBytes = 0;
    // Of an incomplete request the buffer holds what the parser can't use yet: the header, the line before a
    // chunk, or the trailers.
    m_buffer.max_size(std::max<std::size_t>(limits.maximumHeaderBytes + lineBytes, m_buffer.size()));
    // The idle timeout applies until the first byte arrives, the read timeout to the rest of the request.
    if (m_buffer.size() > 0) {
        startReadTimer();
        parse();
        return;
    }
    // An idle connection keeps no large buffer.
    if (m_buffer.capacity() > initialReadBytes)
        m_buffer.shrink_to_fit();
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
                                 self->startReadTimer();
                                 self->parse();
                             });
}

void HttpSession::readMore()
{
    const auto room = beast::read_size(m_buffer, maximumReadBytes);
    if (room == 0) {
        refuse(RequestLimit::Trailers, statusHeaderTooLarge,
               "the trailers or the line of a chunk are too long");
        return;
    }
    m_stream.async_read_some(m_buffer.prepare(room),
                             [self = shared_from_this()](beast::error_code ec, std::size_t n) {
                                 if (self->m_isClosed)
                                     return;
                                 if (self->m_isGivenUp) {
                                     self->refuse(RequestLimit::IncompleteInAll, statusUnavailable,
                                                  "too many bytes of incomplete requests; retry later");
                                     return;
                                 }
                                 if (ec) {
                                     self->handleReadError(ec);
                                     return;
                                 }
                                 self->m_buffer.commit(n);
                                 self->parse();
                             });
}

void HttpSession::startReadTimer()
{
    m_stream.expires_never();
    m_readTimer.expires_after(m_server->m_limits.readTimeout);
    m_readTimer.async_wait([self = shared_from_this()](beast::error_code ec) {
        if (ec || self->m_isClosed)
            return;
        self->m_isReadTimedOut = true;
        self->m_stream.cancel();
    });
}

void HttpSession::parse()
{
    m_hasRequestInProgress = true;
    beast::error_code ec;
    while (!m_parser->is_done() && m_buffer.size() > 0 && !ec) {
        m_buffer.consume(m_parser->put(m_buffer.data(), ec));
        if (!ec && m_parser->is_header_done() && !std::exchange(m_isHeaderAccepted, true) && !acceptHeader())
            return;
    }
    if (ec && ec != http::error::need_more) {
        handleReadError(ec);
        return;
    }
    if (!m_server->hold(*this, heldBytes())) {
        refuse(RequestLimit::IncompleteInAll, statusUnavailable,
               "too many bytes of incomplete requests; retry later");
        return;
    }
    if (m_parser->is_done())
        handle();
    else
        readMore();
}

bool HttpSession::acceptHeader()
{
    if (m_rejection) {
        write(*m_rejection, false);
        return false;
    }
    const auto &message = m_parser->get();
    m_headerBytes = static_cast<std::uint64_t>(std::distance(message.begin(), message.end())) * bytesPerField;
    // The bytes of a body of unknown length count as they arrive, in hold().
    m_bodyBytes = m_parser->content_length().value_or(0);
    if (m_server->reserveBodyBytes(m_bodyBytes))
        return true;
    m_bodyBytes = 0;
    refuse(RequestLimit::BodiesInAll, statusUnavailable,
           "too many request body bytes in flight; retry later");
    return false;
}

std::uint64_t HttpSession::heldBytes() const
{
    // What a request has reserved keeps others out, also while nothing of it arrives.
    const auto body = std::max<std::uint64_t>(m_parser->get().body().capacity(), m_bodyBytes);
    return m_buffer.capacity() + body + m_headerBytes;
}

void HttpSession::giveUp()
{
    if (m_isWriting) {
        close();
        return;
    }
    m_isGivenUp = true;
    m_stream.cancel();
}

void HttpSession::handle()
{
    m_readTimer.cancel();
    m_server->hold(*this, 0);
    if (m_server->m_abandoned == AbandonedRequests::Dropped && isClosedByRemote()) {
        close();
        return;
    }
    auto message = m_parser->release();
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.remoteAddress = m_remoteAddress;
    for (const auto &it : message)
        request.headers.push_back({std::string(it.name_string()), std::string(it.value())});
    request.body = std::move(message.body());
    m_isClosingAfterResponse = m_isClosingAfterResponse || !message.keep_alive();
    releaseBody();
    if (!parseTarget({message.target().data(), message.target().size()}, request)) {
        write(errorResponse(statusBadRequest, "malformed request target"), false);
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
    if (m_isReadTimedOut)
        refuse(RequestLimit::ReadTime, statusTimeout, "timed out waiting for the request");
    else if (ec == http::error::body_limit)
        refuse(RequestLimit::Body, statusBodyTooLarge, ec.message());
    else if (ec == http::error::header_limit)
        refuse(RequestLimit::Header, statusHeaderTooLarge, ec.message());
    else
        write(errorResponse(statusBadRequest, ec.message()), false);
}

void HttpSession::refuse(RequestLimit limit, int status, const std::string &cause)
{
    m_server->recordRefusal(m_remoteAddress, limit);
    auto response = errorResponse(status, cause);
    if (status == statusUnavailable)
        response.headers.push_back({"Retry-After", "1"});
    // Nothing more of the request is kept while the response is written.
    m_parser.reset();
    m_buffer.clear();
    m_buffer.shrink_to_fit();
    write(std::move(response), false);
}

void HttpSession::write(HttpResponse response, bool keepAlive)
{
    releaseBody();
    m_readTimer.cancel();
    m_hasRequestInProgress = true;
    m_isWriting = true;
    // The response is held until the remote side has read it, or the write times out.
    m_server->hold(*this, response.body.capacity());
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
                          self->m_isWriting = false;
                          self->m_server->hold(*self, 0);
                          self->m_response = {};
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
