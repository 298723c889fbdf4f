#include "net/httpserver.h"
#include "log/metrics.h"

#include <boost/asio.hpp>
#include <gtest/gtest.h>

#include <algorithm>

using namespace Citronpitch;
using namespace std::chrono_literals;
using Tcp = boost::asio::ip::tcp;

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

std::string post(const std::string &path)
{
    return "POST " + path + " HTTP/1.1\r\nHost: localhost\r\nContent-Length: 4\r\n\r\nbody";
}

/// A server whose event loop runs only in handleAll(), and a client that reads nothing.
class HttpServerTest : public testing::Test
{
protected:
    void start(AbandonedRequests abandoned, const HttpLimits &limits = serverLimits())
    {
        m_server = std::make_unique<HttpServer>(
            m_io, Endpoint{"127.0.0.1", 0}, limits,
            [this](const HttpRequest &request, const HttpResponder &respond) -> DisconnectHandler {
                m_handled.push_back(request.path);
                if (m_isResponding)
                    respond({200, "{}", {}});
                return [] {};
            },
            abandoned);
        m_client = connect();
    }

    Tcp::socket connect()
    {
        Tcp::socket socket(m_io);
        socket.connect({boost::asio::ip::make_address("127.0.0.1"), m_server->port()});
        return socket;
    }

    /// Returns what the server has sent.
    static std::string received(Tcp::socket &socket)
    {
        std::string bytes(1 << 16, ' ');
        boost::system::error_code ec;
        socket.non_blocking(true);
        bytes.resize(socket.read_some(boost::asio::buffer(bytes), ec));
        return bytes;
    }

    void write(const std::string &bytes)
    {
        boost::asio::write(m_client, boost::asio::buffer(bytes));
    }

    /// Handles all that has arrived.
    void handleAll()
    {
        m_io.restart();
        while (m_io.poll() > 0) { }
    }

    boost::asio::io_context m_io{1};
    std::unique_ptr<HttpServer> m_server;
    Tcp::socket m_client{m_io};
    std::vector<std::string> m_handled;
    bool m_isResponding = false;
};

} // namespace

// A VM that had been paused submitted the jobs of callers that had given up and tried another VM.
TEST_F(HttpServerTest, requestOfAClosedConnectionIsDropped)
{
    start(AbandonedRequests::Dropped);
    write(post("/job"));
    m_client.close();
    handleAll();
    EXPECT_TRUE(m_handled.empty());
    EXPECT_EQ(m_server->connectionCount(), 0U);
}

TEST_F(HttpServerTest, requestOfAHalfClosedKeptConnectionIsDropped)
{
    start(AbandonedRequests::Dropped);
    m_isResponding = true;
    write(post("/first"));
    handleAll();
    EXPECT_EQ(m_server->connectionCount(), 1U);
    write(post("/second"));
    m_client.shutdown(Tcp::socket::shutdown_send);
    handleAll();
    EXPECT_EQ(m_handled, std::vector<std::string>{"/first"});
    EXPECT_EQ(m_server->connectionCount(), 0U);
}

// The data of the next request must not be taken for the end of the connection, nor consumed.
TEST_F(HttpServerTest, pipelinedRequestsAreHandled)
{
    start(AbandonedRequests::Dropped);
    m_isResponding = true;
    // Longer than the first read of the server.
    const std::string longPath(10'000, 'x');
    write(post("/first") + post("/second") + post("/" + longPath) + post("/last"));
    handleAll();
    ASSERT_EQ(m_handled.size(), 4U);
    EXPECT_EQ(m_handled[1], "/second");
    EXPECT_EQ(m_handled[3], "/last");
    EXPECT_EQ(m_server->connectionCount(), 1U);
}

// An upstream that announces its end may close the connection without waiting for the response.
TEST_F(HttpServerTest, requestOfAClosedConnectionIsHandledUnlessDropped)
{
    start(AbandonedRequests::Handled);
    write(post("/leave"));
    m_client.close();
    handleAll();
    EXPECT_EQ(m_handled, std::vector<std::string>{"/leave"});
    EXPECT_EQ(m_server->connectionCount(), 0U);
}

TEST_F(HttpServerTest, chunkedRequestWithTrailersLeavesTheConnectionUsable)
{
    start(AbandonedRequests::Dropped);
    m_isResponding = true;
    write("POST /first HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4;e=x\r\nbody\r\n0\r\n");
    handleAll();
    EXPECT_TRUE(m_handled.empty());
    write("T: " + std::string(10'000, 't') + "\r\nU: u\r\n\r\n" + post("/second"));
    handleAll();
    EXPECT_EQ(m_handled, (std::vector<std::string>{"/first", "/second"}));
    EXPECT_EQ(m_server->connectionCount(), 1U);
}

// Trailers without end were held until they were complete.
TEST_F(HttpServerTest, trailersBeyondTheLimitAreRefused)
{
    start(AbandonedRequests::Dropped);
    write("POST /first HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n");
    for (int i = 0; i < 40; ++i)
        write("T: " + std::string(1000, 't') + "\r\n");
    handleAll();
    EXPECT_TRUE(received(m_client).starts_with("HTTP/1.1 431"));
    EXPECT_TRUE(m_handled.empty());
    EXPECT_EQ(m_server->connectionCount(), 0U);
}

// Large incomplete requests must neither add up to more than the limit nor keep ordinary ones out.
TEST_F(HttpServerTest, largestIncompleteRequestIsRefusedFirst)
{
    auto limits = serverLimits();
    limits.maximumIncompleteBytes = 200'000;
    start(AbandonedRequests::Dropped, limits);
    m_isResponding = true;
    std::vector<Tcp::socket> senders;
    for (int i = 0; i < 10; ++i) {
        senders.push_back(connect());
        boost::asio::write(
            senders.back(),
            boost::asio::buffer("POST /large HTTP/1.1\r\nHost: h\r\nContent-Length: 60000\r\n\r\n"
                                + std::string(30'000, 'x')));
        handleAll();
    }
    EXPECT_LE(m_server->connectionCount(), 4U);
    EXPECT_GE(m_server->connectionCount(), 3U);
    const auto refused = std::count_if(senders.begin(), senders.end(), [](auto &it) {
        const auto text = received(it);
        return text.starts_with("HTTP/1.1 503") && text.find("Retry-After: 1") != std::string::npos;
    });
    EXPECT_GE(refused, 7);
    write(post("/ordinary"));
    handleAll();
    EXPECT_EQ(m_handled, std::vector<std::string>{"/ordinary"});
    Metrics metrics;
    m_server->collect(metrics, "callers");
    EXPECT_NE(metrics.prometheusText().find("limit=\"incompleteInAll\"} " + std::to_string(refused)),
              std::string::npos);
}

// The parsed fields of a header take many times the bytes of their text.
TEST_F(HttpServerTest, fieldsOfIncompleteRequestsCountAgainstTheLimit)
{
    auto limits = serverLimits();
    limits.maximumIncompleteBytes = 1'000'000;
    start(AbandonedRequests::Dropped, limits);
    std::string header = "POST /fields HTTP/1.1\r\nContent-Length: 10\r\n";
    for (int i = 0; i < 3000; ++i)
        header += "a:\r\n";
    std::vector<Tcp::socket> senders;
    for (int i = 0; i < 10; ++i) {
        senders.push_back(connect());
        boost::asio::write(senders.back(), boost::asio::buffer(header + "\r\n"));
        handleAll();
    }
    EXPECT_LE(m_server->connectionCount(), 3U);
}

// Connections that announce large bodies and send nothing must not keep ordinary requests out.
TEST_F(HttpServerTest, reservationsOfIdleSendersDoNotKeepOthersOut)
{
    auto limits = serverLimits();
    limits.maximumIncompleteBytes = 1 << 19;
    start(AbandonedRequests::Dropped, limits);
    m_isResponding = true;
    std::vector<Tcp::socket> senders;
    for (int i = 0; i < 30; ++i) {
        senders.push_back(connect());
        boost::asio::write(
            senders.back(),
            boost::asio::buffer(std::string("POST /idle HTTP/1.1\r\nContent-Length: 100000\r\n\r\n")));
        handleAll();
    }
    write(post("/ordinary"));
    handleAll();
    EXPECT_EQ(m_handled, std::vector<std::string>{"/ordinary"});
}
