#include "support/fakeexecutor.h"

#include "platform/serverlimits.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace Citronpitch {

using Json = nlohmann::json;

namespace {

constexpr auto announcePeriod = std::chrono::milliseconds(200);
constexpr Duration callTimeout = std::chrono::milliseconds(500);
constexpr std::uint64_t born = 1'700'000'000'000;

std::string wordOf(OrderVerdict verdict)
{
    switch (verdict) {
    case OrderVerdict::StaleFence:
        return "fence";
    case OrderVerdict::StaleRun:
        return "old";
    case OrderVerdict::TooLate:
        return "late";
    default:
        return "room";
    }
}

} // namespace

FakeExecutor::FakeExecutor(const std::string &id, const std::string &zone, const Endpoint &own,
                           std::vector<Endpoint> controls)
    : m_id(id)
    , m_zone(zone)
    , m_own(own)
    , m_controls(std::move(controls))
    , m_model(now(), {id, 4, std::chrono::milliseconds(50)})
    , m_server(m_io, own, Platform::controlServerLimits(),
               [this](const HttpRequest &request, const HttpResponder &respond) -> HttpGone {
                   respond(handle(request));
                   return nullptr;
               })
    , m_client(m_io)
    , m_timer(m_io)
{
    m_model.started = [this](const std::string &) { ++m_starts; };
    schedule();
    m_thread = std::thread([this] { m_io.run(); });
}

FakeExecutor::~FakeExecutor()
{
    m_io.stop();
    m_thread.join();
}

void FakeExecutor::leave()
{
    m_isLeaving = true;
}

unsigned FakeExecutor::starts() const
{
    return m_starts;
}

void FakeExecutor::schedule()
{
    announce(0);
    m_timer.expires_after(announcePeriod);
    m_timer.async_wait([this](boost::system::error_code ec) {
        if (!ec)
            schedule();
    });
}

void FakeExecutor::announce(std::size_t control)
{
    if (control >= m_controls.size())
        return;
    const Json body{{"Service", "pool"},
                    {"Address", m_own.address + ":" + std::to_string(m_own.port)},
                    {"Zone", m_zone},
                    {"Slots", 4},
                    {"State", m_isLeaving ? "draining" : "ready"},
                    {"Capacity", {{"Cpu", 4000}, {"MemMb", 4096}, {"Gpu", 0}}},
                    {"Labels", {"a", "r1"}},
                    {"ClockMs", m_model.clockMs(now())},
                    {"Seq", ++m_sequence},
                    {"born", born}};
    ClientRequest request{"POST", "/instances/" + m_id + "/heartbeat", {}, body.dump(), callTimeout};
    m_client.send(m_controls[control], request, [this, control](const ClientResponse &response) {
        if (response.end != ExchangeEnd::Answered || response.response.status != 200)
            announce(control + 1);
    });
}

HttpResponse FakeExecutor::handle(const HttpRequest &request)
{
    const auto json = Json::parse(request.body, nullptr, false);
    RunOrder order;
    order.kind = request.path == "/run-start" ? OrderKind::Start : OrderKind::Poll;
    if (request.path == "/run-stop")
        order.kind = OrderKind::Stop;
    order.fence = json.value("Fence", std::uint64_t{0});
    order.task = json.value("Task", std::string());
    order.run = json.value("Run", 0U);
    order.leaseMs = json.value("DeadlineMs", std::int64_t{0});
    order.seenEnds = json.value("AckedThrough", std::uint64_t{0});
    const auto result = m_model.carryOut(now(), order);
    Json body{{"ClockMs", *result.clockMs}};
    if (result.verdict != OrderVerdict::Accepted) {
        body["Reason"] = wordOf(result.verdict);
        return {409, body.dump(), {}};
    }
    if (order.kind == OrderKind::Poll) {
        body["born"] = born;
        body["Running"] = Json::array();
        body["Finished"] = Json::array();
        for (const auto &it : result.running)
            body["Running"].push_back({it.task, it.run, "", 100});
        for (const auto &it : result.ended)
            body["Finished"].push_back({it.number, it.task, it.run, nameIn(runEndKindNames, it.how), ""});
    }
    return {200, body.dump(), {}};
}

TimePoint FakeExecutor::now() const
{
    return std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now());
}

} // namespace Citronpitch
