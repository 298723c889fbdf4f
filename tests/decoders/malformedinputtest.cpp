#include "daemon/callerapi.h"
#include "platform/executorcodec.h"

#include <gtest/gtest.h>

using namespace Citronpitch;
namespace leaf = boost::leaf;

namespace {

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

/// Returns the text of the StepError that @p decode ends with, or nothing if it succeeds.
template <typename Decode> std::string errorOf(const Decode &decode)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::string> {
            BOOST_LEAF_CHECK(decode());
            return std::string();
        },
        [](const StepError &error) { return error.text(); },
        [](const std::exception &error) { return std::string("exception: ") + error.what(); },
        [] { return std::string("unknown error"); });
}

OrderResult decoded(const std::string &body, OrderKind kind = OrderKind::Poll, int status = 200)
{
    RunOrder order;
    order.kind = kind;
    ClientResponse response;
    response.outcome = ExchangeOutcome::Answered;
    response.response = {status, body, {}};
    return Platform::decodeOrderResult(order, response);
}

} // namespace

// The library copies and prints values recursively: the VM that read one of these ended.
TEST(MalformedInputTest, deeplyNestedValuesEndNoVm)
{
    const auto deep = nested(200'000);
    EXPECT_EQ(Platform::parseLeave(R"({"born":)" + deep + "}"), 0U);
    EXPECT_EQ(decoded(R"({"ClockMs":)" + deep + "}").verdict, OrderVerdict::NoAnswer);
    EXPECT_EQ(decoded(R"({"Reason":)" + deep + "}", OrderKind::Start, 409).verdict, OrderVerdict::Invalid);
    HttpRequest request;
    request.method = "POST";
    request.body = R"({"team":"t","class":"c","tasks":[{"payload":)" + deep + "}]}";
    EXPECT_NE(errorOf([&] { return parseCallerRequest(request, {}); }).find("nested"), std::string::npos);
}
