#include "daemon/callerapi.h"
#include "fleet/fleetwire.h"
#include "platform/executorcodec.h"

#include "wire/fleet.pb.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <limits>

using namespace Citronpitch;
using Json = nlohmann::json;
namespace leaf = boost::leaf;
namespace wire = citronpitch::wire::fleet;

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

std::string heartbeatError(const std::string &field, const Json &value)
{
    Json body{{"Service", "s"}, {"Address", "10.0.0.1:80"},
              {"Zone", "z"},    {"State", "ready"},
              {"Seq", 1},       {"born", 1},
              {"ClockMs", 1},   {"Capacity", {{"Cpu", 1}, {"MemMb", 1}}}};
    body[field] = value;
    return errorOf([&] { return Platform::parseHeartbeat("i-1", body.dump()); });
}

} // namespace

// The library copies and prints values recursively: the VM that read one of these ended.
TEST(MalformedInputTest, deeplyNestedValuesEndNoVm)
{
    const auto deep = nested(200'000);
    EXPECT_NE(errorOf([&] { return Platform::parseLeave(R"({"born":)" + deep + "}"); }), "");
    EXPECT_EQ(decoded(R"({"ClockMs":)" + deep + "}").verdict, OrderVerdict::NoAnswer);
    EXPECT_EQ(decoded(R"({"Reason":)" + deep + "}", OrderKind::Start, 409).verdict, OrderVerdict::Invalid);
    HttpRequest request;
    request.method = "POST";
    request.body = R"({"team":"t","class":"c","tasks":[{"payload":)" + deep + "}]}";
    EXPECT_NE(errorOf([&] { return parseCallerRequest(request, {}); }).find("nested"), std::string::npos);
}

// Upstreams were in use with addresses to which nothing can be sent, and with a port that they had not named.
TEST(MalformedInputTest, addressesThatCannotBeConnectedToAreRejected)
{
    for (const auto *it : {"10.0.0.1:80", "10.0.0.1:1", "10.0.0.1:65535", "2001:db8::1:80"})
        EXPECT_EQ(heartbeatError("Address", it), "") << it;
    for (const auto *it :
         {"nohost name:80", "999.1.1.1:80", "localhost:80", ":80", "10.0.0.1.:80", "0.0.0.0:80", ":::80",
          "224.0.0.1:80", "255.255.255.255:80", "10.0.0:80", " 10.0.0.1:80", "10.0.0.1:80:80"})
        EXPECT_NE(heartbeatError("Address", it).find("not an IP address"), std::string::npos) << it;
    for (const auto *it :
         {"10.0.0.1:", "10.0.0.1:80x", "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:-1", "10.0.0.1:+80",
          "10.0.0.1: 80", "10.0.0.1:4294967376", "10.0.0.1:99999999999999999999"})
        EXPECT_NE(heartbeatError("Address", it).find("not a port"), std::string::npos) << it;
    EXPECT_NE(heartbeatError("Address", "10.0.0.1"), "");
    EXPECT_NE(heartbeatError("Address", std::string("10.0.0.1\0:80", 12)), "");
}

// Numbers were taken for others: run 4294967297 for run 1, clock 18446744073709551615 for -1. Clocks near the
// limits overflowed when a lease was added to them, and sums of capacities near theirs wrapped.
TEST(MalformedInputTest, numbersOutOfRangeAreNotTakenForOthers)
{
    const auto verdictOf = [](const std::string &fields) { return decoded("{" + fields + "}").verdict; };
    for (const auto *it :
         {R"("ClockMs":0)", R"("ClockMs":9007199254740991,"born":9007199254740991)",
          R"("ClockMs":1,"Running":[["t",4294967295]],"Finished":[[1,"t",4294967295,"done"]])"})
        EXPECT_EQ(verdictOf(it), OrderVerdict::Accepted) << it;
    for (const auto *it :
         {R"("ClockMs":-1)", R"("ClockMs":18446744073709551615)", R"("ClockMs":9223372036854775807)",
          R"("ClockMs":99999999999999999999)", R"("ClockMs":1.5)", R"("ClockMs":1e3)",
          R"("ClockMs":1,"x":1e999)", R"("ClockMs":1,"born":-1)",
          R"("ClockMs":1,"born":18446744073709551616)", R"("ClockMs":1,"born":"1")",
          R"("ClockMs":1,"Running":[["t",4294967297]])", R"("ClockMs":1,"Running":[["t",-1]])",
          R"("ClockMs":1,"Running":[["t",1.5]])", R"("ClockMs":1,"Running":{"t":1})",
          R"("ClockMs":1,"Finished":[[1,"t",4294967297,"done"]])",
          R"("ClockMs":1,"Finished":[[0,"t",1,"done"]])",
          R"("ClockMs":1,"Finished":[[18446744073709551615,"t",1,"done"]])",
          R"("ClockMs":1,"Finished":null)"})
        EXPECT_EQ(verdictOf(it), OrderVerdict::NoAnswer) << it;
    for (const auto *it : {"Seq", "born", "ClockMs"}) {
        EXPECT_EQ(heartbeatError(it, (std::uint64_t{1} << 53) - 1), "");
        EXPECT_NE(heartbeatError(it, std::uint64_t{1} << 53), "") << it;
        EXPECT_NE(heartbeatError(it, std::numeric_limits<std::uint64_t>::max()), "") << it;
    }
    EXPECT_EQ(heartbeatError("Capacity", {{"Cpu", 1'000'000}, {"MemMb", 1 << 30}, {"Gpu", 1000}}), "");
    EXPECT_NE(heartbeatError("Capacity", {{"Cpu", 1'000'001}, {"MemMb", 1}}), "");
    EXPECT_NE(heartbeatError("Capacity", {{"Cpu", 1}, {"MemMb", (1 << 30) + 1}}), "");
    EXPECT_NE(heartbeatError("Capacity", {{"Cpu", 1}, {"MemMb", 1}, {"Gpu", 4294967297}}), "");
}

// A leave call that can't be read ended the known incarnation, as one without a body does.
TEST(MalformedInputTest, unreadableLeaveCallsNameNoIncarnation)
{
    const auto incarnationOf = [](const std::string &body) {
        return leaf::try_handle_all([&] { return Platform::parseLeave(body); },
                                    [](const StepError &) { return std::uint64_t{404}; },
                                    [] { return std::uint64_t{500}; });
    };
    for (const auto *it : {"", "{}", R"({"other":1})"})
        EXPECT_EQ(incarnationOf(it), 0U) << it;
    EXPECT_EQ(incarnationOf(R"({"born":1700000000000})"), 1'700'000'000'000U);
    for (const auto *it :
         {"{", "[]", "null", "5", "\xff", R"({"born":"5"})", R"({"born":null})", R"({"born":-5})",
          R"({"born":5.0})", R"({"born":18446744073709551615})", R"({"born":1e999})"})
        EXPECT_EQ(incarnationOf(it), 404U) << it;
}

// One name that is not UTF-8 made other VMs drop the whole message with announcements of 100 upstreams.
TEST(MalformedInputTest, namesThatOtherVmsCannotReadAreRejected)
{
    const auto errorOfId = [](const std::string &id) {
        return errorOf([&] {
            return Platform::parseHeartbeat(
                id,
                R"({"Service":"s","Address":"10.0.0.1:80","Zone":"z","State":"ready","Seq":1,"born":1,)"
                R"("ClockMs":1,"Capacity":{"Cpu":1,"MemMb":1}})");
        });
    };
    EXPECT_EQ(errorOfId("i-7f3a91c2"), "");
    for (const auto &it : {std::string(), std::string("\xff"), std::string("a\r\nb"), std::string("a b"),
                           std::string("a\0", 2), std::string(257, 'a')})
        EXPECT_NE(errorOfId(it).find("id in the path"), std::string::npos) << it;
    for (const auto *it : {"Service", "Zone"})
        EXPECT_NE(heartbeatError(it, std::string(257, 'a')).find("256"), std::string::npos);
    EXPECT_NE(heartbeatError("Labels", {"a", std::string(257, 'a')}).find("256"), std::string::npos);
}

// Port 65616 of a peer's announcement was taken for port 80, and times near the limits overflowed when they
// were added.
TEST(MalformedInputTest, fieldsOfPeerMessagesOutOfRangeAreNotTakenForOthers)
{
    const auto now = timePointOf(1'700'000'000'000'000);
    wire::Announcement announcement;
    announcement.set_name("i-1");
    announcement.set_port(80);
    EXPECT_TRUE(fromWire(announcement));
    announcement.set_port(65616);
    EXPECT_FALSE(fromWire(announcement));
    announcement.set_port(80);
    announcement.set_clock_ms(std::numeric_limits<std::int64_t>::max());
    EXPECT_FALSE(fromWire(announcement));
    wire::Renewal renewal;
    renewal.set_clock_ms(-1);
    EXPECT_FALSE(fromWire(renewal));
    wire::RunJob job;
    job.add_tasks()->set_declared_us(std::numeric_limits<std::int64_t>::max());
    job.set_remaining_us(std::numeric_limits<std::int64_t>::max());
    ASSERT_TRUE(fromWire(now, job));
    EXPECT_GT(fromWire(now, job)->submission.deadline, now);
    EXPECT_LT(fromWire(now, job)->submission.tasks[0].declaredTime * 640, Duration::max() / 640);
    EXPECT_GT(arrivalOf(now, std::numeric_limits<std::int64_t>::min()), now);
    job.set_first_task(std::numeric_limits<std::uint32_t>::max());
    EXPECT_FALSE(fromWire(now, job));
}

// The library of the links throws for such addresses, which ended the VM that a peer had told of them.
TEST(MalformedInputTest, namesThatNoVmHasAreNotConnectedTo)
{
    for (const auto *it : {"10.0.0.1:80", "[::1]:80", "::1:80", "vm-1.example:80"})
        EXPECT_TRUE(isVmName(it)) << it;
    for (const auto *it : {"", " ", "*:80", "a b:80", "a;b:80", "-a:80", "\xff:80", "a/b:80"})
        EXPECT_FALSE(isVmName(it)) << it;
}
