#include "daemon/daemon.h"

#include "citronpitch/idempotencykey.h"
#include "daemon/burnapi.h"
#include "daemon/callerapi.h"
#include "daemon/controlapi.h"
#include "log/eventlog.h"
#include "log/wallclock.h"
#include "net/eventloop.h"

#include "wire/peer.pb.h"

#include <nlohmann/json.hpp>

#include <csignal>

namespace Citronpitch {

namespace leaf = boost::leaf;
namespace wire = citronpitch::wire;

namespace {

constexpr auto tickInterval = std::chrono::milliseconds(5);
/// Interval of checks for state changes that must be logged.
constexpr Duration stateCheckInterval = std::chrono::milliseconds(100);

constexpr int keysPerRequest = 100;

/// Time for which the daemon still accepts connections after its readiness check starts to fail, so that the
/// load balancer can notice.
constexpr Duration drainAcceptPeriod = std::chrono::seconds(1);

/// The incarnation is the start time in microseconds, or the last one plus 1 if the clock was set back.
std::uint64_t nextIncarnation(TimePoint start, std::uint64_t last)
{
    return std::max(static_cast<std::uint64_t>(microsecondsOf(start)), last + 1);
}

EntryVmOptions entryVmOptions(const Settings &settings, std::uint64_t incarnation)
{
    EntryVmOptions options;
    options.self = {settings.name, settings.failureDomain};
    options.incarnation = incarnation;
    for (const auto &it : settings.vms)
        options.vms.push_back(it.identity);
    options.heartbeatInterval = settings.heartbeatInterval;
    options.suspicionTimeout = settings.suspicionTimeout;
    options.upstreamLease = settings.upstreamLease;
    options.claimLimits.retention = settings.answerRetention;
    options.claimLimits.keyAge = settings.keyAge;
    options.claimLimits.clockSkew = settings.clockSkew;
    options.dispatching.placement = settings.placement;
    options.dispatching.entryVms = static_cast<std::uint32_t>(settings.vms.size());
    return options;
}

} // namespace

Daemon::Daemon(const Settings &settings, std::string settingsFile, std::unique_ptr<ClaimStore> claims)
    : m_settings(settings)
    , m_settingsFile(std::move(settingsFile))
    , m_steadyStart(std::chrono::steady_clock::now())
    , m_wallStart(wallClock())
    , m_signals(m_io, SIGTERM, SIGINT, SIGHUP)
    , m_claims(std::move(claims))
    , m_incarnation(nextIncarnation(m_wallStart, m_claims->lastIncarnation()))
    , m_vm(entryVmOptions(settings, m_incarnation))
    , m_upstreams(
          m_io, [this] { return now(); },
          [this](AttemptId attempt, const AttemptResult &result) {
              m_vm.attemptEnded(now(), attempt, result);
              executeActions();
          })
    , m_links(
          m_io, settings.name, settings.peers, settings.vms,
          [this](std::string_view bytes) { handlePeerMessage(bytes); },
          [this](const std::string &vm, bool isUp) {
              m_vm.handleLinkChange(now(), vm, isUp);
              executeActions();
          })
    , m_configuration(
          m_io, settings,
          {[this] { return now(); },
           [this](const std::string &vm, const std::string &bytes) { sendConfiguration(vm, bytes); },
           [this](const Configuration &configuration) {
               m_vm.setConfiguration(now(), configuration);
               executeActions();
           }})
    , m_callerServer(m_io, settings.callers, settings.limits,
                     [this](const HttpRequest &request, HttpResponder respond) {
                         return handleCaller(request, std::move(respond));
                     })
    , m_controlServer(m_io, settings.control, settings.limits,
                      [this](const HttpRequest &request, const HttpResponder &respond) {
                          return handleControl(request, respond);
                      })
    , m_tickTimer(m_io)
    , m_random(std::random_device{}())
{
    m_configuration.start();
    m_vm.setConfigurationCurrent(m_configuration.isCurrent());
    recoverClaims();
    waitForSignal();
    scheduleTick();
}

bool Daemon::run()
{
    logEvent(Event::Started, {{"vm", m_settings.name}, {"failureDomain", m_settings.failureDomain}});
    const bool isStopped = runEventLoop(m_io);
    blockShutdownSignals();
    if (isStopped)
        logEvent(Event::Stopped, {{"vm", m_settings.name}});
    logAllSuppressedCounts();
    return isStopped;
}

DisconnectHandler Daemon::handleCaller(const HttpRequest &request, HttpResponder respond)
{
    if (request.path == "/healthz") {
        respond({200, R"({"healthy":true})", {}});
        return nullptr;
    }
    if (request.path == "/readyz") {
        respond({m_isDraining ? 503 : 200, m_isDraining ? R"({"ready":false})" : R"({"ready":true})", {}});
        return nullptr;
    }
    if (request.path == "/v1/keys" && request.method == "POST") {
        issueKeys(respond);
        return nullptr;
    }
    const bool isJobs = request.path == "/v1/jobs" && request.method == "POST";
    const bool isJob =
        request.path.starts_with("/v1/jobs/") && (request.method == "GET" || request.method == "DELETE");
    if (isJobs || isJob)
        return submit(request, std::move(respond));
    respond(errorResponse(404, "no resource " + request.method + " " + request.path));
    return nullptr;
}

DisconnectHandler Daemon::submit(const HttpRequest &request, HttpResponder respond)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<DisconnectHandler> {
            BOOST_LEAF_ASSIGN(auto parsed, parseCallerRequest(request, now() + m_settings.defaultDeadline));
            if (parsed.submission.key.empty())
                parsed.submission.key = newKey();
            const auto caller = m_nextCaller++;
            m_pendingCallers.emplace(caller, std::move(respond));
            m_vm.handleRequest(now(), caller, std::move(parsed));
            executeActions();
            return DisconnectHandler([this, caller] {
                m_pendingCallers.erase(caller);
                m_vm.callerDisconnected(caller);
            });
        },
        [&](const StepError &error) -> DisconnectHandler {
            logEvent(Event::CallerRequestRejected,
                     {{"peer", request.remoteAddress}, {"error", error.text()}});
            respond(errorResponse(400, error.text()));
            return nullptr;
        },
        [&]() -> DisconnectHandler {
            respond(errorResponse(500, "internal error"));
            return nullptr;
        });
}

DisconnectHandler Daemon::handleControl(const HttpRequest &request, const HttpResponder &respond)
{
    if (request.path == "/v1/status") {
        respond({200, statusJson(m_vm, m_settings.name), {}});
        return nullptr;
    }
    if (request.path == "/v1/burn" && request.method == "GET") {
        respond({200, burnJson(now(), m_vm, {m_settings.name, m_settings.failureDomain}), {}});
        return nullptr;
    }
    if (request.path.starts_with("/v1/explanations/") && request.method == "GET") {
        explain(request, respond);
        return nullptr;
    }
    if (ConfigurationService::handlesPath(request.path))
        return m_configuration.handle(request, respond);
    if (request.path == "/v1/upstreams" && request.method == "GET") {
        respond({200, upstreamsJson(m_vm), {}});
        return nullptr;
    }
    if (request.path.starts_with("/v1/upstreams/") && request.method == "PUT") {
        announce(request, respond);
        return nullptr;
    }
    respond(errorResponse(404, "no resource " + request.method + " " + request.path));
    return nullptr;
}

void Daemon::explain(const HttpRequest &request, const HttpResponder &respond)
{
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_ASSIGN(const auto text, explanationJson(now(), m_vm, request));
            respond({200, text, {}});
            return {};
        },
        [&](const StepError &error) { respond(errorResponse(400, error.text())); },
        [&] { respond(errorResponse(500, "internal error")); });
}

void Daemon::announce(const HttpRequest &request, const HttpResponder &respond)
{
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_ASSIGN(const auto announcement,
                              parseAnnouncement(request, now() + m_settings.upstreamLease));
            m_vm.handleAnnouncement(now(), announcement);
            const nlohmann::json body{{"leaseDeadline", microsecondsOf(announcement.leaseDeadline) / 1000}};
            respond({200, body.dump(), {}});
            executeActions();
            return {};
        },
        [&](const StepError &error) {
            logEvent(Event::AnnouncementRejected, {{"peer", request.remoteAddress}, {"error", error.text()}});
            respond(errorResponse(400, error.text()));
        },
        [&] { respond(errorResponse(500, "internal error")); });
}

void Daemon::issueKeys(const HttpResponder &respond)
{
    auto keys = nlohmann::json::array();
    for (int i = 0; i < keysPerRequest; ++i)
        keys.push_back(newKey());
    respond({200, nlohmann::json{{"keys", keys}}.dump(), {}});
}

void Daemon::handlePeerMessage(std::string_view bytes)
{
    wire::PeerMessage message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        logEvent(Event::PeerMessageMalformed, {{"bytes", std::to_string(bytes.size())}});
        return;
    }
    m_vm.handlePeerMessage(now(), message);
    executeActions();
    if (message.body_case() == wire::PeerMessage::kConfiguration)
        m_configuration.receive(message.sender(), message.configuration());
}

void Daemon::executeActions()
{
    if (m_isExecuting)
        return;
    m_isExecuting = true;
    for (auto actions = m_vm.takeActions(); !actions.empty(); actions = m_vm.takeActions()) {
        for (const auto &it : actions)
            std::visit([this](const auto &action) { execute(action); }, it);
    }
    m_isExecuting = false;
}

void Daemon::recoverClaims()
{
    const auto recovery = m_claims->takeRecovery();
    m_vm.recover(now(), recovery);
    logEvent(Event::ClaimsRecovered,
             {{"records", std::to_string(recovery.records.size())},
              {"memory", std::string(enumName(journalCompletenessNames, recovery.completeness))}});
    m_claims->start(
        m_io.get_executor(), m_incarnation, m_vm.journalSnapshot(),
        [this](std::uint64_t token) {
            m_vm.journalSynced(now(), token);
            executeActions();
        },
        [this](const StepError &error) { storageFailed(error); });
    executeActions();
}

void Daemon::storageFailed(const StepError &error)
{
    logEvent(Event::ClaimStorageFailed, {{"error", error.text()}});
    m_vm.storageFailed(now());
    executeActions();
}

void Daemon::execute(const StartTask &action)
{
    // After a storage failure the start intent may be missing in the journal; the deadline may have passed if
    // the process was suspended after the decision.
    if (m_claims->hasFailed() || now() >= action.deadline) {
        m_vm.attemptEnded(now(), action.attempt, {AttemptOutcome::NotSent, 0, {}});
        return;
    }
    m_upstreams.start(action);
}

void Daemon::execute(const StopTask &action)
{
    m_upstreams.stop(action.attempt);
}

void Daemon::execute(const AnswerCaller &action)
{
    const auto it = m_pendingCallers.find(action.caller);
    if (it == m_pendingCallers.end())
        return;
    const auto respond = std::move(it->second);
    m_pendingCallers.erase(it);
    respond(answerResponse(now(), action.answer));
}

void Daemon::execute(const SendPeerMessage &action)
{
    m_links.send(action.vm, action.message->SerializeAsString());
}

void Daemon::execute(const AppendClaimRecord &action)
{
    m_claims->append(*action.record, action.syncToken);
}

void Daemon::scheduleTick()
{
    m_tickTimer.expires_after(tickInterval);
    m_tickTimer.async_wait([this](boost::system::error_code ec) {
        if (ec)
            return;
        tick();
        scheduleTick();
    });
}

void Daemon::tick()
{
    m_vm.tick(now());
    executeActions();
    if (now() >= m_nextStateCheck)
        logStateChanges();
    m_configuration.tick();
    m_vm.setConfigurationCurrent(m_configuration.isCurrent());
    if (m_claims->needsCompaction())
        m_claims->compact(m_vm.journalSnapshot());
    if (!m_isDraining)
        return;
    if (!m_hasStoppedListening && now() >= m_acceptUntil) {
        m_hasStoppedListening = true;
        logEvent(Event::ListeningStopped,
                 {{"vm", m_settings.name}, {"inFlight", std::to_string(m_callerServer.connectionCount())}});
        m_callerServer.drain();
    }
    const bool isDone = m_hasStoppedListening && m_vm.isIdle() && m_callerServer.connectionCount() == 0;
    if (!isDone && now() < m_drainDeadline)
        return;
    if (!isDone)
        logEvent(Event::DrainTimedOut, {{"vm", m_settings.name}});
    m_io.stop();
}

void Daemon::logStateChanges()
{
    m_nextStateCheck = now() + stateCheckInterval;
    m_stateChangeLogger.observe(now(), m_vm);
    logSuppressedCounts();
}

void Daemon::waitForSignal()
{
    m_signals.async_wait([this](boost::system::error_code ec, int number) {
        if (ec)
            return;
        if (number == SIGHUP)
            reload();
        else
            drain();
        waitForSignal();
    });
}

void Daemon::reload()
{
    leaf::try_handle_all(
        [this]() -> leaf::result<void> {
            BOOST_LEAF_ASSIGN(const auto loaded, loadSettings(m_settingsFile));
            const auto result = applyReloadableSettings(m_settings, loaded);
            m_settings = result.settings;
            m_callerServer.setLimits(m_settings.limits);
            m_controlServer.setLimits(m_settings.limits);
            configureEventLog(m_settings.log);
            for (const auto &it : result.applied)
                logEvent(Event::SettingChanged, {{"key", it}});
            for (const auto &it : result.needsRestart)
                logEvent(Event::SettingNeedsRestart, {{"key", it}});
            return {};
        },
        [](const StepError &error) {
            logEvent(Event::SettingsRejected, {{"error", error.text()}});
        },
        [] {});
}

void Daemon::drain()
{
    if (m_isDraining)
        return;
    logEvent(Event::DrainStarted, {{"vm", m_settings.name}});
    m_isDraining = true;
    m_acceptUntil = now() + drainAcceptPeriod;
    m_drainDeadline = now() + m_settings.drainTimeout;
    m_callerServer.closeAfterResponses();
    m_vm.drain(now());
    executeActions();
}

void Daemon::sendConfiguration(const std::string &vm, const std::string &bytes)
{
    wire::PeerMessage message;
    message.set_sender(m_settings.name);
    message.set_incarnation(static_cast<std::uint64_t>(microsecondsOf(m_wallStart)));
    message.set_configuration(bytes);
    m_links.send(vm, message.SerializeAsString());
}

std::string Daemon::newKey()
{
    const auto high = m_random();
    const auto low = m_random();
    return issueIdempotencyKey(m_settings.name, now(), high, low);
}

TimePoint Daemon::now() const
{
    const auto elapsed = std::chrono::steady_clock::now() - m_steadyStart;
    return m_wallStart + std::chrono::duration_cast<Duration>(elapsed);
}

} // namespace Citronpitch
