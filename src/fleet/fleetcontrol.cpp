#include "fleet/fleetcontrol.h"

#include "fleet/fleetwire.h"
#include "log/eventlog.h"

#include "wire/fleet.pb.h"

#include <algorithm>
#include <utility>

namespace Citronpitch {

namespace wire = citronpitch::wire::fleet;

namespace {

/// An upstream that sends no announcement for this many announcement intervals gets no new work.
constexpr int leaseAnnouncementIntervals = 4;
/// An upstream that sends no announcement for this many announcement intervals is removed.
constexpr int retentionAnnouncementIntervals = 20;

/// How long a new holder waits for the jobs of the previous one to end.
constexpr Duration handoverTimeout = std::chrono::milliseconds(1500);

/// How long an announcement waits for acknowledgements of the other control VMs; shorter than the one second
/// that upstreams wait for the response.
constexpr Duration announcementTimeout = std::chrono::milliseconds(700);

/// Heartbeats continue this long after the last job, so that the leader sees that the groups were released.
constexpr Duration lingerAfterRelease = std::chrono::milliseconds(600);

/// How long renewals wait for a common message to the other control VMs.
constexpr Duration relayInterval = std::chrono::milliseconds(200);
/// Largest number of upstreams in one message to another control VM.
constexpr int maximumBatch = 100;
constexpr Duration registryRequestInterval = std::chrono::seconds(1);

constexpr Duration assignmentInterval = std::chrono::milliseconds(100);

/// Reading the document fails if the last proof that it is the newest is older than this.
constexpr Duration maximumReadAge = std::chrono::milliseconds(1000);

/// Margin for a slow upstream clock and for the delay of the last renewal.
constexpr Duration leaseSlack = std::chrono::milliseconds(80);
constexpr Duration minimumLease = std::chrono::milliseconds(100);

/// Longest lease that ends the runs of an unreachable entry VM before its callers retry their jobs.
Duration leaseWithinRetryTime(const FleetSettings &settings)
{
    return std::max(minimumLease, settings.callerRetryTime - defaultSuspicionTimeout - leaseSlack);
}

} // namespace

FleetControl::FleetControl(boost::asio::io_context &io, const FleetSettings &settings,
                           FleetControlHooks hooks)
    : m_hooks(std::move(hooks))
    , m_activeDeclaration(m_hooks.parse)
    , m_settings(settings)
    , m_registry(settings.announcementInterval * retentionAnnouncementIntervals)
    , m_relay(relayInterval)
    , m_member(io, settings,
               {[this](wire::Heartbeat &heartbeat) { fillHeartbeat(heartbeat); },
                [this](const std::string &vm, const wire::Message &message) { received(vm, message); },
                [this](const PeerChange &change) { peerChanged(change); },
                [this](const Configuration &configuration) { configurationChanged(configuration); },
                [this](const AnswerChange &answer) { changeAnswered(answer); }, [this] { ticked(); }})
    , m_metricsPage(io, settings.metrics, [this](Metrics &metrics) { collect(metrics); })
    , m_shutdown(io, settings.vm, [this] { return now(); })
{
}

FleetControl::~FleetControl() = default;

void FleetControl::start()
{
    m_member.start();
}

void FleetControl::announce(FleetAnnouncement announcement, std::function<void(bool)> acknowledge)
{
    const auto arrivedAt = now();
    const auto known = m_registry.upstreams().find(announcement.upstream.name);
    const bool isRenewal =
        known != m_registry.upstreams().end() && announcement.isRenewalOf(known->second.announcement);
    const bool isNewest = m_registry.update(announcement, arrivedAt);
    if (isNewest)
        announceToGroup(m_registry.upstreams().at(announcement.upstream.name));
    if (!announcement.upstream.leaving && !announcement.hasLeft) {
        if (isNewest)
            m_relay.add({std::move(announcement), arrivedAt, isRenewal});
        relayAnnouncements();
        acknowledge(true);
        executeActions();
        return;
    }
    const auto request = m_nextRequest++;
    PendingAnnouncement pending{{}, std::move(acknowledge), arrivedAt + announcementTimeout};
    wire::Message message;
    toWire(now(), arrivedAt, announcement, message.mutable_announcement());
    message.mutable_announcement()->set_request(request);
    for (const auto &it : m_member.directory().controlVms()) {
        if (it.name == m_member.self().name)
            continue;
        m_member.send(it.name, message);
        pending.unacknowledgedBy.insert(it.name);
    }
    if (pending.unacknowledgedBy.empty())
        pending.acknowledge(true);
    else
        m_pendingAnnouncements.emplace(request, std::move(pending));
    executeActions();
}

void FleetControl::upstreamLeft(const std::string &name, std::uint64_t incarnation,
                                std::function<void(bool)> acknowledge)
{
    const auto it = m_registry.upstreams().find(name);
    const bool isKnown = it != m_registry.upstreams().end()
        && (incarnation == 0 || incarnation == it->second.announcement.upstream.incarnation);
    if (!isKnown) {
        acknowledge(true);
        return;
    }
    auto announcement = it->second.announcement;
    announcement.upstream.leaving = true;
    announcement.hasLeft = true;
    ++announcement.sequence;
    announce(std::move(announcement), std::move(acknowledge));
}

void FleetControl::replaceDocument(const WorkDeclaration &declaration, const std::string &text,
                                   std::function<void(const ChangeAnswer &)> answered)
{
    if (const auto error = checkDeclaration(declaration); !error.empty()) {
        logEvent(Event::DocumentRejected,
                 {{"version", std::to_string(declaration.version)}, {"error", error}});
        ChangeAnswer answer;
        answer.outcome = ChangeOutcome::Invalid;
        answer.detail = "configuration: " + error;
        answered(answer);
        return;
    }
    const DeclaredDocument document{declaration.version, text};
    ConfigurationChange change;
    change.kind = ChangeKind::ReplaceDocument;
    change.document = document;
    change.proposedAt = now();
    change.id = "document-" + std::to_string(document.version) + "-" + std::to_string(contentHashOf(change));
    const auto request = m_nextRequest++;
    m_pendingChanges.emplace(request, std::move(answered));
    m_member.propose(request, change);
}

std::optional<DeclaredDocument> FleetControl::readDocument() const
{
    const auto age = m_member.configuration().confirmedAge(now());
    if (!age || *age > maximumReadAge)
        return std::nullopt;
    return m_member.configuration().activeConfiguration().document;
}

void FleetControl::shutDown()
{
    if (m_shutdown.hasBegun())
        return;
    const auto lingerUntil = std::make_shared<TimePoint>();
    m_shutdown.begin(
        {{[this] { return isIdle(); }, [this, lingerUntil] { *lingerUntil = now() + lingerAfterRelease; }},
         {[this, lingerUntil] { return now() >= *lingerUntil; }, {}}},
        now() + m_settings.drainTimeout);
    m_member.sendHeartbeats();
}

bool FleetControl::isIdle() const
{
    return std::all_of(m_groups.begin(), m_groups.end(), [](const auto &it) { return it.second->isIdle(); });
}

TimePoint FleetControl::now() const
{
    return m_member.now();
}

void FleetControl::fillHeartbeat(wire::Heartbeat &heartbeat)
{
    heartbeat.set_is_draining(m_shutdown.hasBegun());
    for (const auto &[group, it] : m_groups)
        toWire(it->load(now()), heartbeat.add_groups());
}

void FleetControl::received(const std::string &vm, const wire::Message &message)
{
    switch (message.body_case()) {
    case wire::Message::kHeartbeat:
        heartbeatReceived(vm, message.heartbeat());
        break;
    case wire::Message::kRunJob:
    case wire::Message::kCancelJob:
        jobReceived(vm, message);
        break;
    case wire::Message::kAnnouncement:
        announcementReceived(vm, message.announcement());
        break;
    case wire::Message::kAnnouncementBatch:
        announcementsReceived(vm, message.announcement_batch());
        break;
    case wire::Message::kAnnouncementTaken:
        announcementAcknowledged(vm, message.announcement_taken().request());
        break;
    case wire::Message::kRegistryRequest:
        sendRegistry(vm);
        break;
    default:
        break;
    }
    executeActions();
}

void FleetControl::heartbeatReceived(const std::string &vm, const wire::Heartbeat &heartbeat)
{
    const auto *peer = m_member.directory().find(vm);
    if (peer == nullptr)
        return;
    for (auto &[group, holders] : m_reportedFences)
        holders.erase(vm);
    for (const auto &it : heartbeat.groups())
        m_reportedFences[it.group()][vm] = it.fence();
    if (peer->peer.role != VmRole::Entry)
        return;
    for (const auto &[group, it] : m_groups)
        it->cancelAbandoned(now(), vm, peer->peer.incarnation, heartbeat.lowest_open_job());
}

void FleetControl::announcementReceived(const std::string &vm, const wire::Announcement &message)
{
    const auto announcement = fromWire(message);
    if (m_registry.update(announcement, now() - Duration(message.age_us())))
        announceToGroup(m_registry.upstreams().at(announcement.upstream.name));
    if (message.request() == 0)
        return;
    wire::Message reply;
    reply.mutable_announcement_taken()->set_request(message.request());
    m_member.send(vm, reply);
}

void FleetControl::announcementsReceived(const std::string &vm, const wire::AnnouncementBatch &batch)
{
    for (const auto &it : batch.announcements())
        announcementReceived(vm, it);
    bool isComplete = true;
    for (const auto &it : batch.renewals()) {
        const AnnouncementRenewal renewal{it.name(), it.incarnation(), it.sequence(), it.clock_ms()};
        const bool isKnown = m_registry.renew(renewal, now() - Duration(it.age_us()));
        if (isKnown)
            announceToGroup(m_registry.upstreams().at(it.name()));
        isComplete = isComplete && isKnown;
    }
    // This VM missed the announcement that is renewed, as after a broken connection.
    if (!isComplete)
        requestRegistry(vm);
}

void FleetControl::relayAnnouncements()
{
    const auto due = m_relay.take(now());
    for (std::size_t first = 0; first < due.size(); first += maximumBatch) {
        wire::Message message;
        auto *batch = message.mutable_announcement_batch();
        for (std::size_t i = first; i < std::min(due.size(), first + maximumBatch); ++i) {
            const auto &it = due[i];
            if (it.isRenewal)
                toWire(now(), it.arrivedAt, it.announcement, batch->add_renewals());
            else
                toWire(now(), it.arrivedAt, it.announcement, batch->add_announcements());
        }
        sendToOtherControlVms(message);
    }
}

void FleetControl::sendToOtherControlVms(wire::Message &message)
{
    for (const auto &it : m_member.directory().controlVms()) {
        if (it.name != m_member.self().name)
            m_member.send(it.name, message);
    }
}

void FleetControl::announcementAcknowledged(const std::string &vm, std::uint64_t request)
{
    const auto it = m_pendingAnnouncements.find(request);
    if (it == m_pendingAnnouncements.end())
        return;
    it->second.unacknowledgedBy.erase(vm);
    if (!it->second.unacknowledgedBy.empty())
        return;
    const auto acknowledge = std::move(it->second.acknowledge);
    m_pendingAnnouncements.erase(it);
    acknowledge(true);
}

void FleetControl::jobReceived(const std::string &vm, const wire::Message &message)
{
    JobOrigin origin{vm, message.incarnation(), 0};
    if (message.has_cancel_job()) {
        origin.number = message.cancel_job().number();
        for (const auto &[group, it] : m_groups)
            it->cancel(now(), origin);
        return;
    }
    auto job = fromWire(now(), message.run_job());
    if (!job)
        return;
    origin.number = job->origin.number;
    job->origin = origin;
    const auto it = m_groups.find(message.run_job().group());
    if (it != m_groups.end()) {
        it->second->submit(now(), *job);
        return;
    }
    Answer refused;
    refused.outcome = Outcome::Refused;
    refused.reason = Reason::ShuttingDown;
    refused.detail = "dispatch: this VM does not hold the group";
    execute(message.run_job().group(), FinishedJob{origin, std::move(refused)});
}

void FleetControl::peerChanged(const PeerChange &change)
{
    const auto &name = change.peer.name;
    if (!change.isAlive) {
        m_aliveSince.erase(name);
        for (auto &[group, holders] : m_reportedFences)
            holders.erase(name);
        for (const auto &[group, it] : m_groups)
            it->entryVmUnreachable(now(), name);
        std::vector<std::uint64_t> waiting;
        for (const auto &[request, it] : m_pendingAnnouncements) {
            if (it.unacknowledgedBy.contains(name))
                waiting.push_back(request);
        }
        for (const auto it : waiting)
            announcementAcknowledged(name, it);
        executeActions();
        return;
    }
    m_aliveSince[name] = now();
    if (change.peer.role != VmRole::Control)
        return;
    m_nextRegistryRequestAt.erase(name);
    requestRegistry(name);
}

void FleetControl::configurationChanged(const Configuration &configuration)
{
    if (m_activeDeclaration.update(configuration.document)) {
        m_classes = classesOf(*m_activeDeclaration.declaration());
        for (const auto &[group, it] : m_groups)
            it->setClasses(m_classes);
    }
    updateGroups(configuration);
}

void FleetControl::changeAnswered(const AnswerChange &answer)
{
    const auto it = m_pendingChanges.find(answer.request);
    if (it == m_pendingChanges.end())
        return;
    const auto answered = std::move(it->second);
    m_pendingChanges.erase(it);
    answered(answer.answer);
}

void FleetControl::ticked()
{
    completeTakeovers();
    for (const auto &[group, it] : m_groups)
        it->tick(now());
    removeReleasedGroups();
    relayAnnouncements();
    expireAnnouncements();
    if (now() >= m_nextAssignment) {
        m_nextAssignment = now() + assignmentInterval;
        assignGroups();
        m_registry.expire(now());
    }
    executeActions();
}

void FleetControl::updateGroups(const Configuration &configuration)
{
    const auto previous = std::exchange(m_holders, configuration.holders);
    for (const auto &it : m_holders) {
        const bool isOwn = it.vm == m_member.self().name && it.incarnation == m_member.self().incarnation
            && !m_shutdown.hasBegun();
        const auto current = m_groups.find(it.group);
        if (current != m_groups.end() && current->second->fence() < it.fence)
            current->second->close(now());
        if (!isOwn) {
            m_takeovers.erase(it.group);
            continue;
        }
        const bool isKnown = (current != m_groups.end() && current->second->fence() == it.fence)
            || (m_takeovers.contains(it.group) && m_takeovers[it.group].fence == it.fence);
        if (isKnown)
            continue;
        const auto before = std::find_if(previous.begin(), previous.end(),
                                         [&](const auto &holder) { return holder.group == it.group; });
        m_takeovers[it.group] = {it.fence, before == previous.end() ? std::string() : before->vm,
                                 now() + handoverTimeout};
    }
}

void FleetControl::completeTakeovers()
{
    for (auto it = m_takeovers.begin(); it != m_takeovers.end();) {
        const auto &[group, takeover] = *it;
        const auto &others = m_reportedFences[group];
        const auto own = m_groups.find(group);
        const bool isOwnDone = own == m_groups.end() || own->second->isIdle();
        const bool isOtherDone = takeover.previousHolder.empty() || !others.contains(takeover.previousHolder)
            || !m_member.directory().isAlive(takeover.previousHolder);
        if (!(isOtherDone && isOwnDone) && now() < takeover.deadline) {
            ++it;
            continue;
        }
        takeOverGroup(group, takeover.fence);
        it = m_takeovers.erase(it);
    }
}

void FleetControl::takeOverGroup(const std::string &group, std::uint64_t fence)
{
    GroupDispatcherOptions options;
    options.group = group;
    options.runs.fence = fence;
    options.runs.lease =
        std::min({options.runs.lease, m_settings.maximumLease, leaseWithinRetryTime(m_settings)});
    options.upstreamLease = m_settings.announcementInterval * leaseAnnouncementIntervals;
    options.nameTask = m_hooks.nameTask;
    auto &it = m_groups[group];
    it = std::make_unique<GroupDispatcher>(std::move(options));
    it->setClasses(m_classes);
    for (const auto &[name, upstream] : m_registry.upstreams())
        announceToGroup(upstream);
    logEvent(
        Event::GroupAcquired,
        {{"group", group}, {"fence", std::to_string(fence)}, {"upstreams", std::to_string(it->upstreams())}});
}

void FleetControl::removeReleasedGroups()
{
    std::erase_if(m_groups, [&](const auto &it) {
        const auto holder = std::find_if(m_holders.begin(), m_holders.end(),
                                         [&](const auto &known) { return known.group == it.first; });
        const bool isReplaced = holder != m_holders.end() && holder->fence > it.second->fence();
        if (!isReplaced || !it.second->isIdle())
            return false;
        logEvent(Event::GroupReleased, {{"group", it.first}, {"fence", std::to_string(it.second->fence())}});
        return true;
    });
}

void FleetControl::assignGroups()
{
    const auto &node = m_member.configuration();
    if (node.role() != ConfigurationRole::Leader || node.activeConfiguration().document.version == 0)
        return;
    std::vector<AssignmentVm> vms;
    vms.push_back({m_member.self(), true, m_shutdown.hasBegun(), now()});
    for (const auto &[name, it] : m_member.directory().peers())
        vms.push_back({it.peer, it.isAlive, it.isDraining, it.lastMessageAt});
    m_aliveSince.try_emplace(m_member.self().name, now());
    const auto changes =
        assignHolders(now(), {}, m_settings.domains, node.state().configuration().holders, vms, m_aliveSince);
    for (const auto &it : changes) {
        logEvent(Event::HolderAssigned,
                 {{"group", it.group}, {"holder", it.vm}, {"replacedFence", std::to_string(it.fence)}});
        m_member.assignHolder(it);
    }
}

void FleetControl::expireAnnouncements()
{
    std::vector<std::uint64_t> late;
    for (const auto &[request, it] : m_pendingAnnouncements) {
        if (it.deadline <= now())
            late.push_back(request);
    }
    for (const auto request : late) {
        const auto acknowledge = std::move(m_pendingAnnouncements.at(request).acknowledge);
        m_pendingAnnouncements.erase(request);
        acknowledge(false);
    }
}

void FleetControl::announceToGroup(const RegisteredUpstream &upstream)
{
    const auto it = m_groups.find(upstream.announcement.domain);
    if (it == m_groups.end())
        return;
    auto announcement = upstream.announcement;
    announcement.upstream.leaseDeadline =
        upstream.arrivedAt + m_settings.announcementInterval * leaseAnnouncementIntervals;
    it->second->announce(now(), announcement);
}

void FleetControl::requestRegistry(const std::string &vm)
{
    auto &nextRequestAt = m_nextRegistryRequestAt[vm];
    if (now() < nextRequestAt)
        return;
    nextRequestAt = now() + registryRequestInterval;
    wire::Message message;
    message.mutable_registry_request();
    m_member.send(vm, message);
}

void FleetControl::sendRegistry(const std::string &vm)
{
    wire::Message message;
    auto *batch = message.mutable_announcement_batch();
    for (const auto &[name, it] : m_registry.upstreams()) {
        toWire(now(), it.arrivedAt, it.announcement, batch->add_announcements());
        if (batch->announcements_size() < maximumBatch)
            continue;
        m_member.send(vm, message);
        batch->clear_announcements();
    }
    if (batch->announcements_size() > 0)
        m_member.send(vm, message);
}

void FleetControl::executeActions()
{
    if (std::exchange(m_isExecuting, true))
        return;
    for (const auto &[group, it] : m_groups) {
        for (auto actions = it->takeActions(); !actions.empty(); actions = it->takeActions()) {
            for (const auto &action : actions) {
                if (const auto *order = std::get_if<RunOrder>(&action))
                    execute(group, *order);
                else
                    execute(group, std::get<FinishedJob>(action));
            }
        }
    }
    m_isExecuting = false;
}

void FleetControl::execute(const std::string &group, const RunOrder &order)
{
    m_hooks.sendOrder(order,
                      [this, group, fence = order.fence, order, sentAt = now()](const OrderResult &result) {
                          recordOrder(group, order, result, sentAt);
                          const auto it = m_groups.find(group);
                          if (it == m_groups.end() || it->second->fence() != fence)
                              return;
                          it->second->orderEnded(now(), order.id, result);
                          executeActions();
                      });
}

void FleetControl::recordOrder(const std::string &group, const RunOrder &order, const OrderResult &result,
                               TimePoint sentAt)
{
    const std::string kind(enumName(orderKindNames, order.kind));
    m_metricsPage.metrics().increment(Metric::OrdersCompleted,
                                      {kind, std::string(enumName(orderVerdictNames, result.verdict))});
    m_metricsPage.metrics().observe(Metric::OrderDuration, {kind}, now() - sentAt);
    if (result.verdict == OrderVerdict::NoAnswer && order.kind != OrderKind::Poll)
        logEvent(Event::OrderUnanswered,
                 {{"upstream", order.upstream},
                  {"order", kind},
                  {"task", order.task},
                  {"run", std::to_string(order.run)},
                  {"group", group}});
    if (result.verdict == OrderVerdict::StaleFence)
        logEvent(Event::UpstreamFenceSuperseded,
                 {{"group", group}, {"fence", std::to_string(order.fence)}, {"upstream", order.upstream}});
}

void FleetControl::collect(Metrics &metrics) const
{
    for (const auto &[group, it] : m_groups) {
        const auto load = it->load(now());
        metrics.setGauge(Metric::GroupFence, {group}, static_cast<double>(load.fence));
        metrics.setGauge(Metric::GroupFreeTasks, {group}, load.freeTasks);
        metrics.setGauge(Metric::GroupParallelTasks, {group}, load.parallelTasks);
        metrics.setGauge(Metric::GroupWaitingTime, {group},
                         std::chrono::duration<double>(load.waitingWork).count());
        const auto ready = it->readyUpstreams();
        metrics.setGauge(Metric::GroupUpstreams, {group, "ready"}, static_cast<double>(ready));
        metrics.setGauge(Metric::GroupUpstreams, {group, "heldBack"},
                         static_cast<double>(it->upstreams() - ready));
    }
    m_member.collect(metrics);
}

void FleetControl::execute(const std::string &group, const FinishedJob &finished)
{
    m_metricsPage.metrics().increment(Metric::JobsFinished,
                                      {group, std::string(enumName(outcomeNames, finished.answer.outcome)),
                                       std::string(enumName(reasonNames, finished.answer.reason))});
    wire::Message message;
    toWire(now(), finished, message.mutable_job_ended());
    m_member.send(finished.origin.vm, message);
}

} // namespace Citronpitch
