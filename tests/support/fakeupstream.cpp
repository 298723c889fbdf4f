#include "support/fakeupstream.h"

namespace Citronpitch {

using Json = nlohmann::json;

namespace {

constexpr auto renewalPeriod = std::chrono::milliseconds(500);
constexpr auto announceTimeout = std::chrono::seconds(1);

const HttpLimits limits{std::uint64_t{64} << 20, std::uint64_t{1} << 30, 16384, 10000, 10000,
                        std::chrono::hours(1),   std::chrono::minutes(1)};

Endpoint endpointOf(const Json &from)
{
    return {from.at("address").get<std::string>(), from.at("port").get<std::uint16_t>()};
}

std::uint64_t currentMicroseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<Duration>(now).count());
}

} // namespace

FakeUpstreamSettings loadFakeUpstreamSettings(const std::string &path)
{
    std::ifstream file(path);
    const auto from = Json::parse(file, nullptr, true, true);
    FakeUpstreamSettings settings;
    settings.name = from.at("name").get<std::string>();
    settings.listen = endpointOf(from.at("listen"));
    settings.announced = from.contains("announced") ? endpointOf(from.at("announced")) : settings.listen;
    for (const auto &it : from.at("entryVms"))
        settings.entryVms.push_back(endpointOf(it));
    settings.slots = from.value("slots", settings.slots);
    settings.rack = from.value("rack", std::string());
    const auto capacity = from.value("capacity", Json::object());
    settings.capacity = {capacity.value("millicores", 0U), capacity.value("memoryBytes", std::uint64_t{0}),
                         capacity.value("accelerators", 0U)};
    settings.slowness = from.value("slowness", 1.0);
    settings.failsEverything = from.value("failsEverything", false);
    settings.recordFile = from.value("recordFile", std::string());
    return settings;
}

FakeUpstream::FakeUpstream(boost::asio::io_context &io, const FakeUpstreamSettings &settings)
    : m_io(io)
    , m_settings(settings)
    , m_incarnation(currentMicroseconds())
    , m_server(io, settings.listen, limits,
               [this](const HttpRequest &request, const HttpResponder &respond) {
                   return handle(request, respond);
               })
    , m_client(io)
    , m_renewal(io)
{
    if (!settings.recordFile.empty())
        m_records.open(settings.recordFile, std::ios::app);
    announce();
}

void FakeUpstream::leave()
{
    m_isLeaving = true;
    announce();
}

DisconnectHandler FakeUpstream::handle(const HttpRequest &request, const HttpResponder &respond)
{
    const auto *attempt = request.findHeader("Attempt-Id");
    const auto task = Json::parse(request.body, nullptr, false);
    if (request.path != "/v1/tasks" || attempt == nullptr || !task.is_object()) {
        respond({400, "{}", {{"Task-Not-Started", "malformed"}}});
        return nullptr;
    }
    const auto id = task.value("id", std::string());
    if (!m_attempts.insert(*attempt).second) {
        record("duplicate " + id + " " + *attempt);
        respond({409, "{}", {{"Task-Not-Started", "duplicate attempt"}}});
        return nullptr;
    }
    if (m_running >= m_settings.slots) {
        record("declined " + id + " " + *attempt);
        respond({503, "{}", {{"Task-Not-Started", "no free slot"}}});
        return nullptr;
    }
    record("start " + id + " " + *attempt);
    run(task, respond);
    return [] {};
}

void FakeUpstream::run(const Json &task, const HttpResponder &respond)
{
    const auto status = m_settings.failsEverything ? 500 : task.value("status", 200);
    const double milliseconds = m_settings.failsEverything ? 0 : task.value("ms", 0.0) * m_settings.slowness;
    const auto result = Json{{"id", task.value("id", std::string())}, {"upstream", m_settings.name}}.dump();
    if (milliseconds <= 0) {
        respond({status, result, {}});
        return;
    }
    ++m_running;
    const auto timer = std::make_shared<boost::asio::steady_timer>(m_io);
    timer->expires_after(Duration(static_cast<std::int64_t>(milliseconds * 1000)));
    timer->async_wait([this, timer, respond, status, result](boost::system::error_code) {
        --m_running;
        respond({status, result, {}});
    });
}

void FakeUpstream::record(const std::string &line)
{
    if (m_records.is_open())
        m_records << line << std::endl;
}

void FakeUpstream::announce()
{
    if (m_settings.entryVms.empty())
        return;
    const Json body{{"address", m_settings.announced.address},
                    {"port", m_settings.announced.port},
                    {"slots", m_settings.slots},
                    {"rack", m_settings.rack},
                    {"incarnation", m_incarnation},
                    {"capacity",
                     {{"millicores", m_settings.capacity.millicores},
                      {"memoryBytes", m_settings.capacity.memoryBytes},
                      {"accelerators", m_settings.capacity.accelerators}}},
                    {"leaving", m_isLeaving}};
    ClientRequest request;
    request.method = "PUT";
    request.target = "/v1/upstreams/" + m_settings.name;
    request.body = body.dump();
    request.timeout = announceTimeout;
    m_client.send(m_settings.entryVms[m_entryVm], request,
                  [this](const auto &response) { announced(response); });
}

void FakeUpstream::announced(const ClientResponse &response)
{
    const bool isAccepted = response.outcome == ExchangeOutcome::Answered && response.response.status == 200;
    if (!isAccepted)
        m_entryVm = (m_entryVm + 1) % m_settings.entryVms.size();
    if (m_isLeaving && isAccepted)
        return;
    m_renewal.expires_after(renewalPeriod);
    m_renewal.async_wait([this](boost::system::error_code ec) {
        if (!ec)
            announce();
    });
}

} // namespace Citronpitch
