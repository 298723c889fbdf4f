#pragma once

#include "net/httptypes.h"
#include "settings/settings.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace Citronpitch {

class HttpSession;

/**
 * @brief Takes HTTP/1.1 connections on one address and hands each request to a handler.
 *
 * Enforces the limits on bodies, headers, connections and idle time. Used by Daemon for callers, for
 * upstreams and for operators, and by the fake upstream.
 */
class HttpServer
{
public:
    /// Listens at once; throws boost::system::system_error where the address can't be had.
    HttpServer(boost::asio::io_context &io, const Endpoint &endpoint, const HttpLimits &limits,
               HttpHandler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Every response from now on ends its connection, so that callers connect anew and elsewhere.
    void closeAfterResponses();

    /// Takes the connections that wait to be accepted and no more, closes idle ones, and the others after
    /// their response.
    void drain();

    /// Takes @p limits for connections and requests from now on.
    void setLimits(const HttpLimits &limits);

    /// Port that is listened on.
    std::uint16_t port() const;

    /// Connections that are open.
    std::size_t connectionCount() const;

private:
    friend class HttpSession;

    void accept();
    void addSession(boost::asio::ip::tcp::socket socket);
    void acceptPending();
    std::optional<HttpResponse> rejectionFor(const std::string &address) const;
    void remove(const std::shared_ptr<HttpSession> &session);
    bool reserveBodyBytes(std::uint64_t bytes);
    void releaseBody(std::uint64_t bytes);

    boost::asio::io_context &m_io;
    boost::asio::ip::tcp::acceptor m_acceptor;
    HttpLimits m_limits;
    HttpHandler m_handler;
    std::set<std::shared_ptr<HttpSession>> m_sessions;
    std::map<std::string, std::uint32_t> m_connectionsPerAddress;
    std::uint64_t m_bodyBytes = 0;
    bool m_isClosingAfterResponse = false;
    bool m_isDraining = false;
};

} // namespace Citronpitch
