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
 * @brief Accepts HTTP/1.1 connections on one address and passes each request to a handler.
 *
 * Enforces the limits on body size, header size, number of connections and idle time. Used by Daemon for
 * callers, upstreams and operators, and by the fake upstream.
 */
class HttpServer
{
public:
    /// Starts to listen; throws boost::system::system_error if @p endpoint can't be bound.
    HttpServer(boost::asio::io_context &io, const Endpoint &endpoint, const HttpLimits &limits,
               HttpHandler handler, AbandonedRequests abandoned = AbandonedRequests::Handled);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Closes each connection after its next response, so that callers reconnect to another VM.
    void closeAfterResponses();

    /// Accepts the pending connections and stops listening. Closes idle connections at once, and all others
    /// after their next response.
    void drain();

    /// Applies @p limits to new connections and requests.
    void setLimits(const HttpLimits &limits);

    /// Returns the port that the server listens on.
    std::uint16_t port() const;

    /// Returns the number of open connections.
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
    AbandonedRequests m_abandoned;
    std::set<std::shared_ptr<HttpSession>> m_sessions;
    std::map<std::string, std::uint32_t> m_connectionsPerAddress;
    std::uint64_t m_bodyBytes = 0;
    bool m_isClosingAfterResponse = false;
    bool m_isDraining = false;
};

} // namespace Citronpitch
