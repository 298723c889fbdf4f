#include "support/fakeexecutor.h"

#include "platform/serverlimits.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace Citronpitch {

using Json = nlohmann::json;

namespace {

constexpr auto announcePeriod = std::chrono::milliseconds(200);
constexpr Duration callTimeout = std::chrono::milliseconds(500);
/// Start of the first life; each further life starts a millisecond later.
constexpr std::uint64_t firstBorn = 1'700'000'000'000;

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

FakeExecutor::FakeExecutor(boost::asio::io_context &io, FakeExecutorPlan plan)
    : m_io(io)
    , m_plan(std::move(plan))
    , m_model(
          now(),
          {m_plan.id, 4, std::chrono::milliseconds(50), std::chrono::milliseconds(1000), m_plan.clockRate})
    , m_server(m_io, m_plan.own, Platform::controlServerLimits(),
               [this](const HttpRequest &request, const HttpResponder &respond) {
                   return handle(request, respond);
               })
    , m_client(m_io)
    , m_timer(m_io)
{
    m_model.onStarted = [this](const std::string &task) {
        ++m_starts;
        if (started)
            started(task);
    };
    m_model.endKindOf = [this](const std::string &task) {
        if (done)
            done(task);
        return RunEndKind::Done;
    };
    schedule();
}

void FakeExecutor::leave()
{
    m_isLeaving = true;
}

unsigned FakeExecutor::starts() const
{
    return m_starts;
}

void FakeExecutor::delayStarts(Duration delay)
{
    m_startDelay = delay;
}

void FakeExecutor::restart()
{
    m_model.advance(now());
    std::vector<std::string> tasks;
    for (const auto &[task, run] : m_model.running())
        tasks.push_back(task);
    m_model.restart(now());
    if (crashed)
        crashed(tasks);
    // Orders that were put off die with the process that had them.
    m_lateOrders.clear();
    m_sequence = 0;
}

bool FakeExecutor::isRunning(const std::string &task)
{
    m_model.advance(now());
    return m_model.running().contains(task);
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
    if (control >= m_plan.controls.size())
        return;
    const Json body{{"Service", "pool"},
                    {"Address", m_plan.announced.address + ":" + std::to_string(m_plan.announced.port)},
                    {"Zone", m_plan.zone},
                    {"Slots", 4},
                    {"State", m_isLeaving ? "draining" : "ready"},
                    {"Capacity", {{"Cpu", 4000}, {"MemMb", 4096}, {"Gpu", 0}}},
                    {"Labels", m_plan.labels},
                    {"ClockMs", m_model.clockMs(now())},
                    {"Seq", ++m_sequence},
                    {"born", born()}};
    ClientRequest request{"POST", "/instances/" + m_plan.id + "/heartbeat", {}, body.dump(), callTimeout};
    m_client.send(m_plan.controls[control], request, [this, control](const ClientResponse &response) {
        if (response.outcome != ExchangeOutcome::Answered || response.response.status != 200)
            announce(control + 1);
    });
}

DisconnectHandler FakeExecutor::handle(const HttpRequest &request, const HttpResponder &respond)
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
    order.acknowledgedThrough = json.value("AckedThrough", std::uint64_t{0});
    const auto *expected = request.findHeader("X-Expect-Instance");
    if (expected != nullptr && *expected != m_plan.id)
        respond({421, "{}", {}});
    else if (order.kind == OrderKind::Start && m_startDelay > Duration())
        carryOutLate(order);
    else {
        auto response = carryOut(order);
        if (responding)
            responding(response);
        respond(std::move(response));
    }
    return nullptr;
}

void FakeExecutor::carryOutLate(const RunOrder &order)
{
    const auto it = m_lateOrders.emplace(m_lateOrders.end(), m_io);
    it->expires_after(m_startDelay);
    it->async_wait([this, it, order](boost::system::error_code ec) {
        if (ec)
            return;
        carryOut(order);
        m_lateOrders.erase(it);
    });
}

HttpResponse FakeExecutor::carryOut(const RunOrder &order)
{
    const auto result = m_model.execute(now(), order);
    Json body{{"ClockMs", *result.clockMs}};
    if (result.verdict != OrderVerdict::Accepted) {
        body["Reason"] = wordOf(result.verdict);
        return {409, body.dump(), {}};
    }
    if (order.kind == OrderKind::Poll) {
        body["born"] = born();
        body["Running"] = Json::array();
        body["Finished"] = Json::array();
        for (const auto &it : result.running)
            body["Running"].push_back({it.task, it.run, "", 100});
        for (const auto &it : result.ended)
            body["Finished"].push_back({it.number, it.task, it.run, enumName(runEndKindNames, it.kind), ""});
    }
    return {200, body.dump(), {}};
}

std::uint64_t FakeExecutor::born() const
{
    return firstBorn + m_model.incarnation();
}

TimePoint FakeExecutor::now() const
{
    return std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now());
}

} // namespace Citronpitch
