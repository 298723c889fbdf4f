#include "net/httpclient.h"

#include "net/httpserver.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <array>
#include <deque>
#include <thread>

using namespace Citronpitch;
using namespace std::chrono_literals;

namespace {

HttpLimits serverLimits()
{
    HttpLimits limits;
    limits.maximumBodyBytes = 1 << 20;
    limits.maximumBodyBytesInAll = 1 << 20;
    limits.maximumHeaderBytes = 1 << 14;
    limits.maximumConnections = 1000;
    limits.maximumConnectionsPerAddress = 1000;
    limits.idleTimeout = 60s;
    limits.readTimeout = 10s;
    return limits;
}

/// A server in a thread of its own, so that it answers while the client's event loop lags.
class Server
{
public:
    /// Answers after @p delay, or never if it is negative.
    explicit Server(Duration delay)
        : m_delay(delay)
        , m_server(m_io, {"127.0.0.1", 0}, serverLimits(),
                   [this](const HttpRequest &, const HttpResponder &respond) -> DisconnectHandler {
                       handle(respond);
                       return [] {};
                   })
        , m_endpoint{"127.0.0.1", m_server.port()}
        , m_thread([this] { m_io.run(); })
    {
    }

    ~Server()
    {
        m_io.stop();
        m_thread.join();
    }

    const Endpoint &endpoint() const
    {
        return m_endpoint;
    }

private:
    void handle(const HttpResponder &respond)
    {
        if (m_delay < Duration::zero())
            return;
        const auto timer = std::make_shared<boost::asio::steady_timer>(m_io, m_delay);
        timer->async_wait([timer, respond](boost::system::error_code) { respond({200, "{}", {}}); });
    }

    Duration m_delay;
    boost::asio::io_context m_io{1};
    HttpServer m_server;
    Endpoint m_endpoint;
    std::thread m_thread;
};

ClientRequest request(Duration timeout)
{
    ClientRequest it;
    it.timeout = timeout;
    return it;
}

/// Counts the outcomes of exchanges.
struct Outcomes
{
    std::map<ExchangeOutcome, std::size_t> count;

    ExchangeHandler handler()
    {
        return [this](const ClientResponse &response) { ++count[response.outcome]; };
    }

    std::size_t total() const
    {
        std::size_t n = 0;
        for (const auto &[outcome, times] : count)
            n += times;
        return n;
    }
};

/// Runs @p io until @p outcomes has @p n outcomes, for 5 s at most. Idle connections keep the loop busy.
void runUntil(boost::asio::io_context &io, const Outcomes &outcomes, std::size_t n)
{
    const auto end = std::chrono::steady_clock::now() + 5s;
    io.restart();
    while (outcomes.total() < n && std::chrono::steady_clock::now() < end)
        io.run_one_for(100ms);
}

/// Sends a request whose answer arrives while the event loop sleeps for @p pause, after @p before.
ExchangeOutcome outcomeWithPause(HttpClient &client, boost::asio::io_context &io, const Endpoint &endpoint,
                                 Duration before, Duration pause)
{
    Outcomes outcomes;
    client.send(endpoint, request(80ms), outcomes.handler());
    boost::asio::steady_timer timer(io, before);
    timer.async_wait([pause](boost::system::error_code) { std::this_thread::sleep_for(pause); });
    runUntil(io, outcomes, 1);
    return outcomes.total() == 1 ? outcomes.count.begin()->first : ExchangeOutcome::NotSent;
}

} // namespace

// A lagging VM closed healthy connections to its upstreams and gave up running work: the timer of 80 ms for
// an answer expired while the answer was waiting to be read.
TEST(HttpClientTest, answerThatArrivesDuringAPauseCounts)
{
    Server server(40ms);
    boost::asio::io_context io(1);
    HttpClient client(io);
    for (const Duration pause : {Duration(100ms), Duration(300ms), Duration(700ms)}) {
        EXPECT_EQ(outcomeWithPause(client, io, server.endpoint(), 1ms, pause), ExchangeOutcome::Answered);
        EXPECT_EQ(outcomeWithPause(client, io, server.endpoint(), 0ms, pause), ExchangeOutcome::Answered);
    }
    EXPECT_EQ(client.openedConnections(), 1U);
}

// The same under lasting lag, when each step of an exchange waits for a long queue of handlers.
TEST(HttpClientTest, answersCountWhileTheLoopLagsLastingly)
{
    Server server(5ms);
    boost::asio::io_context io(1);
    HttpClient client(io);
    Outcomes outcomes;
    bool isBusy = true;
    std::function<void()> work = [&] {
        std::this_thread::sleep_for(50ms);
        if (isBusy)
            boost::asio::post(io, work);
    };
    work();
    int remaining = 15;
    ExchangeHandler next = [&](const ClientResponse &response) {
        ++outcomes.count[response.outcome];
        isBusy = --remaining > 0;
        if (isBusy)
            client.send(server.endpoint(), request(80ms), next);
    };
    client.send(server.endpoint(), request(80ms), next);
    runUntil(io, outcomes, 15);
    EXPECT_EQ(outcomes.count[ExchangeOutcome::Answered], 15U);
    EXPECT_EQ(client.openedConnections(), 1U);
}

// Each connection that took too long was opened in vain.
TEST(HttpClientTest, expiredRequestIsNotWrittenAndLeavesItsConnectionOpen)
{
    Server server(0ms);
    boost::asio::io_context io(1);
    HttpClient client(io);
    Outcomes outcomes;
    auto expired = request(80ms);
    expired.isExpired = [] { return true; };
    for (int i = 0; i < 2; ++i) {
        client.send(server.endpoint(), expired, outcomes.handler());
        runUntil(io, outcomes, 2 * i + 1);
        client.send(server.endpoint(), request(80ms), outcomes.handler());
        runUntil(io, outcomes, 2 * i + 2);
    }
    EXPECT_EQ(outcomes.count[ExchangeOutcome::NotSent], 2U);
    EXPECT_EQ(outcomes.count[ExchangeOutcome::Answered], 2U);
    EXPECT_EQ(client.openedConnections(), 1U);
}

// A dead upstream must be recognized as fast as before while the loop does not lag.
TEST(HttpClientTest, missingAnswerTimesOutOnTime)
{
    Server server(-1ms);
    boost::asio::io_context io(1);
    HttpClient client(io);
    Outcomes outcomes;
    const auto begin = std::chrono::steady_clock::now();
    client.send(server.endpoint(), request(80ms), outcomes.handler());
    runUntil(io, outcomes, 1);
    const auto took = std::chrono::steady_clock::now() - begin;
    EXPECT_EQ(outcomes.count[ExchangeOutcome::Incomplete], 1U);
    EXPECT_GE(took, 80ms);
    EXPECT_LT(took, 150ms);
    EXPECT_EQ(client.connectionCount(), 0U);
}

// A control VM had 4,726 connections and opened 205 a second; its descriptors and memory are limited.
TEST(HttpClientTest, connectionsStayWithinTheLimits)
{
    Server server(20ms);
    Server other(20ms);
    boost::asio::io_context io(1);
    HttpClientLimits limits;
    limits.maximumConnections = 6;
    limits.maximumConnectionsPerEndpoint = 4;
    limits.maximumOpening = 2;
    HttpClient client(io, limits);
    Outcomes outcomes;
    std::size_t most = 0;
    const auto handler = outcomes.handler();
    for (int i = 0; i < 40; ++i) {
        for (const auto &it : {server.endpoint(), other.endpoint()}) {
            client.send(it, request(2s), [&, handler](const ClientResponse &response) {
                most = std::max(most, client.connectionCount());
                handler(response);
            });
        }
    }
    EXPECT_EQ(client.connectionCount(), 2U);
    runUntil(io, outcomes, 80);
    EXPECT_EQ(outcomes.count[ExchangeOutcome::Answered], 80U);
    EXPECT_LE(most, 6U);
    EXPECT_LE(client.openedConnections(), 12U);
    EXPECT_EQ(client.waitingCount(), 0U);
}

// Without a bound, orders wait in memory for upstreams that answer too slowly. An exchange that waited in
// vain must not count as a failure of its upstream.
TEST(HttpClientTest, exchangesThatWaitTooLongOrTooManyEndAsLimited)
{
    Server silent(-1ms);
    boost::asio::io_context io(1);
    HttpClientLimits limits;
    limits.maximumConnectionsPerEndpoint = 1;
    limits.maximumWaiting = 2;
    HttpClient client(io, limits);
    Outcomes outcomes;
    client.send(silent.endpoint(), request(500ms), outcomes.handler());
    for (int i = 0; i < 5; ++i)
        client.send(silent.endpoint(), request(100ms), outcomes.handler());
    EXPECT_TRUE(outcomes.count.empty());
    EXPECT_LE(client.waitingCount(), 5U);
    runUntil(io, outcomes, 6);
    EXPECT_EQ(outcomes.count[ExchangeOutcome::Limited], 5U);
    EXPECT_EQ(outcomes.count[ExchangeOutcome::Incomplete], 1U);
    EXPECT_EQ(client.waitingCount(), 0U);
}

// At the limit of all connections an idle one must make room, or an upstream would never be reached.
TEST(HttpClientTest, idleConnectionMakesRoom)
{
    Server first(0ms);
    Server second(0ms);
    boost::asio::io_context io(1);
    HttpClientLimits limits;
    limits.maximumConnections = 1;
    HttpClient client(io, limits);
    Outcomes outcomes;
    for (const auto &it : {first.endpoint(), second.endpoint(), first.endpoint()}) {
        client.send(it, request(1s), outcomes.handler());
        runUntil(io, outcomes, outcomes.total() + 1);
        EXPECT_EQ(client.connectionCount(), 1U);
    }
    EXPECT_EQ(outcomes.count[ExchangeOutcome::Answered], 3U);
}

// A peer that sends trailers without end, or more than the limit, must not take the memory of this process.
TEST(HttpClientTest, endlessResponsesEndAsIncomplete)
{
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string text(1000, 't');
    const std::vector<std::pair<std::string, std::string>> responses{
        {chunked + "0\r\n", "T: " + text + "\r\n"},
        {chunked + "1;e=", text},
        {chunked, "3e8\r\n" + text + "\r\n"},
        {"HTTP/1.1 200 OK\r\n", "H: " + text + "\r\n"},
    };
    for (const auto &[beginning, rest] : responses) {
        boost::asio::io_context serverLoop;
        boost::asio::ip::tcp::acceptor acceptor(serverLoop, {boost::asio::ip::make_address("127.0.0.1"), 0});
        std::size_t sent = 0;
        std::thread sender([&, beginning = beginning, rest = rest] {
            auto socket = acceptor.accept();
            boost::system::error_code ec;
            boost::asio::write(socket, boost::asio::buffer(beginning), ec);
            while (!ec && sent < (std::size_t{64} << 20))
                sent += boost::asio::write(socket, boost::asio::buffer(rest), ec);
        });
        boost::asio::io_context io;
        HttpClientLimits limits;
        limits.maximumResponseBytes = 1 << 20;
        HttpClient client(io, limits);
        Outcomes outcomes;
        client.send({"127.0.0.1", acceptor.local_endpoint().port()}, request(20s), outcomes.handler());
        io.run();
        sender.join();
        EXPECT_EQ(outcomes.count[ExchangeOutcome::Incomplete], 1U);
        EXPECT_LT(sent, std::size_t{32} << 20);
    }
}

TEST(HttpClientTest, largestIncompleteResponseIsGivenUpFirst)
{
    boost::asio::io_context serverLoop;
    boost::asio::ip::tcp::acceptor acceptor(serverLoop, {boost::asio::ip::make_address("127.0.0.1"), 0});
    constexpr std::array<std::size_t, 3> sizes{300'000, 600'000, 100'000};
    std::thread sender([&] {
        std::vector<boost::asio::ip::tcp::socket> sockets;
        boost::system::error_code ec;
        std::array<char, 1024> request{};
        for (const auto size : sizes) {
            sockets.push_back(acceptor.accept());
            sockets.back().read_some(boost::asio::buffer(request), ec);
            boost::asio::write(
                sockets.back(),
                boost::asio::buffer("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n"
                                    + std::string(size - 1, 'x')),
                ec);
        }
        for (auto &it : sockets)
            boost::asio::write(it, boost::asio::buffer("x", 1), ec);
    });
    boost::asio::io_context io;
    HttpClientLimits limits;
    limits.maximumIncompleteBytes = 800'000;
    HttpClient client(io, limits);
    Outcomes outcomes;
    for (std::size_t i = 0; i < sizes.size(); ++i)
        client.send({"127.0.0.1", acceptor.local_endpoint().port()}, request(20s), outcomes.handler());
    io.run();
    sender.join();
    EXPECT_EQ(outcomes.count[ExchangeOutcome::Incomplete], 1U);
    EXPECT_EQ(outcomes.count[ExchangeOutcome::Answered], 2U);
}

// A connection that ended before the response was taken for an empty one with status 200.
TEST(HttpClientTest, endOfTheConnectionBeforeTheResponseIsNoAnswer)
{
    const std::vector<std::pair<std::string, ExchangeOutcome>> responses{
        {"", ExchangeOutcome::Incomplete},
        {"HTTP/1.1 200", ExchangeOutcome::Incomplete},
        {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabc", ExchangeOutcome::Incomplete},
        {"HTTP/1.1 200 OK\r\n\r\nabc", ExchangeOutcome::Answered},
    };
    for (const auto &[text, outcome] : responses) {
        boost::asio::io_context serverLoop;
        boost::asio::ip::tcp::acceptor acceptor(serverLoop, {boost::asio::ip::make_address("127.0.0.1"), 0});
        std::thread sender([&, text = text] {
            auto socket = acceptor.accept();
            boost::system::error_code ec;
            std::array<char, 1024> buf{};
            socket.read_some(boost::asio::buffer(buf), ec);
            boost::asio::write(socket, boost::asio::buffer(text), ec);
        });
        boost::asio::io_context io;
        HttpClient client(io);
        Outcomes outcomes;
        client.send({"127.0.0.1", acceptor.local_endpoint().port()}, request(20s), outcomes.handler());
        io.run();
        sender.join();
        EXPECT_EQ(outcomes.count[outcome], 1U) << text;
    }
}
