#include "daemon/callerapi.h"
#include "daemon/controlapi.h"
#include "fleet/fleetsettings.h"
#include "fleet/fleetwire.h"
#include "fleet/upstreamregistry.h"
#include "platform/documentcodec.h"
#include "platform/executorcodec.h"
#include "platform/jobcodec.h"
#include "settings/jsontext.h"

#include "wire/fleet.pb.h"

#include <google/protobuf/stubs/logging.h>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <functional>
#include <random>

using namespace Citronpitch;
using Json = nlohmann::json;
namespace leaf = boost::leaf;
namespace wire = citronpitch::wire::fleet;

namespace {

constexpr int rounds = 2000;
const auto now = timePointOf(1'700'000'000'000'000);

/// A format of messages: valid examples, and a decoder that may fail with a StepError alone.
struct Format
{
    const char *name;
    std::vector<std::string> examples;
    std::function<leaf::result<void>(const std::string &)> decode;
};

std::ostream &operator<<(std::ostream &out, const Format &format)
{
    return out << format.name;
}

const std::string heartbeat =
    R"({"Service":"s","Address":"10.0.0.1:80","Zone":"z","State":"ready","Seq":1,"born":1,"ClockMs":1,)"
    R"("Capacity":{"Cpu":1000,"MemMb":1,"Gpu":0},"Labels":["a","r1"]})";
const std::string poll =
    R"({"ClockMs":5,"born":7,"Running":[["t.0.0.1",1,"",0,3]],"Finished":[[1,"t.0.0.2",1,"done",""]]})";
const std::string document =
    R"({"Version":7,"Routes":[{"Name":"r","Host":"h","PathPrefix":"/p/","TimeoutMs":1500,"Priority":1,)"
    R"("TargetDurationMs":60,"Service":"s","MaxAttempts":4,"Stretch":1.6}],"Services":[{"Name":"s",)"
    R"("MaxConns":64,"AdmissionCheck":true}],"Limits":{"MaxHeaderBytes":16384,"IdleTimeoutMs":15000}})";
const std::string job =
    R"({"Spec":"x","BestEffort":true,"Steps":[{"Count":4,"Cpu":500,"MemMb":256,"EstimateMs":9}]})";
const std::string submission =
    R"({"team":"t","class":"c","deadline":1700000000000,"tasks":[{"payload":{"a":[1]},"declaredMs":5,)"
    R"("need":{"millicores":1,"memoryBytes":1}},{"payload":"x"}]})";
const std::string announcement =
    R"({"address":"10.0.0.1","port":80,"slots":4,"rack":"r","incarnation":1,"leaving":false,)"
    R"("capacity":{"millicores":1000,"memoryBytes":1,"accelerators":0}})";
const std::string settings =
    R"({"vm":"v", /* "x" */ "role":"control","failureDomain":"a","failureDomains":["a","b"],"address":"10.0.0.1",)"
    R"("peerPort":1,"control":"10.0.0.1:2","seeds":["10.0.0.2:1"],"drainTimeoutMs":5000,"logLevel":"info"} // end)";

std::string message(const std::function<void(wire::Message &)> &fill)
{
    wire::Message to;
    to.set_sender("10.0.0.1:1");
    fill(to);
    return to.SerializeAsString();
}

std::vector<std::string> peerMessages()
{
    FleetAnnouncement of;
    of.upstream.name = "i-1";
    of.upstream.address = "10.0.0.1";
    of.upstream.port = 80;
    of.clockMs = 5;
    RoutedJob routed;
    routed.submission.tasks.resize(2);
    routed.submission.deadline = now;
    GroupLoad load;
    load.group = "a";
    load.classes.resize(1);
    load.classes[0].longestWait = Duration(5);
    return {message([&](auto &to) { toWire(now, routed, "a", to.mutable_run_job()); }),
            message([&](auto &to) { toWire(now, FinishedJob{}, to.mutable_job_ended()); }),
            message([&](auto &to) { toWire(load, to.mutable_heartbeat()->add_groups()); }),
            message([&](auto &to) { toWire(now, TaskCrash{}, to.mutable_task_crashes()->add_crashes()); }),
            message([&](auto &to) {
                toWire(now, now, of, to.mutable_announcement_batch()->add_announcements());
                toWire(now, now, of, to.mutable_announcement_batch()->add_renewals());
            })};
}

leaf::result<void> decodePeerMessage(const std::string &bytes)
{
    const google::protobuf::LogSilencer silencer;
    wire::Message from;
    if (!from.ParseFromString(bytes) || !isVmName(from.sender()))
        return {};
    UpstreamRegistry registry{std::chrono::seconds(10)};
    for (const auto &it : from.announcement_batch().announcements()) {
        const auto decoded = fromWire(it);
        EXPECT_TRUE(!decoded || (decoded->upstream.port > 0 && decoded->clockMs >= 0));
        if (decoded)
            registry.update(*decoded, arrivalOf(now, it.age_us()));
    }
    registry.renewAll(now, from.announcement_batch(), [](const auto &) {});
    registry.expire(now);
    for (const auto &it : from.heartbeat().groups())
        fromWire(it);
    for (const auto &it : from.task_crashes().crashes())
        fromWire(now, it);
    fromWire(now, from.run_job());
    fromWire(now, from.job_ended());
    return {};
}

leaf::result<void> decodeOrder(const std::string &bytes)
{
    for (const auto kind : {OrderKind::Poll, OrderKind::Start}) {
        for (const int status : {200, 409, 500}) {
            RunOrder order;
            order.kind = kind;
            ClientResponse response;
            response.outcome = ExchangeOutcome::Answered;
            response.response = {status, bytes, {}};
            const auto decoded = Platform::decodeOrderResult(order, response);
            // A lease is added to it.
            EXPECT_LE(decoded.clockMs.value_or(0), std::int64_t{1} << 53);
            EXPECT_TRUE(decoded.verdict != OrderVerdict::Accepted || decoded.clockMs);
        }
    }
    return {};
}

template <typename Decode> auto decoderOf(Decode decode)
{
    return [decode](const std::string &bytes) -> leaf::result<void> {
        BOOST_LEAF_CHECK(decode(bytes));
        return {};
    };
}

HttpRequest requestOf(const std::string &path, const std::string &body)
{
    HttpRequest request;
    request.method = "POST";
    request.path = path;
    request.body = body;
    return request;
}

std::vector<Format> formats()
{
    const auto readPath = [](const std::string &bytes) -> leaf::result<void> {
        HttpRequest request;
        parseTarget(bytes, request);
        return {};
    };
    const auto readHeader = [](const std::string &bytes) -> leaf::result<void> {
        auto request = requestOf("", job);
        request.headers = {{"X-Deadline-Ms", bytes}};
        BOOST_LEAF_CHECK(Platform::parseJob(now, "0123456789abcdef", {}, request));
        return {};
    };
    return {
        {"heartbeat", {heartbeat}, decoderOf([](const auto &it) {
             return Platform::parseHeartbeat("i-1", it);
         })},
        {"id", {"i-7f3a91c2"}, decoderOf([](const auto &it) {
             return Platform::parseHeartbeat(it, heartbeat);
         })},
        {"leave", {R"({"born":5})"}, decoderOf([](const auto &it) { return Platform::parseLeave(it); })},
        {"order", {poll, R"({"ClockMs":5,"Reason":"old"})"}, decodeOrder},
        {"document", {document}, decoderOf([](const auto &it) { return Platform::parseDeclaration(it); })},
        {"job", {job}, decoderOf([](const auto &it) {
             return Platform::parseJob(now, "0123456789abcdef", {}, requestOf("", it));
         })},
        {"submission", {submission}, decoderOf([](const auto &it) {
             return parseCallerRequest(requestOf("/v1/jobs", it), now);
         })},
        {"upstream", {announcement}, decoderOf([](const auto &it) {
             return parseAnnouncement(requestOf("/v1/upstreams/u", it), now);
         })},
        {"settings", {settings}, decoderOf([](const auto &it) { return parseFleetSettings(it); })},
        {"target", {"/a/b%20c?team=%41&wait=true"}, readPath},
        {"header", {"1000"}, readHeader},
        {"peer", peerMessages(), decodePeerMessage},
    };
}

/// Derives malformed messages from valid ones.
class Mutator
{
public:
    explicit Mutator(std::uint64_t seed)
        : m_random(seed)
    {
    }

    std::string mutate(const std::vector<std::string> &examples)
    {
        auto text = examples[below(examples.size())];
        if (auto json = readJson(text); std::holds_alternative<Json>(json) && below(2) == 0)
            return mutated(std::get<Json>(std::move(json)));
        for (auto n = 1 + below(3); n > 0; --n)
            changeBytes(text, examples);
        return text;
    }

private:
    std::size_t below(std::size_t n)
    {
        return std::uniform_int_distribution<std::size_t>(0, n - 1)(m_random);
    }

    /// Text of a value at the edge of what a decoder allows, or of another type than it expects.
    std::string oddValue()
    {
        static const std::vector<std::string> values{"null",
                                                     "true",
                                                     "\"\"",
                                                     "\"5\"",
                                                     "[]",
                                                     "{}",
                                                     "0",
                                                     "-1",
                                                     "-0",
                                                     "1.5",
                                                     "1e3",
                                                     "1e999",
                                                     "-1e999",
                                                     "65535",
                                                     "65536",
                                                     "4294967295",
                                                     "4294967296",
                                                     "4294967297",
                                                     "9007199254740991",
                                                     "9007199254740992",
                                                     "9223372036854775807",
                                                     "9223372036854775808",
                                                     "-9223372036854775808",
                                                     "18446744073709551615",
                                                     "18446744073709551616",
                                                     "\"10.0.0.1:80x\"",
                                                     "\"999.1.1.1:80\"",
                                                     "\"\\u0000\"",
                                                     "\"\\ud800\"",
                                                     "\"\xff\"",
                                                     "NaN"};
        switch (below(10)) {
        case 0: {
            const auto depth = 1 + below(200'000);
            return std::string(depth, '[') + std::string(depth, ']');
        }
        case 1: {
            std::string text = "[0";
            for (auto n = below(5000); n > 0; --n)
                text += ",[]";
            return text + "]";
        }
        case 2:
            return "\"" + std::string(below(100'000), 'x') + "\"";
        default:
            return values[below(values.size())];
        }
    }

    /// Replaces a random value of @p json, removes it, or adds a field of no meaning.
    std::string mutated(Json json)
    {
        auto *at = &json;
        while (at->is_structured() && !at->empty() && below(4) != 0) {
            auto it = at->begin();
            std::advance(it, static_cast<std::ptrdiff_t>(below(at->size())));
            at = &*it;
        }
        if (at->is_object() && below(2) == 0)
            (*at)["added"] = "mark";
        else
            *at = "mark";
        auto text = json.dump();
        const std::string_view quoted = "\"mark\"";
        const auto value = oddValue();
        return text.replace(text.find(quoted), quoted.size(), value);
    }

    void changeBytes(std::string &text, const std::vector<std::string> &examples)
    {
        const auto position = below(text.size() + 1);
        switch (below(5)) {
        case 0:
            text.resize(position);
            break;
        case 1:
            if (position < text.size())
                text[position] = static_cast<char>(below(256));
            break;
        case 2:
            text.insert(position, 1 + below(9), static_cast<char>(below(256)));
            break;
        case 3:
            text.insert(position, examples[below(examples.size())]);
            break;
        default:
            text.erase(position, below(9));
            break;
        }
    }

    std::mt19937_64 m_random;
};

/// Returns why @p decode failed otherwise than with a StepError; empty if it didn't.
std::string unexpectedErrorOf(const Format &format, const std::string &text)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::string> {
            BOOST_LEAF_CHECK(format.decode(text));
            return std::string();
        },
        [](const StepError &error) {
            // Logged, and sent back.
            return error.text().size() < 1000
                ? std::string()
                : "an error of " + std::to_string(error.text().size()) + " bytes";
        },
        [](const std::exception &error) { return std::string("exception: ") + error.what(); },
        [] { return std::string("unknown error"); });
}

class MutatorTest : public testing::TestWithParam<Format>
{
};

INSTANTIATE_TEST_SUITE_P(Formats, MutatorTest, testing::ValuesIn(formats()),
                         [](const auto &it) { return std::string(it.param.name); });

} // namespace

// Guards against a decoder that ends its VM, overflows, or throws for any bytes.
TEST_P(MutatorTest, mutatedMessagesAreDecodedOrRejected)
{
    for (const auto &it : GetParam().examples) {
        EXPECT_EQ(unexpectedErrorOf(GetParam(), it), "");
        EXPECT_TRUE(leaf::try_handle_all(
            [&]() -> leaf::result<bool> {
                BOOST_LEAF_CHECK(GetParam().decode(it));
                return true;
            },
            [](const StepError &error) {
                ADD_FAILURE() << error.text();
                return false;
            },
            [] { return false; }));
    }
    for (std::uint64_t seed = 0; seed < rounds; ++seed) {
        const auto text = Mutator(seed).mutate(GetParam().examples);
        ASSERT_EQ(unexpectedErrorOf(GetParam(), text), "") << "seed " << seed << ": " << text.substr(0, 300);
        ASSERT_FALSE(testing::Test::HasFailure()) << "seed " << seed << ": " << text.substr(0, 300);
    }
}
