#include "net/httpserver.h"

#include "log/eventlog.h"
#include "log/metrics.h"
#include "net/httpsession.h"

#include <boost/asio/ip/address.hpp>

namespace Citronpitch {

using Tcp = boost::asio::ip::tcp;

namespace {

/// Number of connections over the limit that still receive an error response; further ones are closed.
constexpr std::size_t maximumRejectedConnections = 100;

} // namespace

HttpServer::HttpServer(boost::asio::io_context &io, const Endpoint &endpoint, const HttpLimits &limits,
                       HttpHandler handler, AbandonedRequests abandoned)
    : m_io(io)
    , m_acceptor(io, Tcp::endpoint(boost::asio::ip::make_address(endpoint.address), endpoint.port))
    , m_limits(limits)
    , m_handler(std::move(handler))
    , m_abandoned(abandoned)
{
    accept();
}

HttpServer::~HttpServer()
{
    for (const auto &it : m_sessions)
        it->detach();
}

void HttpServer::closeAfterResponses()
{
    m_isClosingAfterResponse = true;
    for (const auto &it : m_sessions)
        it->closeAfterResponse();
}

void HttpServer::drain()
{
    closeAfterResponses();
    // Copied before the pending connections are accepted, as those must get a response before they are
    // closed.
    const auto idleSessions = m_sessions;
    acceptPending();
    m_isDraining = true;
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
    for (const auto &it : idleSessions)
        it->drain();
}

void HttpServer::setLimits(const HttpLimits &limits)
{
    m_limits = limits;
}

void HttpServer::acceptPending()
{
    boost::system::error_code ec;
    m_acceptor.non_blocking(true, ec);
    while (!ec) {
        Tcp::socket socket(m_io);
        m_acceptor.accept(socket, ec);
        if (!ec)
            addSession(std::move(socket));
    }
}

std::uint16_t HttpServer::port() const
{
    return m_acceptor.local_endpoint().port();
}

std::size_t HttpServer::connectionCount() const
{
    return m_sessions.size();
}

void HttpServer::accept()
{
    m_acceptor.async_accept([this](boost::system::error_code ec, Tcp::socket socket) {
        if (ec == boost::asio::error::operation_aborted || m_isDraining)
            return;
        if (!ec)
            addSession(std::move(socket));
        accept();
    });
}

void HttpServer::addSession(Tcp::socket socket)
{
    boost::system::error_code ec;
    const auto remote = socket.remote_endpoint(ec);
    if (ec)
        return;
    const auto address = remote.address().to_string();
    const auto rejection = rejectionFor(address);
    if (m_sessions.size() >= m_limits.maximumConnections + maximumRejectedConnections)
        return;
    socket.set_option(Tcp::no_delay(true), ec);
    ++m_connectionsPerAddress[address];
    const auto session = std::make_shared<HttpSession>(*this, std::move(socket), address);
    m_sessions.insert(session);
    if (m_isClosingAfterResponse)
        session->closeAfterResponse();
    if (rejection)
        session->reject(*rejection);
    else
        session->start();
}

std::optional<HttpResponse> HttpServer::rejectionFor(const std::string &address) const
{
    const std::vector<HttpHeader> headers{{"Retry-After", "1"}};
    if (m_sessions.size() >= m_limits.maximumConnections)
        return HttpResponse{503, R"({"error":"connect: too many open connections"})", headers};
    const auto it = m_connectionsPerAddress.find(address);
    if (it != m_connectionsPerAddress.end() && it->second >= m_limits.maximumConnectionsPerAddress)
        return HttpResponse{429, R"({"error":"connect: too many open connections from this address"})",
                            headers};
    return std::nullopt;
}

void HttpServer::remove(const std::shared_ptr<HttpSession> &session)
{
    const auto it = m_connectionsPerAddress.find(session->remoteAddress());
    if (it != m_connectionsPerAddress.end() && --it->second == 0)
        m_connectionsPerAddress.erase(it);
    m_held.set(session.get(), 0);
    m_sessions.erase(session);
}

void HttpServer::collect(Metrics &metrics, const std::string &listener) const
{
    for (const auto &[limit, n] : m_refused)
        metrics.setTotal(Metric::RequestsRefused, {listener, std::string(enumName(requestLimitNames, limit))},
                         n);
}

bool HttpServer::hold(HttpSession &session, std::uint64_t bytes)
{
    m_held.set(&session, bytes);
    while (m_held.total() > m_limits.maximumIncompleteBytes) {
        auto *largest = m_held.largest();
        m_held.set(largest, 0);
        if (largest == &session)
            return false;
        largest->giveUp();
    }
    return true;
}

void HttpServer::recordRefusal(const std::string &address, RequestLimit limit)
{
    ++m_refused[limit];
    logEvent(Event::RequestTooLarge,
             {{"peer", address}, {"limit", std::string(enumName(requestLimitNames, limit))}});
}

bool HttpServer::reserveBodyBytes(std::uint64_t bytes)
{
    if (m_bodyBytes + bytes > m_limits.maximumBodyBytesInAll)
        return false;
    m_bodyBytes += bytes;
    return true;
}

void HttpServer::releaseBody(std::uint64_t bytes)
{
    m_bodyBytes -= bytes;
}

} // namespace Citronpitch
