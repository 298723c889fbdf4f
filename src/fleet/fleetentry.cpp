#include "fleet/fleetentry.h"

#include "citronpitch/holdersubscriptions.h"
#include "fleet/fleetwire.h"
#include "log/eventlog.h"
#include "net/eventloop.h"
#include "store/randomnumber.h"

#include "wire/fleet.pb.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace Citronpitch {

namespace wire = citronpitch::wire::fleet;

namespace {

/// How long a draining VM still accepts connections. Load balancers probe readiness once per second and
/// remove a VM after two failures.
constexpr Duration listenAfterDrain = std::chrono::milliseconds(2500);

JobRouterOptions routerOptionsOf(const FleetSettings &settings)
{
    JobRouterOptions options;
    options.domain = settings.domain;
    options.seed = randomNonZero();
    return options;
}

/// An upstream without announcements for this many announcement intervals is removed from the registry.
constexpr int retentionAnnouncementIntervals = 20;

/// Interval at which a control VM is asked for the upstreams of own groups until one answers.
constexpr Duration registryRequestInterval = std::chrono::milliseconds(500);

/// Interval at which the router learns the loads of the own groups; that of heartbeats.
constexpr Duration loadReportInterval = std::chrono::milliseconds(100);

/// Heartbeats continue this long after the last job of own groups, so that the new holders see that the
/// groups were released.
constexpr Duration lingerAfterRelease = std::chrono::milliseconds(600);

} // namespace

FleetEntry::FleetEntry(boost::asio::io_context &io, const FleetSettings &settings, FleetEntryHooks hooks)
    : m_io(io)
    , m_settings(settings)
    , m_collectListeners(std::move(hooks.collect))
    , m_activeDeclaration(std::move(hooks.parse))
    , m_router(routerOptionsOf(settings))
    , m_registry(settings.announcementInterval * retentionAnnouncementIntervals)
    , m_member(io, settings,
               {[this](wire::Heartbeat &heartbeat) { fillHeartbeat(heartbeat); },
                [this](const std::string &vm, const wire::Message &message) { received(vm, message); },
                [this](const PeerChange &change) { peerChanged(change); },
                [this](const Configuration &configuration) { configurationChanged(configuration); },
                [](const AnswerChange &) {}, [this] { ticked(); }})
    , m_metricsPage(io, settings.metrics, [this](Metrics &metrics) { collect(metrics); })
    , m_groups(m_settings, m_member, m_registry, m_metricsPage.metrics(),
               {std::move(hooks.sendOrder), std::move(hooks.nameTask),
                [this](const FinishedJob &finished) { ownJobFinished(finished); },
                [this](std::uint64_t number) { ownJobReserved(number); }})
    , m_shutdown(io, settings.vm, [this] { return now(); })
{
}

void FleetEntry::start()
{
    m_member.start();
}

CallerId FleetEntry::submit(RoutedJob job, JobAnswered answered)
{
    const auto caller = m_nextCaller++;
    job.origin = {m_member.self().name, m_member.self().incarnation, 0};
    m_callers[caller] = {std::move(answered), job.submission.key, job.submission.className, now()};
    const auto tasks = job.submission.tasks.size();
    const bool isNew = m_router.submit(now(), caller, std::move(job));
    if (isLogLevelEnabled(EventSeverity::Debug))
        logEvent(Event::JobSubmitted,
                 {{"key", m_callers.at(caller).key},
                  {"tasks", std::to_string(tasks)},
                  {"joined", isNew ? "no" : "yes"}});
    executeActions();
    return caller;
}

void FleetEntry::cancel(CallerId caller)
{
    if (m_callers.erase(caller) == 0)
        return;
    m_router.callerDisconnected(caller);
    executeActions();
}

void FleetEntry::unsupportedJobRefused(const std::string &peer, const std::string &key,
                                       const std::string &field)
{
    logEvent(Event::JobNotSupported, {{"peer", peer}, {"key", key}, {"field", field}});
}

const WorkDeclaration *FleetEntry::declaration() const
{
    return m_hasBeenCurrent ? m_activeDeclaration.declaration() : nullptr;
}

bool FleetEntry::isDeclarationCurrent() const
{
    return m_member.isConfigurationCurrent();
}

void FleetEntry::routeNotFound(const std::string &peer, const std::string &host,
                               const std::string &path) const
{
    const auto age = m_member.configuration().confirmedAge(now());
    logEvent(Event::RouteUnknown,
             {{"peer", peer},
              {"host", host},
              {"path", path},
              {"version", std::to_string(declaration()->version)},
              {"confirmedAgeMs",
               age ? std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(*age).count())
                   : std::string()}});
}

bool FleetEntry::isReady() const
{
    return declaration() != nullptr && !m_shutdown.hasBegun() && m_router.canServe();
}

void FleetEntry::shutDown(HttpServer &callers)
{
    if (m_shutdown.hasBegun())
        return;
    callers.closeAfterResponses();
    const auto listenUntil = now() + listenAfterDrain;
    const auto linger = m_ownGroups.empty() ? Duration::zero() : lingerAfterRelease;
    const auto lingerUntil = std::make_shared<TimePoint>();
    m_shutdown.begin({{[this, listenUntil] { return now() >= listenUntil; }, [&callers] { callers.drain(); }},
                      {[&callers] { return callers.connectionCount() == 0; }, {}},
                      {[this] { return m_groups.isIdle(); },
                       [this, lingerUntil, linger] { *lingerUntil = now() + linger; }},
                      {[this, lingerUntil] { return now() >= *lingerUntil; }, {}}},
                     now() + m_settings.drainTimeout);
    // The leader moves the groups as soon as it knows.
    if (!m_ownGroups.empty())
        m_member.sendHeartbeats();
}

TimePoint FleetEntry::now() const
{
    return m_member.now();
}

void FleetEntry::fillHeartbeat(wire::Heartbeat &heartbeat) const
{
    heartbeat.set_is_draining(m_shutdown.hasBegun());
    heartbeat.set_lowest_open_job(m_router.lowestOpenJob());
    m_groups.fillHeartbeat(heartbeat);
}

void FleetEntry::received(const std::string &vm, const wire::Message &message)
{
    if (message.body_case() == wire::Message::kHeartbeat) {
        m_groups.heartbeatReceived(vm, message.heartbeat());
        const auto *peer = m_member.directory().find(vm);
        const bool isHolder = peer != nullptr && peer->isAlive
            && (peer->peer.role == VmRole::Control || m_subscriptions.contains(vm));
        if (!isHolder) {
            executeActions();
            return;
        }
        std::vector<GroupLoad> loads;
        for (const auto &it : message.heartbeat().groups())
            loads.push_back(fromWire(it));
        m_router.holderAlive(vm, peer->peer.incarnation, peer->isDraining);
        m_router.loadReported(now(), vm, loads);
    } else if (message.body_case() == wire::Message::kJobEnded) {
        if (auto answer = fromWire(now(), message.job_ended()))
            m_router.holderAnswered(now(), vm, message.job_ended().number(), std::move(*answer));
        executeActions();
    } else if (message.body_case() == wire::Message::kJobReserved) {
        m_router.partReserved(now(), vm, message.job_reserved().number());
        executeActions();
    } else if (message.body_case() == wire::Message::kRunJob
               || message.body_case() == wire::Message::kCancelJob
               || message.body_case() == wire::Message::kStartJob) {
        m_groups.jobReceived(vm, message);
        executeActions();
    } else if (message.body_case() == wire::Message::kAnnouncement) {
        announcementReceived(vm, message.announcement());
        executeActions();
    } else if (message.body_case() == wire::Message::kAnnouncementBatch) {
        announcementsReceived(message.announcement_batch());
        executeActions();
    } else if (message.body_case() == wire::Message::kTaskCrashes) {
        m_groups.crashesReceived(vm, message.task_crashes());
    } else if (message.body_case() == wire::Message::kJobReceived) {
        const auto &numbers = message.job_received().numbers();
        m_router.partsReceived(now(), vm, {numbers.begin(), numbers.end()});
    }
}

void FleetEntry::announcementReceived(const std::string &vm, const wire::Announcement &message)
{
    const auto announcement = fromWire(message);
    if (!announcement) {
        logEvent(Event::PeerMessageMalformed, {{"bytes", std::to_string(message.ByteSizeLong())}});
        return;
    }
    if (m_registry.update(*announcement, arrivalOf(now(), message.age_us())))
        m_groups.announce(m_registry.upstreams().at(announcement->upstream.name));
    if (message.request() == 0)
        return;
    wire::Message reply;
    reply.mutable_announcement_taken()->set_request(message.request());
    m_member.send(vm, reply);
}

void FleetEntry::announcementsReceived(const wire::AnnouncementBatch &batch)
{
    for (const auto &it : batch.announcements())
        announcementReceived({}, it);
    const bool isComplete =
        m_registry.renewAll(now(), batch, [this](const auto &upstream) { m_groups.announce(upstream); });
    for (const auto &it : batch.answered_groups())
        m_unansweredGroups.erase(it);
    // This VM missed the announcement that is renewed.
    if (!isComplete) {
        for (const auto &[group, fence] : m_ownGroups)
            m_unansweredGroups.insert(group);
    }
}

void FleetEntry::requestRegistry()
{
    if (m_unansweredGroups.empty() || now() < m_nextRegistryRequestAt)
        return;
    m_nextRegistryRequestAt = now() + registryRequestInterval;
    auto controlVms = m_member.directory().controlVms();
    if (controlVms.empty())
        return;
    // Those of the own domain first, another one with each repetition.
    std::stable_partition(controlVms.begin(), controlVms.end(),
                          [&](const auto &it) { return it.domain == m_settings.domain; });
    wire::Message message;
    auto *request = message.mutable_registry_request();
    for (const auto &it : m_unansweredGroups)
        request->add_groups(it);
    m_member.send(controlVms[m_registryRequests++ % controlVms.size()].name, message);
}

void FleetEntry::updateSubscriptions()
{
    auto wanted = m_wantedHolders;
    wanted.merge(m_groups.previousHolders());
    for (const auto &it : m_subscriptions) {
        if (m_router.hasPartsOn(it))
            wanted.insert(it);
    }
    if (wanted == m_subscriptions)
        return;
    for (const auto &it : m_subscriptions) {
        if (!wanted.contains(it))
            m_router.holderUnreachable(now(), it);
    }
    m_subscriptions = std::move(wanted);
    m_member.subscribe(m_subscriptions);
}

void FleetEntry::reportOwnLoads()
{
    if (now() < m_nextLoadReportAt)
        return;
    m_nextLoadReportAt = now() + loadReportInterval;
    updateSubscriptions();
    const auto &self = m_member.self();
    const auto loads = m_groups.loads();
    const bool isHolder = !loads.empty() || (m_isOwnHolder && m_router.hasPartsOn(self.name));
    if (!isHolder) {
        if (std::exchange(m_isOwnHolder, false))
            m_router.holderUnreachable(now(), self.name);
        return;
    }
    m_isOwnHolder = true;
    m_router.holderAlive(self.name, self.incarnation, m_shutdown.hasBegun());
    m_router.loadReported(now(), self.name, loads);
}

void FleetEntry::ownJobReserved(std::uint64_t number)
{
    // HeldGroups is executing its actions, so that no job can be started in it now.
    boost::asio::post(m_io, [this, number] {
        callHandler([] { return std::string("reservation of a job by this VM"); },
                    [&] {
                        m_router.partReserved(now(), m_member.self().name, number);
                        executeActions();
                    });
    });
}

void FleetEntry::ownJobFinished(const FinishedJob &finished)
{
    // HeldGroups is executing its actions, so that no job can be added to it now.
    boost::asio::post(m_io, [this, finished] {
        callHandler([] { return std::string("answer to a job that this VM dispatched"); },
                    [&] {
                        m_router.holderAnswered(now(), m_member.self().name, finished.origin.number,
                                                finished.answer);
                        executeActions();
                    });
    });
}

void FleetEntry::peerChanged(const PeerChange &change)
{
    if (change.isAlive) {
        // A control VM that has restarted must know the crashes before it dispatches.
        if (change.peer.role == VmRole::Control && change.peer.domain == m_settings.domain)
            m_groups.peerReachable(change.peer.name);
        return;
    }
    m_router.holderUnreachable(now(), change.peer.name);
    m_groups.peerUnreachable(change.peer.name);
    executeActions();
}

void FleetEntry::configurationChanged(const Configuration &configuration)
{
    m_router.setHolders(configuration.holders);
    m_router.setEvacuations(configuration.evacuations);
    if (m_activeDeclaration.update(configuration.document))
        m_groups.setDeclaration(*m_activeDeclaration.declaration());
    const auto &self = m_member.self();
    m_groups.setEvacuations(configuration.evacuations);
    m_groups.setConfiguration(configuration, m_shutdown.hasBegun());
    std::map<std::string, std::uint64_t> ownGroups;
    for (const auto &it : configuration.holders) {
        if (it.vm != self.name || it.incarnation != self.incarnation)
            continue;
        ownGroups[it.group] = it.fence;
        const auto known = m_ownGroups.find(it.group);
        if (known == m_ownGroups.end() || known->second != it.fence)
            m_unansweredGroups.insert(it.group);
    }
    m_ownGroups = std::move(ownGroups);
    std::erase_if(m_unansweredGroups, [&](const auto &it) { return !m_ownGroups.contains(it); });
    m_wantedHolders =
        subscribedHolders(self.name, m_settings.domain, configuration.holders, configuration.partitions);
}

void FleetEntry::ticked()
{
    m_hasBeenCurrent = m_hasBeenCurrent || m_member.isConfigurationCurrent();
    m_groups.tick();
    requestRegistry();
    reportOwnLoads();
    m_registry.expire(now());
    m_router.tick(now());
    executeActions();
}

void FleetEntry::collect(Metrics &metrics) const
{
    metrics.setGauge(Metric::JobsWaiting, {}, static_cast<double>(m_callers.size()));
    const auto &totals = m_router.totals();
    metrics.setTotal(Metric::JobsPlacedAgain, {"refused"}, totals.placedAfterRefusal);
    metrics.setTotal(Metric::JobsPlacedAgain, {"undelivered"}, totals.placedAfterDeliveryFailure);
    metrics.setTotal(Metric::JobsRefusedAtOnce, {}, totals.refusedAtOnce);
    metrics.setTotal(Metric::JobsSplit, {"split"}, totals.splitJobs);
    metrics.setTotal(Metric::JobsSplit, {"started"}, totals.startedSplitJobs);
    m_groups.collect(metrics);
    m_member.collect(metrics);
    if (m_collectListeners)
        m_collectListeners(metrics);
}

void FleetEntry::answer(const WaitingCaller &caller, const Answer &answer)
{
    const std::string outcome(enumName(outcomeNames, answer.outcome));
    m_metricsPage.metrics().increment(
        Metric::JobsAnswered, {caller.className, outcome, std::string(enumName(reasonNames, answer.reason))});
    m_metricsPage.metrics().observe(Metric::JobDuration, {caller.className, outcome},
                                    now() - caller.arrivedAt);
    if (answer.outcome != Outcome::Complete) {
        const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(now() - caller.arrivedAt);
        logEvent(Event::JobNotCompleted,
                 {{"key", caller.key},
                  {"outcome", outcome},
                  {"reason", std::string(enumName(reasonNames, answer.reason))},
                  {"detail", answer.detail},
                  {"waitedMs", std::to_string(waited.count())}});
    }
    caller.answered(answer);
}

void FleetEntry::executeActions()
{
    if (std::exchange(m_isExecuting, true))
        return;
    // A job that can't be sent is placed again at once, which adds actions.
    for (auto actions = m_router.takeActions(); !actions.empty(); actions = m_router.takeActions()) {
        for (const auto &it : actions)
            std::visit([this](const auto &action) { execute(action); }, it);
    }
    m_isExecuting = false;
    m_groups.executeActions();
}

void FleetEntry::execute(const SendJob &action)
{
    if (isLogLevelEnabled(EventSeverity::Debug))
        logEvent(Event::JobRouted,
                 {{"key", action.job.submission.key},
                  {"number", std::to_string(action.job.origin.number)},
                  {"group", action.group},
                  {"holder", action.vm},
                  {"fence", std::to_string(action.job.fence)},
                  {"firstTask", std::to_string(action.job.firstTask)},
                  {"tasks", std::to_string(action.job.submission.tasks.size())},
                  {"reserved", action.job.reserve ? "yes" : "no"},
                  {"resent", action.job.isResent ? "yes" : "no"}});
    if (action.vm == m_member.self().name) {
        m_groups.submit(action.group, action.job);
        m_router.partsReceived(now(), action.vm, {action.job.origin.number});
        return;
    }
    wire::Message message;
    toWire(now(), action.job, action.group, message.mutable_run_job());
    if (!m_member.send(action.vm, message))
        m_router.sendFailed(now(), action.job.origin.number);
}

void FleetEntry::execute(const SendStart &action)
{
    const auto &self = m_member.self();
    if (action.vm == self.name) {
        m_groups.startReceived({self.name, self.incarnation, action.number});
        m_router.partsReceived(now(), action.vm, {action.number});
        return;
    }
    wire::Message message;
    message.mutable_start_job()->set_number(action.number);
    m_member.send(action.vm, message);
}

void FleetEntry::execute(const SendCancel &action)
{
    const auto &self = m_member.self();
    if (action.vm == self.name) {
        m_groups.cancel({self.name, self.incarnation, action.number});
        return;
    }
    wire::Message message;
    message.mutable_cancel_job()->set_number(action.number);
    m_member.send(action.vm, message);
}

void FleetEntry::execute(const AnswerCaller &action)
{
    const auto it = m_callers.find(action.caller);
    if (it == m_callers.end())
        return;
    const auto caller = std::move(it->second);
    m_callers.erase(it);
    answer(caller, action.answer);
}

} // namespace Citronpitch
