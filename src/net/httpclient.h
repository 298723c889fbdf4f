#pragma once

#include "citronpitch/eventlooplag.h"
#include "citronpitch/timepoint.h"
#include "net/heldbytes.h"
#include "net/httptypes.h"
#include "settings/settings.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace Citronpitch {

class HttpConnection;

/// Outcome of an exchange.
enum class ExchangeOutcome {
    /// No byte of the request was written to a socket.
    NotSent,
    /// NotSent because a limit of the HttpClient was reached; says nothing about the endpoint.
    Limited,
    /// The request may have been written in part or in whole, but no complete response was received.
    Incomplete,
    Answered,
};

/// Request to send. HttpClient adds the header fields that each request needs.
struct ClientRequest
{
    std::string method = "GET";
    std::string target = "/";
    std::vector<HttpHeader> headers;
    std::string body;
    /**
     * Timeout of writing the request and reading the response together; zero for none. Waiting for a
     * connection has the same timeout, connecting has one of its own.
     *
     * Time during which the event loop lags does not count, see EventLoopLag.
     */
    Duration timeout{};
    /// Called right before the request is written, after the connection was established. If it returns true,
    /// nothing is written, the outcome is NotSent and the connection stays open. Never expires if empty.
    std::function<bool()> isExpired;
};

/// Result of an exchange; response is only set if the outcome is Answered.
struct ClientResponse
{
    ExchangeOutcome outcome = ExchangeOutcome::Incomplete;
    HttpResponse response;

    /// Returns the value of header @p name (case-insensitive), or nullptr.
    const std::string *findHeader(std::string_view name) const;
};

using ExchangeId = std::uint64_t;
using ExchangeHandler = std::function<void(const ClientResponse &)>;

/// Limits of an HttpClient. An exchange that can't get a connection waits, and ends as Limited if it waits
/// for longer than its timeout.
struct HttpClientLimits
{
    static constexpr std::size_t unlimited = std::numeric_limits<std::size_t>::max();

    /// Connections that are open or being opened. An idle connection is closed to open one elsewhere.
    std::size_t maximumConnections = unlimited;
    std::size_t maximumConnectionsPerEndpoint = unlimited;
    /// Connections that are being opened.
    std::size_t maximumOpening = unlimited;
    /// Exchanges that wait for a connection; further ones end as Limited at once.
    std::size_t maximumWaiting = unlimited;
    /// Size of the body of a response; a larger one ends as Incomplete.
    std::uint64_t maximumResponseBytes = std::uint64_t{64} << 20;
    /// Memory that the responses that are being read hold together. Beyond it the largest ends as Incomplete.
    std::uint64_t maximumIncompleteBytes = std::uint64_t{256} << 20;
};

/**
 * @brief Sends HTTP/1.1 requests over persistent connections, without pipelining and without retries.
 *
 * Used by UpstreamClient, the command-line tool, the fake upstream and the load tool.
 */
class HttpClient
{
public:
    explicit HttpClient(boost::asio::io_context &io, const HttpClientLimits &limits = {});
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Sends @p request. @p handler is called exactly once, never before this returns.
    ExchangeId send(const Endpoint &endpoint, const ClientRequest &request, ExchangeHandler handler);

    /// Closes the connection of an exchange in progress; its handler is called before this returns. No effect
    /// if the exchange has finished.
    void abort(ExchangeId exchange);

    /// Returns the number of connections that are open or being opened.
    std::size_t connectionCount() const;

    /// Returns the number of connections that were opened, or tried to be opened, so far.
    std::uint64_t openedConnections() const;

    /// Returns the number of exchanges that wait for a connection.
    std::size_t waitingCount() const;

private:
    friend class HttpConnection;

    /// Connections to one endpoint, and the exchanges that wait for one.
    struct Peer
    {
        std::vector<std::shared_ptr<HttpConnection>> idle;
        std::size_t connections = 0;
        std::deque<ExchangeId> waiting;
    };

    struct WaitingExchange
    {
        Endpoint endpoint;
        ClientRequest request;
        ExchangeHandler handler;
    };

    /// A deadline in EventLoopLag::loopTime().
    using Deadline = std::pair<TimePoint, ExchangeId>;

    TimePoint now() const;
    void open(ExchangeId exchange, const Endpoint &endpoint, const ClientRequest &request,
              ExchangeHandler handler);
    void assign(ExchangeId exchange, const std::shared_ptr<HttpConnection> &connection,
                const ClientRequest &request, ExchangeHandler handler);
    bool mayOpen(const Peer &peer) const;
    /// Closes the connection that has been idle for longest, if the limit of all connections is reached.
    void makeRoom();
    /// Starts waiting exchanges as far as the limits allow.
    void startWaiting();
    void startNext(const Endpoint &endpoint);
    void finishWaiting(ExchangeId exchange);
    void setDeadline(ExchangeId exchange, Duration timeout);
    void clearDeadline(ExchangeId exchange);
    void armTimer();
    void timerExpired();
    void closeOverdue(const std::vector<Deadline> &overdue);

    /// Called by HttpConnection.
    void connectionOpened();
    /// Sets what the incomplete response on @p connection holds, and closes the connections with the largest
    /// ones until the rest is within the limit.
    void hold(HttpConnection &connection, std::uint64_t bytes);
    void exchangeFinished(const std::shared_ptr<HttpConnection> &connection, ExchangeId exchange,
                          const ExchangeHandler &handler, const ClientResponse &response);
    void connectionClosed(const std::shared_ptr<HttpConnection> &connection, bool wasOpening);

    boost::asio::io_context &m_io;
    HttpClientLimits m_limits;
    HeldBytes<HttpConnection> m_held;
    std::map<Endpoint, Peer> m_peers;
    std::map<ExchangeId, std::shared_ptr<HttpConnection>> m_active;
    std::map<ExchangeId, WaitingExchange> m_waiting;
    /// Endpoints with waiting exchanges, in the order in which they began to wait.
    std::deque<Endpoint> m_waitingEndpoints;
    std::size_t m_connections = 0;
    std::size_t m_opening = 0;
    std::uint64_t m_opened = 0;
    ExchangeId m_nextExchange = 1;
    /// Orders the idle connections by when they became idle.
    std::uint64_t m_nextIdleNumber = 1;
    EventLoopLag m_lag;
    std::set<Deadline> m_deadlines;
    std::map<ExchangeId, TimePoint> m_deadlineOf;
    boost::asio::steady_timer m_timer;
    /// When the timer expires; nothing if it is not set.
    std::optional<TimePoint> m_timerDue;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace Citronpitch
