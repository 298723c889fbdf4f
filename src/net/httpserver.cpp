#include "net/httpserver.h"

#include "net/httpsession.h"

#include <boost/asio/ip/address.hpp>

namespace Citronpitch {

using Tcp = boost::asio::ip::tcp;

HttpServer::HttpServer(boost::asio::io_context &io, const Endpoint &endpoint, const CallerLimits &limits,
                       HttpHandler handler)
    : m_io(io)
    , m_acceptor(io, Tcp::endpoint(boost::asio::ip::make_address(endpoint.address), endpoint.port))
    , m_limits(limits)
    , m_handler(std::move(handler))
{
    accept();
}

HttpServer::~HttpServer()
{
    for (const auto &it : m_sessions)
        it->abandon();
}

void HttpServer::drain()
{
    m_isDraining = true;
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
    const auto sessions = m_sessions;
    for (const auto &it : sessions)
        it->drain();
}

void HttpServer::setLimits(const CallerLimits &limits)
{
    m_limits = limits;
}

std::uint16_t HttpServer::port() const
{
    return m_acceptor.local_endpoint().port();
}

std::size_t HttpServer::connections() const
{
    return m_sessions.size();
}

void HttpServer::accept()
{
    m_acceptor.async_accept([this](boost::system::error_code ec, Tcp::socket socket) {
        if (ec == boost::asio::error::operation_aborted || m_isDraining)
            return;
        if (!ec)
            take(std::move(socket));
        accept();
    });
}

void HttpServer::take(Tcp::socket socket)
{
    boost::system::error_code ec;
    const auto remote = socket.remote_endpoint(ec);
    if (ec)
        return;
    const auto address = remote.address().to_string();
    if (m_sessions.size() >= m_limits.maximumConnections
        || m_connectionsPerAddress[address] >= m_limits.maximumConnectionsPerAddress)
        return;
    socket.set_option(Tcp::no_delay(true), ec);
    ++m_connectionsPerAddress[address];
    const auto session = std::make_shared<HttpSession>(*this, std::move(socket), address);
    m_sessions.insert(session);
    session->start();
}

void HttpServer::remove(const std::shared_ptr<HttpSession> &session)
{
    const auto it = m_connectionsPerAddress.find(session->remoteAddress());
    if (it != m_connectionsPerAddress.end() && --it->second == 0)
        m_connectionsPerAddress.erase(it);
    m_sessions.erase(session);
}

} // namespace Citronpitch
