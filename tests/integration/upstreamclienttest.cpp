#include "net/upstreamclient.h"

#include "net/httpserver.h"

#include <gtest/gtest.h>

using namespace Citronpitch;

namespace {

constexpr TimePoint early{std::chrono::seconds(1000)};
constexpr TimePoint deadline = early + std::chrono::seconds(3);

HttpLimits limits()
{
    HttpLimits limits;
    limits.maximumBodyBytes = 1 << 20;
    limits.maximumBodyBytesInAll = 1 << 20;
    limits.maximumHeaderBytes = 1 << 14;
    limits.maximumConnections = 10;
    limits.maximumConnectionsPerAddress = 10;
    limits.idleTimeout = std::chrono::seconds(10);
    limits.readTimeout = std::chrono::seconds(10);
    return limits;
}

/// An UpstreamClient under a clock that the test sets, and an upstream that counts the requests it receives.
class UpstreamClientTest : public testing::Test
{
protected:
    /// Sends a start at @p sentAt, sets the clock to @p connectedAt before a new connection can be
    /// established, and returns how the attempt ended.
    AttemptOutcome start(TimePoint sentAt, TimePoint connectedAt)
    {
        m_now = sentAt;
        StartTask start;
        start.attempt = 1;
        start.address = "127.0.0.1";
        start.port = m_server.port();
        start.deadline = deadline;
        m_client.start(start);
        m_now = connectedAt;
        m_io.restart();
        m_io.run();
        return m_outcome;
    }

    unsigned m_requests = 0;

private:
    TimePoint m_now;
    AttemptOutcome m_outcome = AttemptOutcome::Broken;
    boost::asio::io_context m_io;
    HttpServer m_server{m_io,
                        {"127.0.0.1", 0},
                        limits(),
                        [this](const HttpRequest &, const HttpResponder &respond) -> DisconnectHandler {
                            ++m_requests;
                            respond({200, {}, {}});
                            return nullptr;
                        }};
    UpstreamClient m_client{m_io, [this] { return m_now; },
                            [this](AttemptId, const AttemptResult &result) {
                                m_outcome = result.outcome;
                                m_io.stop();
                            }};
};

} // namespace

TEST_F(UpstreamClientTest, startIsSentBeforeTheDeadline)
{
    EXPECT_EQ(start(early, deadline - std::chrono::milliseconds(1)), AttemptOutcome::Answered);
    EXPECT_EQ(m_requests, 1U);
}

// A process that is suspended while it connects to an upstream continues after the deadline of the job. Its
// caller was told that the job failed by then, so the task must not start.
TEST_F(UpstreamClientTest, nothingIsSentIfTheDeadlinePassesWhileConnecting)
{
    EXPECT_EQ(start(early, deadline), AttemptOutcome::NotSent);
    EXPECT_EQ(m_requests, 0U);
}

// The same with a connection that is already open.
TEST_F(UpstreamClientTest, nothingIsSentOnAnOpenConnectionAfterTheDeadline)
{
    ASSERT_EQ(start(early, early), AttemptOutcome::Answered);
    EXPECT_EQ(start(deadline, deadline), AttemptOutcome::NotSent);
    EXPECT_EQ(m_requests, 1U);
}
