#include "support/deployment.h"
#include "support/submissions.h"

#include <boost/asio.hpp>
#include <gtest/gtest.h>

#include <array>

using namespace Citronpitch;
using Json = nlohmann::json;
using Tcp = boost::asio::ip::tcp;

namespace {

/// Request body that must be rejected, and the expected part of the error message.
struct InvalidInput
{
    std::string body;
    std::string expected;
};

/// TCP connection to send raw bytes.
class RawConnection
{
public:
    explicit RawConnection(const Endpoint &endpoint)
        : m_socket(m_io)
    {
        m_socket.connect({boost::asio::ip::make_address(endpoint.address), endpoint.port});
    }

    void write(const std::string &bytes)
    {
        boost::system::error_code ignored;
        boost::asio::write(m_socket, boost::asio::buffer(bytes), ignored);
    }

    /// Reads until the peer closes the connection.
    std::string readToEnd()
    {
        std::string bytes;
        boost::system::error_code ec;
        std::array<char, 4096> buf{};
        while (!ec) {
            const auto n = m_socket.read_some(boost::asio::buffer(buf), ec);
            bytes.append(buf.data(), n);
        }
        return bytes;
    }

private:
    boost::asio::io_context m_io;
    Tcp::socket m_socket;
};

class HttpLimitsTest : public testing::Test
{
protected:
    void start(const std::string &limits)
    {
        DeploymentPlan plan;
        plan.programs = CITRONPITCH_PROGRAMS;
        plan.folder = std::string(CITRONPITCH_PROGRAMS) + "/integration/limits-"
            + testing::UnitTest::GetInstance()->current_test_info()->name();
        plan.vms = {{"a1", "a"}};
        plan.upstreams = {{"ua", "a"}};
        plan.vmSettings =
            R"({"initialConfiguration": {"classes": [{"name": "casework"}]}, "limits": )" + limits + "}";
        m_deployment = std::make_unique<Deployment>(plan);
        m_deployment->start();
        ASSERT_TRUE(m_deployment->waitUntilReady(std::chrono::seconds(20)));
    }

    ClientResponse post(const std::string &body, const std::string &key = "key")
    {
        ClientRequest request;
        request.method = "POST";
        request.target = "/v1/jobs";
        request.headers = {{"Idempotency-Key", key}};
        request.body = body;
        return call(m_deployment->callers("a1"), request);
    }

    std::unique_ptr<Deployment> m_deployment;
};

const std::string goodBody =
    R"({"team": "t", "class": "casework", "tasks": [{"payload": {"id": "x", "ms": 1}}]})";

} // namespace

// A malformed job must get status 400 with the place of the error, and must not start a task.
TEST_F(HttpLimitsTest, malformedRequestErrorNamesLocation)
{
    start("{}");
    const std::vector<InvalidInput> inputs{
        {R"({"team": "t",)", "byte 14"},
        {R"([])", "an object is expected"},
        {R"({"team": "t", "class": "c", "tasks": [{}], "colour": 1})", "unknown field \"colour\""},
        {R"({"class": "c", "tasks": [{}]})", "field \"team\""},
        {R"({"team": "t", "class": "c", "tasks": []})", "\"tasks\" must be a non-empty list"},
        {R"({"team": "t", "class": "c", "tasks": [{"payload": "x"}, {"need": 3}]})", "tasks[1].need"},
        {R"({"team": "t", "class": "c", "tasks": [{"declaredMs": -1}]})", "tasks[0]"},
        {R"({"team": "t", "class": "c", "deadline": "soon", "tasks": [{}]})", "field \"deadline\""},
        {R"({"team": "t", "class": "c", "idempotent": 1, "tasks": [{}]})", "field \"idempotent\""},
    };
    for (const auto &it : inputs) {
        const auto response = post(it.body);
        EXPECT_EQ(response.response.status, 400) << it.body;
        const auto error = Json::parse(response.response.body).at("error").get<std::string>();
        EXPECT_NE(error.find(it.expected), std::string::npos) << error;
    }
    Json many = Json::parse(goodBody);
    many["tasks"] = std::vector<Json>(641, Json::object());
    EXPECT_EQ(post(many.dump()).response.status, 400);
    EXPECT_EQ(post(goodBody, "two words").response.status, 400);
    EXPECT_EQ(m_deployment->records().started, 0U);
    EXPECT_EQ(post(goodBody).response.status, 200);
}

// A job of an undeclared class must be refused as not run, so that its caller knows that no task ran.
TEST_F(HttpLimitsTest, unknownClassIsRejected)
{
    start("{}");
    const auto response = post(R"({"team": "t", "class": "none", "tasks": [{}]})");
    EXPECT_EQ(response.response.status, 422);
    const auto body = Json::parse(response.response.body);
    EXPECT_EQ(body.at("outcome"), "refused");
    EXPECT_EQ(body.at("reason"), "unknown-class");
    EXPECT_EQ(body.at("ran"), "not run");
}

// The daemon must reject a body or header over the limit instead of buffering it, and must stay usable.
TEST_F(HttpLimitsTest, oversizedBodyAndHeaderAreRejected)
{
    start(R"({"maximumBodyBytes": 10000, "maximumHeaderBytes": 2000})");
    EXPECT_EQ(post(std::string(20000, ' ')).response.status, 413);
    EXPECT_EQ(post(goodBody, std::string(3000, 'k')).response.status, 431);
    EXPECT_EQ(post(goodBody).response.status, 200);
}

// A caller that sends part of a request and stops must neither hold its connection beyond the read timeout
// nor delay other callers.
TEST_F(HttpLimitsTest, slowRequestTimesOutWithoutBlockingOthers)
{
    start(R"({"readTimeoutMs": 300})");
    RawConnection slow(m_deployment->callers("a1"));
    slow.write("POST /v1/jobs HTTP/1.1\r\nContent-Length: 100\r\n\r\n{");
    EXPECT_EQ(post(goodBody).response.status, 200);
    EXPECT_TRUE(slow.readToEnd().starts_with("HTTP/1.1 408"));
}

// A connection on which no request arrives must not stay open beyond the idle timeout.
TEST_F(HttpLimitsTest, idleConnectionIsClosed)
{
    start(R"({"idleTimeoutMs": 200})");
    RawConnection idle(m_deployment->callers("a1"));
    EXPECT_EQ(idle.readToEnd(), "");
}

// One address must not take all connections: further ones get status 429 instead of a silent close.
TEST_F(HttpLimitsTest, excessConnectionsGetStatus429)
{
    start(R"({"maximumConnectionsPerAddress": 3})");
    const std::string request = "GET /healthz HTTP/1.1\r\n\r\n";
    std::vector<std::unique_ptr<RawConnection>> open;
    for (int i = 0; i < 3; ++i) {
        open.push_back(std::make_unique<RawConnection>(m_deployment->callers("a1")));
        open.back()->write(request);
    }
    ASSERT_TRUE(eventually([&] { return post(goodBody).response.status == 429; }));
    RawConnection over(m_deployment->callers("a1"));
    over.write(request);
    EXPECT_TRUE(over.readToEnd().starts_with("HTTP/1.1 429"));
}

// Many large requests at once must not exhaust the memory: a body over the total limit gets status 503, and
// the bytes of an aborted request are released.
TEST_F(HttpLimitsTest, totalBodyLimitIsEnforced)
{
    start(R"({"maximumBodyBytesInAll": 1000})");
    auto first = std::make_unique<RawConnection>(m_deployment->callers("a1"));
    first->write("POST /v1/jobs HTTP/1.1\r\nContent-Length: 900\r\n\r\n{");
    ASSERT_TRUE(eventually([&] { return post(std::string(500, ' ')).response.status == 503; }));
    RawConnection second(m_deployment->callers("a1"));
    second.write("POST /v1/jobs HTTP/1.1\r\nContent-Length: 900\r\n\r\n{");
    EXPECT_TRUE(second.readToEnd().starts_with("HTTP/1.1 503"));
    first.reset();
    EXPECT_TRUE(eventually([&] { return post(goodBody).response.status == 200; }));
}

// Bytes that are not HTTP must get status 400.
TEST_F(HttpLimitsTest, nonHttpInputIsRejected)
{
    start("{}");
    RawConnection raw(m_deployment->callers("a1"));
    raw.write("this is not HTTP\r\n\r\n");
    EXPECT_TRUE(raw.readToEnd().starts_with("HTTP/1.1 400"));
}

// An announcement with a missing, invalid or unknown field must get status 400 with the name of the field.
TEST_F(HttpLimitsTest, invalidAnnouncementsAreRejected)
{
    start("{}");
    ClientRequest request;
    request.method = "PUT";
    request.target = "/v1/upstreams/u";
    const std::vector<InvalidInput> inputs{
        {R"({"address": "127.0.0.1", "port": 0, "slots": 1, "incarnation": 1})", "field \"port\""},
        {R"({"address": "host.example", "port": 1, "slots": 1, "incarnation": 1})", "field \"address\""},
        {R"({"address": "127.0.0.1", "port": 1, "slots": 0, "incarnation": 1})", "field \"slots\""},
        {R"({"address": "127.0.0.1", "port": 1, "slots": 1})", "field \"incarnation\""},
        {R"({"address": "127.0.0.1", "port": 1, "slots": 1, "incarnation": 1, "weight": 2})", "\"weight\""},
        {R"({)", "byte"},
    };
    for (const auto &it : inputs) {
        request.body = it.body;
        const auto response = call(m_deployment->control("a1"), request);
        EXPECT_EQ(response.response.status, 400) << it.body;
        const auto error = Json::parse(response.response.body).at("error").get<std::string>();
        EXPECT_NE(error.find(it.expected), std::string::npos) << error;
    }
}
