#pragma once

#include "citronpitch/nametable.h"

#include "net/heldbytes.h"
#include "net/httptypes.h"
#include "settings/settings.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace Citronpitch {

class HttpSession;
class Metrics;

/// Limits whose excess ends the reading of a request.
enum class RequestLimit { Header, Trailers, Body, BodiesInAll, IncompleteInAll, ReadTime };

inline constexpr std::array requestLimitNames{
    EnumName<RequestLimit>{RequestLimit::Header, "header"},
    EnumName<RequestLimit>{RequestLimit::Trailers, "trailers"},
    EnumName<RequestLimit>{RequestLimit::Body, "body"},
    EnumName<RequestLimit>{RequestLimit::BodiesInAll, "bodiesInAll"},
    EnumName<RequestLimit>{RequestLimit::IncompleteInAll, "incompleteInAll"},
    EnumName<RequestLimit>{RequestLimit::ReadTime, "readTime"},
};

/**
 * @brief Accepts HTTP/1.1 connections on one address and passes each request to a handler.
 *
 * Enforces the limits on body size, header size, memory of incomplete requests, number of connections and
 * idle time. Used by Daemon for callers, upstreams and operators, and by the fake upstream.
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

    /// Adds the number of requests that were refused before they were read whole, with @p listener as the
    /// name of this server.
    void collect(Metrics &metrics, const std::string &listener) const;

private:
    friend class HttpSession;

    void accept();
    void addSession(boost::asio::ip::tcp::socket socket);
    void acceptPending();
    std::optional<HttpResponse> rejectionFor(const std::string &address) const;
    void remove(const std::shared_ptr<HttpSession> &session);
    /// Sets what the incomplete request or the response of @p session holds, and gives up the largest ones of
    /// all sessions until the rest is within the limit. Returns false if that of @p session is one of them.
    bool hold(HttpSession &session, std::uint64_t bytes);
    void recordRefusal(const std::string &address, RequestLimit limit);
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
    HeldBytes<HttpSession> m_held;
    std::map<RequestLimit, std::uint64_t> m_refused;
    bool m_isClosingAfterResponse = false;
    bool m_isDraining = false;
};

} // namespace Citronpitch
