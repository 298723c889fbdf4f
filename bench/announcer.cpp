#include "announcer.h"

#include "closedloop.h"

#include <nlohmann/json.hpp>

#include <thread>

namespace Citronpitch {

namespace {

/// Nothing listens there: a start sent to it fails as not sent.
constexpr std::uint16_t unusedPort = 9;
constexpr std::uint32_t upstreamsPerRack = 6;

} // namespace

std::uint32_t announceMany(const Endpoint &control, const AnnouncedUpstreams &upstreams)
{
    SequentialCaller caller;
    std::uint32_t accepted = 0;
    auto next = std::chrono::steady_clock::now();
    for (std::uint32_t i = 0; i < upstreams.count; ++i) {
        const auto number = upstreams.first + i;
        const nlohmann::json body{{"address", "127.0.0.1"},
                                  {"port", unusedPort},
                                  {"slots", upstreams.slots},
                                  {"rack", "rack" + std::to_string(number / upstreamsPerRack)},
                                  {"incarnation", 1}};
        ClientRequest request;
        request.method = "PUT";
        request.target = "/v1/upstreams/" + upstreams.prefix + std::to_string(number);
        request.body = body.dump();
        double milliseconds = 0;
        const auto response = caller.call(control, request, milliseconds);
        accepted += response.outcome == ExchangeOutcome::Answered && response.response.status == 200 ? 1 : 0;
        next += upstreams.spacing;
        std::this_thread::sleep_until(next);
    }
    return accepted;
}

} // namespace Citronpitch
