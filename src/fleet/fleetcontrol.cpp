#include "fleet/fleetcontrol.h"

#include "citronpitch/upstreamgroup.h"
#include "fleet/fleetwire.h"
#include "log/eventlog.h"

#include "wire/fleet.pb.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Citronpitch {

namespace wire = citronpitch::wire::fleet;

namespace {

/// An upstream that sends no announcement for this many announcement intervals is removed.
constexpr int retentionAnnouncementIntervals = 20;

/// How long an announcement waits for acknowledgements of the other control VMs; shorter than the one second
/// that upstreams wait for the response.
constexpr Duration announcementTimeout = std::chrono::milliseconds(700);

/// Heartbeats continue this long after the last job, so that the leader sees that the groups were released.
constexpr Duration lingerAfterRelease = std::chrono::milliseconds(600);

/// How long renewals wait for a common message to the other control VMs.
constexpr Duration relayInterval = std::chrono::milliseconds(200);
/// How long renewals wait for a common message to an entry VM that holds a group. Longer, as each holder gets
/// only a few; short compared to the lease of four announcement intervals.
constexpr Duration holderRelayInterval = std::chrono::milliseconds(600);
/// Largest number of upstreams in one message to another VM.
constexpr int maximumBatch = 100;
constexpr Duration registryRequestInterval = std::chrono::seconds(1);

/// How long the call of an operator to evacuate or restore a domain waits for its answer. Operators resend it
/// for 5 s, to other VMs too, so a VM without a connection to the leader must answer well before that.
constexpr Duration domainCallTimeout = std::chrono::milliseconds(1200);

constexpr Duration assignmentInterval = std::chrono::milliseconds(100);

constexpr Duration partitionPlanInterval = std::chrono::milliseconds(500);

void addToBatch(TimePoint now, const RelayedAnnouncement &relayed, wire::AnnouncementBatch &batch)
{
    if (relayed.isRenewal)
        toWire(now, relayed.arrivedAt, relayed.announcement, batch.add_renewals());
    else
        toWire(now, relayed.arrivedAt, relayed.announcement, batch.add_announcements());
}

} // namespace

FleetControl::FleetControl(boost::asio::io_context &io, const FleetSettings &settings,
                           FleetControlHooks hooks)
    : m_collectListeners(std::move(hooks.collect))
    , m_activeDeclaration(std::move(hooks.parse))
    , m_settings(settings)
    , m_registry(settings.announcementInterval * retentionAnnouncementIntervals)
    , m_relay(relayInterval)
    , m_holderRelay(holderRelayInterval)
    , m_partitionPlanner({settings.partitionAboveUpstreams, settings.upstreamsPerGroup})
    , m_partitionAssigner({})
    , m_member(io, settings,
               {[this](wire::Heartbeat &heartbeat) { fillHeartbeat(heartbeat); },
                [this](const std::string &vm, const wire::Message &message) { received(vm, message); },
                [this](const PeerChange &change) { peerChanged(change); },
                [this](const Configuration &configuration) { configurationChanged(configuration); },
                [this](const AnswerChange &answer) { changeAnswered(answer); }, [this] { ticked(); }})
    , m_metricsPage(io, settings.metrics, [this](Metrics &metrics) { collect(metrics); })
    , m_groups(m_settings, m_member, m_registry, m_metricsPage.metrics(),
               {std::move(hooks.sendOrder), std::move(hooks.nameTask), {}})
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
        m_groups.announce(m_registry.upstreams().at(announcement.upstream.name));
    if (!announcement.upstream.leaving && !announcement.hasLeft) {
        if (isNewest && entryHolderOf(announcement) != nullptr)
            m_holderRelay.add({announcement, arrivedAt, isRenewal});
        if (isNewest)
            m_relay.add({std::move(announcement), arrivedAt, isRenewal});
        relayAnnouncements();
        acknowledge(true);
        m_groups.executeActions();
        return;
    }
    const auto request = m_nextRequest++;
    PendingAnnouncement pending{{}, {}, std::move(acknowledge), arrivedAt + announcementTimeout};
    wire::Message message;
    toWire(now(), arrivedAt, announcement, message.mutable_announcement());
    message.mutable_announcement()->set_request(request);
    for (const auto &it : m_member.directory().controlVms()) {
        if (it.name == m_member.self().name)
            continue;
        m_member.send(it.name, message);
        pending.unacknowledgedBy.insert(it.name);
    }
    if (const auto *holder = entryHolderOf(announcement)) {
        const auto *peer = m_member.directory().find(holder->vm);
        // After a restart, the process that had the fencing token can't start anything any more.
        const bool isRestarted =
            peer != nullptr && peer->isAlive && peer->peer.incarnation != holder->incarnation;
        m_member.send(holder->vm, message);
        if (!isRestarted) {
            pending.unacknowledgedBy.insert(holder->vm);
            pending.holder = holder->vm;
        }
    }
    if (pending.unacknowledgedBy.empty())
        pending.acknowledge(true);
    else
        m_pendingAnnouncements.emplace(request, std::move(pending));
    m_groups.executeActions();
}

std::optional<AnnouncementContradiction>
FleetControl::contradictionOf(const FleetAnnouncement &announcement) const
{
    const auto it = m_registry.upstreams().find(announcement.upstream.name);
    if (it == m_registry.upstreams().end())
        return {};
    const auto &known = it->second.announcement;
    if (announcement.domain != known.domain && !hasDomain(announcement.domain))
        return AnnouncementContradiction{"the known upstream is not of failure domain \""
                                             + announcement.domain + "\", which doesn't exist",
                                         true};
    const auto *declaration = m_activeDeclaration.declaration();
    if (announcement.pool != known.pool && declaration != nullptr && !declaration->hasPool(announcement.pool))
        return AnnouncementContradiction{"the known upstream is not of pool \"" + announcement.pool
                                             + "\", which is not declared",
                                         m_member.isConfigurationCurrent()};
    return {};
}

void FleetControl::announcementRejected(const std::string &sender, const std::string &error)
{
    logEvent(Event::AnnouncementRejected, {{"peer", sender}, {"error", error}});
    m_metricsPage.metrics().increment(Metric::AnnouncementsRejected, {});
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

bool FleetControl::allowsEvacuations() const
{
    return m_settings.evacuationTime.has_value();
}

bool FleetControl::hasDomain(const std::string &name) const
{
    return std::find(m_settings.domains.begin(), m_settings.domains.end(), name) != m_settings.domains.end();
}

ChangeRequestId FleetControl::changeDomain(ChangeKind kind, const std::string &domain,
                                           std::function<void(const ChangeAnswer &)> answered)
{
    const auto call = m_nextRequest++;
    m_domainCalls[call] = {kind, domain, std::move(answered), now() + domainCallTimeout, 0};
    proposeDomainChange(call);
    return call;
}

void FleetControl::abandonDomainChange(ChangeRequestId call)
{
    const auto it = m_domainCalls.find(call);
    if (it == m_domainCalls.end())
        return;
    // A change that is resent after the operator gave up could follow later calls in the log.
    m_member.withdraw(it->second.proposal);
    m_pendingChanges.erase(it->second.proposal);
    m_domainCalls.erase(it);
}

void FleetControl::proposeDomainChange(ChangeRequestId call)
{
    auto &it = m_domainCalls.at(call);
    it.proposal = m_nextRequest++;
    ConfigurationChange change;
    change.kind = it.kind;
    change.domain = it.domain;
    change.basedOn = m_member.configuration().activeConfiguration().version;
    change.proposedAt = now();
    // Unique also among the incarnations of this VM, so that a later call is not taken for a repetition.
    change.id = "domain-" + m_member.self().name + "-" + std::to_string(m_member.self().incarnation) + "-"
        + std::to_string(it.proposal);
    m_pendingChanges.emplace(
        it.proposal, [this, call](const ChangeAnswer &answer) { domainChangeAnswered(call, answer); });
    m_member.propose(it.proposal, change);
}

void FleetControl::domainChangeAnswered(ChangeRequestId call, const ChangeAnswer &answer)
{
    const auto it = m_domainCalls.find(call);
    if (it == m_domainCalls.end())
        return;
    // Another call was earlier in the log; the operator still waits, so this one takes effect after it.
    if (answer.outcome == ChangeOutcome::Superseded) {
        proposeDomainChange(call);
        return;
    }
    const auto answered = std::move(it->second.answered);
    m_domainCalls.erase(it);
    answered(answer);
}

void FleetControl::expireDomainCalls()
{
    std::vector<ChangeRequestId> late;
    for (const auto &[call, it] : m_domainCalls) {
        if (it.deadline <= now())
            late.push_back(call);
    }
    for (const auto call : late) {
        const auto answered = m_domainCalls.at(call).answered;
        abandonDomainChange(call);
        ChangeAnswer answer;
        answer.outcome = ChangeOutcome::Unknown;
        answered(answer);
    }
}

std::optional<DeclaredDocument> FleetControl::readDocument() const
{
    if (!m_member.isConfigurationCurrent())
        return std::nullopt;
    return m_member.configuration().activeConfiguration().document;
}

void FleetControl::shutDown()
{
    if (m_shutdown.hasBegun())
        return;
    const auto lingerUntil = std::make_shared<TimePoint>();
    m_shutdown.begin({{[this] { return m_groups.isIdle(); },
                       [this, lingerUntil] { *lingerUntil = now() + lingerAfterRelease; }},
                      {[this, lingerUntil] { return now() >= *lingerUntil; }, {}}},
                     now() + m_settings.drainTimeout);
    m_member.sendHeartbeats();
}

TimePoint FleetControl::now() const
{
    return m_member.now();
}

void FleetControl::fillHeartbeat(wire::Heartbeat &heartbeat)
{
    heartbeat.set_is_draining(m_shutdown.hasBegun());
    m_groups.fillHeartbeat(heartbeat);
}

void FleetControl::received(const std::string &vm, const wire::Message &message)
{
    switch (message.body_case()) {
    case wire::Message::kHeartbeat:
        m_groups.heartbeatReceived(vm, message.heartbeat());
        updateOverload(vm, message.heartbeat());
        break;
    case wire::Message::kRunJob:
    case wire::Message::kStartJob:
    case wire::Message::kCancelJob:
        m_groups.jobReceived(vm, message);
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
    case wire::Message::kTaskCrashes:
        m_groups.crashesReceived(vm, message.task_crashes());
        break;
    case wire::Message::kRegistryRequest:
        sendRegistry(vm, message.registry_request());
        break;
    default:
        break;
    }
    m_groups.executeActions();
}

void FleetControl::announcementReceived(const std::string &vm, const wire::Announcement &message)
{
    const auto announcement = fromWire(message);
    if (!announcement) {
        logEvent(Event::PeerMessageMalformed, {{"bytes", std::to_string(message.ByteSizeLong())}});
        return;
    }
    if (m_registry.update(*announcement, arrivalOf(now(), message.age_us())))
        m_groups.announce(m_registry.upstreams().at(announcement->upstream.name));
    // A new holder may have requested the registry of this VM before the announcement arrived here, and the
    // VM that the upstream has told may not know this holder yet.
    const bool isLeaving = announcement->upstream.leaving || announcement->hasLeft;
    if (const auto *holder = isLeaving ? entryHolderOf(*announcement) : nullptr) {
        wire::Message passedOn;
        *passedOn.mutable_announcement() = message;
        passedOn.mutable_announcement()->set_request(0);
        m_member.send(holder->vm, passedOn);
    }
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
    const bool isComplete =
        m_registry.renewAll(now(), batch, [this](const auto &upstream) { m_groups.announce(upstream); });
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
            addToBatch(now(), due[i], *batch);
        }
        sendToOtherControlVms(message);
    }
    relayToHolders();
}

void FleetControl::relayToHolders()
{
    const auto due = m_holderRelay.take(now());
    if (due.empty())
        return;
    std::map<std::string, wire::Message> messages;
    for (const auto &it : due) {
        const auto *holder = entryHolderOf(it.announcement);
        if (holder == nullptr)
            continue;
        auto &message = messages[holder->vm];
        auto *batch = message.mutable_announcement_batch();
        addToBatch(now(), it, *batch);
        if (batch->announcements_size() + batch->renewals_size() < maximumBatch)
            continue;
        m_member.send(holder->vm, message);
        messages.erase(holder->vm);
    }
    for (auto &[vm, message] : messages)
        m_member.send(vm, message);
}

const GroupHolder *FleetControl::entryHolderOf(const FleetAnnouncement &announcement) const
{
    if (partitionGroups(m_partitions, announcement.domain) == 0)
        return nullptr;
    const auto it =
        m_entryHolders.find(groupOfUpstream(m_partitions, announcement.domain, announcement.upstream.name));
    return it == m_entryHolders.end() ? nullptr : &it->second;
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

void FleetControl::peerChanged(const PeerChange &change)
{
    const auto &name = change.peer.name;
    if (!change.isAlive) {
        m_aliveSince.erase(name);
        m_overloadedVms.erase(name);
        m_groups.peerUnreachable(name);
        std::vector<std::uint64_t> waiting;
        for (const auto &[request, it] : m_pendingAnnouncements) {
            if (it.unacknowledgedBy.contains(name) && it.holder != name)
                waiting.push_back(request);
        }
        for (const auto it : waiting)
            announcementAcknowledged(name, it);
        m_groups.executeActions();
        return;
    }
    m_aliveSince[name] = now();
    m_groups.peerReachable(name);
    if (change.peer.role != VmRole::Control)
        return;
    m_nextRegistryRequestAt.erase(name);
    requestRegistry(name);
}

void FleetControl::configurationChanged(const Configuration &configuration)
{
    if (m_activeDeclaration.update(configuration.document))
        m_groups.setDeclaration(*m_activeDeclaration.declaration());
    m_partitions = configuration.partitions;
    m_entryHolders.clear();
    for (const auto &it : configuration.holders) {
        const bool isOfPartition =
            std::any_of(m_partitions.begin(), m_partitions.end(), [&](const auto &partition) {
                return partition.groups > 0 && isGroupOfDomain(it.group, partition.domain);
            });
        if (isOfPartition)
            m_entryHolders[it.group] = it;
    }
    m_groups.setEvacuations(configuration.evacuations);
    m_groups.setConfiguration(configuration, m_shutdown.hasBegun());
    // Entry VMs and the admission of other domains rely on the reported loads.
    if (std::exchange(m_evacuations, configuration.evacuations) != configuration.evacuations)
        m_member.sendHeartbeats();
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
    m_groups.tick();
    relayAnnouncements();
    expireAnnouncements();
    expireDomainCalls();
    if (now() >= m_nextAssignment) {
        m_nextAssignment = now() + assignmentInterval;
        planPartitions();
        assignGroups();
        m_registry.expire(now());
    }
    m_groups.executeActions();
}

void FleetControl::planPartitions()
{
    const auto &node = m_member.configuration();
    if (node.role() != ConfigurationRole::Leader || node.activeConfiguration().document.version == 0) {
        m_partitionPlanner.reset();
        return;
    }
    if (now() < m_nextPartitionPlan)
        return;
    m_nextPartitionPlan = now() + partitionPlanInterval;
    std::map<std::string, DomainSize> sizes;
    for (const auto &it : m_settings.domains)
        sizes[it].domain = it;
    for (const auto &[name, it] : m_registry.upstreams()) {
        const auto size = sizes.find(it.announcement.domain);
        if (size != sizes.end() && !it.announcement.upstream.leaving && !it.announcement.hasLeft)
            ++size->second.upstreams;
    }
    for (const auto &[name, it] : m_member.directory().peers()) {
        const auto size = sizes.find(it.peer.domain);
        if (size != sizes.end() && it.isAlive && !it.isDraining && it.peer.role == VmRole::Entry)
            ++size->second.entryVms;
    }
    std::vector<DomainSize> domains;
    for (const auto &[name, it] : sizes)
        domains.push_back(it);
    for (const auto &it : m_partitionPlanner.plan(now(), domains, node.state().configuration().partitions)) {
        logEvent(Event::DomainPartitioned,
                 {{"failureDomain", it.domain},
                  {"groups", std::to_string(it.groups)},
                  {"upstreams", std::to_string(sizes[it.domain].upstreams)}});
        m_member.setPartition(it);
    }
}

void FleetControl::updateOverload(const std::string &vm, const wire::Heartbeat &heartbeat)
{
    const bool isOverloaded =
        std::any_of(heartbeat.groups().begin(), heartbeat.groups().end(), [&](const auto &it) {
            // A group that moves to another holder is closed too, under an older fencing token.
            const auto holder = m_entryHolders.find(it.group());
            return !it.is_open() && holder != m_entryHolders.end() && holder->second.vm == vm
                && holder->second.fence == it.fence();
        });
    if (isOverloaded)
        m_overloadedVms.insert(vm);
    else
        m_overloadedVms.erase(vm);
}

void FleetControl::assignGroups()
{
    const auto &node = m_member.configuration();
    if (node.role() != ConfigurationRole::Leader || node.activeConfiguration().document.version == 0)
        return;
    std::vector<AssignmentVm> vms;
    vms.push_back({m_member.self(), true, m_shutdown.hasBegun(), now()});
    for (const auto &[name, it] : m_member.directory().peers())
        vms.push_back({it.peer, it.isAlive, it.isDraining, it.lastMessageAt, m_overloadedVms.contains(name)});
    m_aliveSince.try_emplace(m_member.self().name, now());
    const auto &configuration = node.state().configuration();
    std::vector<std::string> domains;
    std::copy_if(m_settings.domains.begin(), m_settings.domains.end(), std::back_inserter(domains),
                 [&](const auto &it) { return partitionGroups(configuration.partitions, it) == 0; });
    auto changes = assignHolders(now(), {}, domains, configuration.holders, vms, m_aliveSince);
    const auto ofPartitions =
        m_partitionAssigner.assign(now(), configuration.partitions, configuration.holders, vms, m_aliveSince);
    changes.insert(changes.end(), ofPartitions.begin(), ofPartitions.end());
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

void FleetControl::sendRegistry(const std::string &vm, const wire::RegistryRequest &request)
{
    const auto &groups = request.groups();
    const auto isRequested = [&](const FleetAnnouncement &it) {
        return groups.empty() || std::any_of(groups.begin(), groups.end(), [&](const auto &group) {
                   return isUpstreamOfGroup(group, it.domain, it.upstream.name);
               });
    };
    wire::Message message;
    auto *batch = message.mutable_announcement_batch();
    for (const auto &[name, it] : m_registry.upstreams()) {
        if (!isRequested(it.announcement))
            continue;
        toWire(now(), it.arrivedAt, it.announcement, batch->add_announcements());
        if (batch->announcements_size() < maximumBatch)
            continue;
        m_member.send(vm, message);
        batch->clear_announcements();
    }
    *batch->mutable_answered_groups() = groups;
    if (batch->announcements_size() > 0 || !groups.empty())
        m_member.send(vm, message);
}

void FleetControl::collect(Metrics &metrics) const
{
    m_groups.collect(metrics);
    m_member.collect(metrics);
    if (m_collectListeners)
        m_collectListeners(metrics);
}

} // namespace Citronpitch
