#include "net/eventloop.h"

#include "log/eventlog.h"

#include <boost/asio/post.hpp>
#include <gtest/gtest.h>

#include <map>

using namespace Citronpitch;

namespace {

/// Runs a loop with @p handler and returns what it wrote to standard output.
std::string logOf(const std::function<void()> &handler)
{
    boost::asio::io_context io;
    boost::asio::post(io, handler);
    configureEventLog({});
    testing::internal::CaptureStdout();
    EXPECT_FALSE(runEventLoop(io));
    return testing::internal::GetCapturedStdout();
}

} // namespace

// A VM that ended by an exception logged it as a failed start-up, 30 s after its start, without what it was
// handling.
TEST(EventLoopTest, exceptionIsLoggedWithWhatWasHandled)
{
    const auto log = logOf([] {
        callHandler([] { return std::string("message runJob from 10.0.0.4:7720"); },
                    [] { static_cast<void>(std::map<int, int>().at(1)); });
    });
    EXPECT_NE(log.find("E111"), std::string::npos) << log;
    EXPECT_NE(log.find("message runJob from 10.0.0.4:7720"), std::string::npos) << log;
    EXPECT_NE(log.find("map::at"), std::string::npos) << log;
    EXPECT_EQ(log.find("E104"), std::string::npos) << log;
}

TEST(EventLoopTest, innermostActivityIsKept)
{
    const auto log = logOf([] {
        callHandler([] { return std::string("timer"); },
                    [] {
                        callHandler([] { return std::string("answer of u1"); },
                                    [] { throw std::runtime_error("defect"); });
                    });
    });
    EXPECT_NE(log.find("answer of u1"), std::string::npos) << log;
    EXPECT_EQ(log.find("timer"), std::string::npos) << log;
}

TEST(EventLoopTest, exceptionOutsideOfAHandlerIsLogged)
{
    const auto log = logOf([] { throw std::runtime_error("defect"); });
    EXPECT_NE(log.find("E111"), std::string::npos) << log;
    EXPECT_NE(log.find("defect"), std::string::npos) << log;
}
