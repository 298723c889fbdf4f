#include "net/httpconnection.h"

#include <boost/asio/ip/address.hpp>

namespace Citronpitch {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = boost::asio::ip::tcp;

namespace {

constexpr std::uint32_t maximumHeaderBytes = 8 << 10;
/// What is held of a response beside its body: the header, the line before a chunk, or the trailers.
constexpr std::size_t maximumBufferBytes = std::size_t{24} << 10;
constexpr std::size_t maximumReadBytes = std::size_t{16} << 10;
constexpr Duration connectTimeout = std::chrono::seconds(1);
/// Limits by how much a peer can extend an exchange that sends its response piece by piece.
constexpr int maximumExtensions = 10;

} // namespace

HttpConnection::HttpConnection(HttpClient &client, boost::asio::io_context &io, Endpoint endpoint)
    : m_client(&client)
    , m_stream(io)
    , m_buffer(maximumBufferBytes)
    , m_endpoint(std::move(endpoint))
{
}

const Endpoint &HttpConnection::endpoint() const
{
    return m_endpoint;
}

bool HttpConnection::isOpen() const
{
    return !m_isClosed;
}

void HttpConnection::start(ExchangeId exchange, const ClientRequest &request, ExchangeHandler handler)
{
    m_exchange = exchange;
    m_handler = std::move(handler);
    m_timeout = request.timeout;
    m_isExpired = request.isExpired;
    m_hasSentBytes = false;
    m_extensions = 0;
    m_parser.reset();
    m_request = {};
    m_request.version(11);
    m_request.method_string(request.method);
    m_request.target(request.target);
    m_request.set(http::field::host, m_endpoint.address);
    for (const auto &it : request.headers)
        m_request.set(it.name, it.value);
    m_request.body() = request.body;
    m_request.prepare_payload();
    if (m_isConnected)
        write();
    else
        connect();
}

bool HttpConnection::takeExtension()
{
    if (!m_isConnected || m_extensions == maximumExtensions)
        return false;
    beast::error_code ec;
    const auto unread = m_stream.socket().available(ec);
    const bool isResponsePending = (!ec && unread > 0) || (m_parser && m_parser->got_some());
    m_extensions += isResponsePending ? 1 : 0;
    return isResponsePending;
}

std::uint64_t HttpConnection::idleSince() const
{
    return m_idleSince;
}

void HttpConnection::setIdleSince(std::uint64_t number)
{
    m_idleSince = number;
}

void HttpConnection::close()
{
    finishExchange({m_hasSentBytes ? ExchangeOutcome::Incomplete : ExchangeOutcome::NotSent, {}}, false);
}

void HttpConnection::detach()
{
    m_client = nullptr;
    m_isClosed = true;
    m_stream.close();
}

void HttpConnection::connect()
{
    beast::error_code ec;
    const auto address = boost::asio::ip::make_address(m_endpoint.address, ec);
    if (ec) {
        boost::asio::post(m_stream.get_executor(), [self = shared_from_this()] { self->close(); });
        return;
    }
    m_client->setDeadline(m_exchange, connectTimeout);
    m_stream.async_connect(Tcp::endpoint(address, m_endpoint.port),
                           [self = shared_from_this()](beast::error_code result) {
                               if (self->m_isClosed)
                                   return;
                               if (result) {
                                   self->close();
                                   return;
                               }
                               self->m_isConnected = true;
                               beast::error_code ignored;
                               self->m_stream.socket().set_option(Tcp::no_delay(true), ignored);
                               self->m_client->connectionOpened();
                               if (!self->m_isClosed)
                                   self->write();
                           });
}

void HttpConnection::write()
{
    if (m_isExpired && m_isExpired()) {
        boost::asio::post(m_stream.get_executor(), [self = shared_from_this(), exchange = m_exchange] {
            if (self->m_exchange == exchange)
                self->finishExchange({ExchangeOutcome::NotSent, {}}, true);
        });
        return;
    }
    m_client->setDeadline(m_exchange, m_timeout);
    m_hasSentBytes = true;
    http::async_write(m_stream, m_request, [self = shared_from_this()](beast::error_code ec, std::size_t n) {
        if (self->m_isClosed)
            return;
        if (ec) {
            self->m_hasSentBytes = n > 0;
            self->close();
            return;
        }
        self->read();
    });
}

void HttpConnection::read()
{
    m_parser.emplace();
    m_parser->header_limit(maximumHeaderBytes);
    m_parser->body_limit(m_client->m_limits.maximumResponseBytes);
    if (m_buffer.size() > 0)
        parse();
    else
        readMore();
}

void HttpConnection::readMore()
{
    const auto room = beast::read_size(m_buffer, maximumReadBytes);
    if (room == 0) {
        close();
        return;
    }
    m_stream.async_read_some(m_buffer.prepare(room),
                             [self = shared_from_this()](beast::error_code ec, std::size_t n) {
                                 if (self->m_isClosed)
                                     return;
                                 // A response without a length ends with the connection.
                                 if (ec == boost::asio::error::eof && self->m_parser->got_some())
                                     self->m_parser->put_eof(ec);
                                 if (ec) {
                                     self->close();
                                     return;
                                 }
                                 self->m_buffer.commit(n);
                                 self->parse();
                             });
}

void HttpConnection::parse()
{
    beast::error_code ec;
    while (!m_parser->is_done() && m_buffer.size() > 0 && !ec)
        m_buffer.consume(m_parser->put(m_buffer.data(), ec));
    if (ec && ec != http::error::need_more) {
        close();
        return;
    }
    if (m_parser->is_done()) {
        handleResponse();
        return;
    }
    const auto self = shared_from_this();
    m_client->hold(*this, m_buffer.capacity() + m_parser->get().body().capacity());
    if (!m_isClosed)
        readMore();
}

void HttpConnection::handleResponse()
{
    auto message = m_parser->release();
    ClientResponse response;
    response.outcome = ExchangeOutcome::Answered;
    response.response.status = static_cast<int>(message.result_int());
    for (const auto &it : message)
        response.response.headers.push_back({std::string(it.name_string()), std::string(it.value())});
    response.response.body = std::move(message.body());
    finishExchange(response, message.keep_alive());
}

void HttpConnection::watchForRemoteClose()
{
    m_stream.socket().async_wait(Tcp::socket::wait_read, [self = shared_from_this()](beast::error_code ec) {
        if (!ec && !self->m_isClosed && self->m_exchange == 0)
            self->close();
    });
}

void HttpConnection::finishExchange(const ClientResponse &response, bool keepAlive)
{
    if (m_isClosed)
        return;
    const auto exchange = std::exchange(m_exchange, 0);
    const auto handler = std::exchange(m_handler, nullptr);
    const auto self = shared_from_this();
    m_client->hold(*this, 0);
    m_parser.reset();
    if (keepAlive) {
        watchForRemoteClose();
    } else {
        m_isClosed = true;
        m_stream.close();
        m_client->connectionClosed(self, !m_isConnected);
    }
    if (exchange != 0)
        m_client->exchangeFinished(self, exchange, handler, response);
}

} // namespace Citronpitch
