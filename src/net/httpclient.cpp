#include "net/httpclient.h"

#include "net/eventloop.h"
#include "net/httpconnection.h"

#include <boost/algorithm/string/predicate.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>

namespace Citronpitch {

namespace {

/// Interval of the timer that measures the lag while exchanges with a timeout are in progress.
constexpr Duration lagInterval = std::chrono::milliseconds(10);

/// How much longer an exchange may take if part of its response has arrived by its timeout.
constexpr Duration pendingInputExtension = std::chrono::milliseconds(20);

} // namespace

const std::string *ClientResponse::findHeader(std::string_view name) const
{
    for (const auto &it : response.headers) {
        if (boost::algorithm::iequals(it.name, name))
            return &it.value;
    }
    return nullptr;
}

HttpClient::HttpClient(boost::asio::io_context &io, const HttpClientLimits &limits)
    : m_io(io)
    , m_limits(limits)
    , m_timer(io)
{
}

HttpClient::~HttpClient()
{
    *m_isAlive = false;
    for (const auto &[endpoint, peer] : m_peers) {
        for (const auto &it : peer.idle)
            it->detach();
    }
    for (const auto &[exchange, connection] : m_active)
        connection->detach();
}

ExchangeId HttpClient::send(const Endpoint &endpoint, const ClientRequest &request, ExchangeHandler handler)
{
    const auto exchange = m_nextExchange++;
    auto &peer = m_peers[endpoint];
    if (!peer.idle.empty()) {
        const auto connection = peer.idle.back();
        peer.idle.pop_back();
        assign(exchange, connection, request, std::move(handler));
        return exchange;
    }
    if (mayOpen(peer)) {
        open(exchange, endpoint, request, std::move(handler));
        return exchange;
    }
    const bool isFull = m_waiting.size() >= m_limits.maximumWaiting;
    m_waiting.emplace(exchange, WaitingExchange{endpoint, request, std::move(handler)});
    if (isFull) {
        boost::asio::post(m_io, [this, exchange, isAlive = m_isAlive] {
            if (*isAlive)
                finishWaiting(exchange);
        });
        return exchange;
    }
    if (peer.waiting.empty())
        m_waitingEndpoints.push_back(endpoint);
    peer.waiting.push_back(exchange);
    setDeadline(exchange, request.timeout);
    return exchange;
}

void HttpClient::abort(ExchangeId exchange)
{
    if (m_waiting.contains(exchange)) {
        finishWaiting(exchange);
        return;
    }
    const auto it = m_active.find(exchange);
    if (it == m_active.end())
        return;
    const auto connection = it->second;
    connection->close();
}

std::size_t HttpClient::connectionCount() const
{
    return m_connections;
}

std::uint64_t HttpClient::openedConnections() const
{
    return m_opened;
}

std::size_t HttpClient::waitingCount() const
{
    return m_waiting.size();
}

TimePoint HttpClient::now() const
{
    const auto sinceStart = std::chrono::steady_clock::now().time_since_epoch();
    return TimePoint(std::chrono::duration_cast<Duration>(sinceStart));
}

void HttpClient::open(ExchangeId exchange, const Endpoint &endpoint, const ClientRequest &request,
                      ExchangeHandler handler)
{
    makeRoom();
    ++m_connections;
    ++m_opening;
    ++m_opened;
    ++m_peers[endpoint].connections;
    assign(exchange, std::make_shared<HttpConnection>(*this, m_io, endpoint), request, std::move(handler));
}

void HttpClient::assign(ExchangeId exchange, const std::shared_ptr<HttpConnection> &connection,
                        const ClientRequest &request, ExchangeHandler handler)
{
    m_active.emplace(exchange, connection);
    connection->start(exchange, request, std::move(handler));
}

bool HttpClient::mayOpen(const Peer &peer) const
{
    return m_opening < m_limits.maximumOpening && peer.connections < m_limits.maximumConnectionsPerEndpoint
        && m_active.size() < m_limits.maximumConnections;
}

void HttpClient::makeRoom()
{
    if (m_connections < m_limits.maximumConnections)
        return;
    std::shared_ptr<HttpConnection> oldest;
    for (const auto &[endpoint, peer] : m_peers) {
        // The first of the list has been idle for longest, as the last is used first.
        if (!peer.idle.empty() && (!oldest || peer.idle.front()->idleSince() < oldest->idleSince()))
            oldest = peer.idle.front();
    }
    if (oldest)
        oldest->close();
}

void HttpClient::startWaiting()
{
    // An endpoint at its own limit must not hold up the others.
    for (auto n = m_waitingEndpoints.size(); n > 0; --n) {
        if (m_opening >= m_limits.maximumOpening || m_active.size() >= m_limits.maximumConnections)
            return;
        const auto endpoint = m_waitingEndpoints.front();
        m_waitingEndpoints.pop_front();
        m_waitingEndpoints.push_back(endpoint);
        startNext(endpoint);
    }
}

void HttpClient::startNext(const Endpoint &endpoint)
{
    auto &peer = m_peers[endpoint];
    if (peer.waiting.empty() || (peer.idle.empty() && !mayOpen(peer)))
        return;
    const auto exchange = peer.waiting.front();
    peer.waiting.pop_front();
    if (peer.waiting.empty())
        std::erase(m_waitingEndpoints, endpoint);
    auto next = std::move(m_waiting.at(exchange));
    m_waiting.erase(exchange);
    clearDeadline(exchange);
    if (peer.idle.empty()) {
        open(exchange, endpoint, next.request, std::move(next.handler));
        return;
    }
    const auto connection = peer.idle.back();
    peer.idle.pop_back();
    assign(exchange, connection, next.request, std::move(next.handler));
}

void HttpClient::finishWaiting(ExchangeId exchange)
{
    const auto it = m_waiting.find(exchange);
    if (it == m_waiting.end())
        return;
    const auto waiting = std::move(it->second);
    m_waiting.erase(it);
    clearDeadline(exchange);
    if (const auto peer = m_peers.find(waiting.endpoint); peer != m_peers.end()) {
        std::erase(peer->second.waiting, exchange);
        if (peer->second.waiting.empty())
            std::erase(m_waitingEndpoints, waiting.endpoint);
    }
    callHandler([&] { return "request to " + waiting.endpoint.text(); },
                [&] {
                    waiting.handler({ExchangeOutcome::Limited, {}});
                });
}

void HttpClient::setDeadline(ExchangeId exchange, Duration timeout)
{
    clearDeadline(exchange);
    if (timeout.count() <= 0)
        return;
    const auto deadline = m_lag.loopTime(now()) + timeout;
    m_deadlines.emplace(deadline, exchange);
    m_deadlineOf.emplace(exchange, deadline);
    armTimer();
}

void HttpClient::clearDeadline(ExchangeId exchange)
{
    const auto it = m_deadlineOf.find(exchange);
    if (it == m_deadlineOf.end())
        return;
    m_deadlines.erase({it->second, exchange});
    m_deadlineOf.erase(it);
    // Without a pending operation an event loop without other work ends.
    if (m_deadlines.empty()) {
        m_timer.cancel();
        m_timerDue.reset();
    }
}

void HttpClient::armTimer()
{
    if (m_deadlines.empty())
        return;
    const auto current = now();
    const auto untilFirst = std::max(m_deadlines.begin()->first - m_lag.loopTime(current), Duration());
    const auto due = current + std::min<Duration>(untilFirst, lagInterval);
    if (m_timerDue && *m_timerDue <= due)
        return;
    m_timerDue = due;
    m_timer.expires_after(due - current);
    m_timer.async_wait([this, isAlive = m_isAlive](boost::system::error_code ec) {
        if (!ec && *isAlive)
            timerExpired();
    });
}

void HttpClient::timerExpired()
{
    const auto current = now();
    if (m_timerDue)
        m_lag.timerHandled(*m_timerDue, current);
    m_timerDue.reset();
    std::vector<Deadline> overdue;
    const auto loopTime = m_lag.loopTime(current);
    for (auto it = m_deadlines.begin(); it != m_deadlines.end() && it->first <= loopTime; ++it)
        overdue.push_back(*it);
    // Input that was read before now is handled before the posted function.
    if (!overdue.empty()) {
        boost::asio::post(m_io, [this, overdue, isAlive = m_isAlive] {
            if (*isAlive)
                closeOverdue(overdue);
        });
        return;
    }
    armTimer();
}

void HttpClient::closeOverdue(const std::vector<Deadline> &overdue)
{
    for (const auto &[deadline, exchange] : overdue) {
        if (!m_deadlines.contains({deadline, exchange}))
            continue;
        const auto active = m_active.find(exchange);
        if (active != m_active.end() && active->second->takeExtension())
            setDeadline(exchange, pendingInputExtension);
        else
            abort(exchange);
    }
    armTimer();
}

void HttpClient::hold(HttpConnection &connection, std::uint64_t bytes)
{
    m_held.set(&connection, bytes);
    while (m_held.total() > m_limits.maximumIncompleteBytes)
        m_held.largest()->close();
}

void HttpClient::connectionOpened()
{
    --m_opening;
    startWaiting();
}

void HttpClient::exchangeFinished(const std::shared_ptr<HttpConnection> &connection, ExchangeId exchange,
                                  const ExchangeHandler &handler, const ClientResponse &response)
{
    m_active.erase(exchange);
    clearDeadline(exchange);
    if (connection->isOpen()) {
        connection->setIdleSince(m_nextIdleNumber++);
        m_peers[connection->endpoint()].idle.push_back(connection);
        startNext(connection->endpoint());
    }
    if (!m_waitingEndpoints.empty())
        startWaiting();
    callHandler([&] { return "response of " + connection->endpoint().text(); }, [&] { handler(response); });
}

void HttpClient::connectionClosed(const std::shared_ptr<HttpConnection> &connection, bool wasOpening)
{
    --m_connections;
    if (wasOpening)
        --m_opening;
    const auto it = m_peers.find(connection->endpoint());
    if (it == m_peers.end())
        return;
    auto &peer = it->second;
    --peer.connections;
    std::erase(peer.idle, connection);
    if (peer.connections == 0 && peer.waiting.empty())
        m_peers.erase(it);
}

} // namespace Citronpitch
