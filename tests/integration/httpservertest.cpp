#include "net/httpserver.h"

#include <boost/asio.hpp>
#include <gtest/gtest.h>

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
    void start(AbandonedRequests abandoned)
    {
        m_server = std::make_unique<HttpServer>(
            m_io, Endpoint{"127.0.0.1", 0}, serverLimits(),
            [this](const HttpRequest &request, const HttpResponder &respond) -> DisconnectHandler {
                m_handled.push_back(request.path);
                if (m_isResponding)
                    respond({200, "{}", {}});
                return [] {};
            },
            abandoned);
        m_client.connect({boost::asio::ip::make_address("127.0.0.1"), m_server->port()});
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
