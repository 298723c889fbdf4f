#include "fleet/fleetmember.h"

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

constexpr auto tickInterval = std::chrono::milliseconds(10);

/// Log entries kept after a snapshot of the configuration; few, as documents may be large and VMs have little
/// memory.
constexpr std::uint64_t retainedLogEntries = 64;
/// Minimum delay of the first election; a starting process connects to the other VMs within this time if they
/// are up.
constexpr Duration firstElectionTimeout = std::chrono::milliseconds(150);
constexpr Duration voterHeartbeatInterval = std::chrono::milliseconds(100);
constexpr Duration electionTimeout = std::chrono::milliseconds(500);
/// Delay before FleetMember reopens a journal that it could not write, for example because the disk was full.
constexpr Duration reopenDelay = std::chrono::milliseconds(500);
/// Every reachable VM receives a committed entry within this time.
constexpr Duration learnerHeartbeatInterval = std::chrono::milliseconds(200);

/// Jobs and announcements handled before the other messages that have arrived; more wait until those were
/// handled.
constexpr int deferrableMessagesPerTurn = 64;
/// Limits of the jobs and announcements that wait. Beyond them a job is refused, and an announcement, which
/// its upstream renews, is dropped.
constexpr std::size_t maximumDeferredMessages = 4000;
constexpr std::size_t maximumDeferredBytes = std::size_t{16} << 20;
/// Age of a job that can't wait any more, by which it is refused unless it is known.
constexpr Duration refusedMessageAge = std::chrono::hours(1);

/// Age of the last proof that the active configuration is the newest, up to which it counts as current.
constexpr Duration maximumConfirmedAge = std::chrono::seconds(1);

/// Several elections fit into this time.
constexpr Duration toleratedLeaderAbsence = std::chrono::seconds(3);
/// Time within which a VM that starts, or that lost its leader, usually knows the newest configuration again.
constexpr Duration toleratedUncertainty = std::chrono::seconds(2);

/// Time without a message after which a voter counts as silent in the log.
constexpr Duration maximumVoterSilence = std::chrono::seconds(1);

std::string millisecondsText(Duration time)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

/// Names of @p voters, separated by commas.
std::string namesOf(const std::vector<Voter> &voters)
{
    std::string names;
    for (const auto &it : voters)
        names += (names.empty() ? "" : ",") + it.name;
    return names;
}

/// A control VM of a large fleet has 300 links and 384 MB.
PeerLinkLimits linkLimits()
{
    PeerLinkLimits limits;
    limits.maximumQueuedBytes = std::size_t{1} << 20;
    limits.maximumQueuedBytesInAll = std::size_t{48} << 20;
    return limits;
}

/// Whether votes, heartbeats, configurations, answers and upstreams that leave come before @p message.
bool isDeferrable(const wire::Message &message)
{
    return message.body_case() == wire::Message::kRunJob
        || message.body_case() == wire::Message::kAnnouncementBatch
        || (message.body_case() == wire::Message::kAnnouncement && message.announcement().request() == 0);
}

/// Names @p message in the report of a failed handler.
std::string describe(const wire::Message &message)
{
    const auto *field = wire::Message::descriptor()->FindFieldByNumber(message.body_case());
    return "message " + (field == nullptr ? std::string("without a body") : field->name()) + " from "
        + message.sender();
}

Endpoint endpointOf(const std::string &name, std::uint16_t port)
{
    return {name.substr(0, name.rfind(':')), port};
}

FleetPeer selfOf(const FleetSettings &settings, TimePoint now)
{
    return {settings.peers.text(), settings.role, settings.domain,
            static_cast<std::uint64_t>(microsecondsOf(now))};
}

std::vector<std::string> seedsOf(const FleetSettings &settings)
{
    std::vector<std::string> names;
    for (const auto &it : settings.seeds)
        names.push_back(Endpoint{it, settings.peers.port}.text());
    return names;
}

ConfigurationNodeOptions nodeOptionsOf(const FleetSettings &settings, const FleetPeer &self)
{
    ConfigurationNodeOptions options;
    options.self = self.name;
    options.members = {{self.name, settings.role == VmRole::Control, self.domain}};
    options.newStorageId = randomNonZero();
    options.seed = randomNonZero();
    options.learnerHeartbeatInterval = learnerHeartbeatInterval;
    options.firstElectionTimeout = firstElectionTimeout;
    options.voterHeartbeatInterval = voterHeartbeatInterval;
    options.electionTimeout = electionTimeout;
    options.retainedEntries = retainedLogEntries;
    // Tolerate at least one loss, since a single voter could not be replaced.
    options.toleratedLosses = std::max<std::size_t>(1, settings.toleratedLosses);
    if (settings.isFirstStart && settings.role == VmRole::Control)
        options.initialVoters = seedsOf(settings);
    return options;
}

FleetPeer peerFromWire(const wire::Peer &from)
{
    const auto role = from.role() < vmRoleNames.size() ? static_cast<VmRole>(from.role()) : VmRole::Entry;
    return {from.name(), role, from.domain(), from.incarnation()};
}

void toWire(const FleetPeer &from, wire::Peer *to)
{
    to->set_name(from.name);
    to->set_role(static_cast<std::uint32_t>(from.role));
    to->set_domain(from.domain);
    to->set_incarnation(from.incarnation);
}

} // namespace

FleetMember::FleetMember(boost::asio::io_context &io, const FleetSettings &settings, FleetMemberHooks hooks)
    : m_io(io)
    , m_settings(settings)
    , m_hooks(std::move(hooks))
    , m_self(selfOf(settings, m_clock.now()))
    , m_peerPort(settings.peers.port)
    , m_directory({m_self, seedsOf(settings)})
    , m_links(
          io, m_self.name, settings.peerListener, {}, [this](std::string_view bytes) { received(bytes); },
          [this](const std::string &vm, bool isUp) {
              if (isUp)
                  m_newLinks.insert(vm);
              else
                  m_directory.linkClosed(now(), vm);
          },
          linkLimits())
    , m_timer(io)
    , m_missingLeaderReport(toleratedLeaderAbsence)
    , m_outdatedReport(toleratedUncertainty)
{
    openConfiguration();
}

FleetMember::~FleetMember()
{
    *m_isAlive = false;
    if (m_opener.joinable())
        m_opener.join();
}

void FleetMember::openConfiguration()
{
    // A disk may take seconds. Until the journal is open, the VM serves by what it has, without a vote.
    const bool hasDisk = !m_settings.dataFolder.empty();
    m_node = std::make_unique<ConfigurationNode>(now(), nodeOptionsOf(m_settings, m_self),
                                                 hasDisk ? ConfigurationStore::peek(m_settings.dataFolder)
                                                         : std::vector<std::string>());
    if (hasDisk) {
        m_node->storageFailed();
        openStore();
    } else {
        m_store = newStore();
    }
}

std::unique_ptr<ConfigurationStore> FleetMember::newStore()
{
    return std::make_unique<ConfigurationStore>(
        m_io, m_settings.dataFolder,
        [this](std::uint64_t token) {
            m_node->synced(now(), token);
            executeActions();
        },
        [this](const StepError &error) { storeFailed(error.text()); });
}

void FleetMember::openStore()
{
    if (m_opener.joinable())
        m_opener.join();
    m_isOpening = true;
    m_opener = std::thread([this, isAlive = m_isAlive] {
        std::unique_ptr<ConfigurationStore> store;
        std::string error;
        try {
            store = newStore();
            if (const auto &failure = store->summary()->failure)
                error = failure->text();
        } catch (const std::exception &e) {
            error = e.what();
        }
        boost::asio::post(m_io, [this, isAlive, store = std::move(store), error]() mutable {
            if (!*isAlive)
                return;
            m_isOpening = false;
            if (error.empty())
                storeOpened(std::move(store));
            else
                storeFailed(error);
        });
    });
}

void FleetMember::storeOpened(std::unique_ptr<ConfigurationStore> store)
{
    m_node->endProposals();
    executeActions();
    m_store = std::move(store);
    m_node = std::make_unique<ConfigurationNode>(now(), nodeOptionsOf(m_settings, m_self),
                                                 m_store->takeRecovered());
    // A journal that gets lost while the VM runs doesn't make it an initial voter again.
    m_settings.isFirstStart = false;
    logRecovery();
    m_members.clear();
    updateMembers();
    m_hooks.configurationChanged(m_node->activeConfiguration());
    executeActions();
}

void FleetMember::storeFailed(const std::string &error)
{
    logEvent(Event::ConfigurationStorageFailed, {{"error", error}});
    m_node->storageFailed();
    m_reopenAt = now() + reopenDelay;
    executeActions();
}

void FleetMember::start()
{
    m_hooks.configurationChanged(m_node->activeConfiguration());
    executeActions();
    updateLinks();
    scheduleTick();
}

bool FleetMember::send(const std::string &vm, wire::Message &message)
{
    message.set_sender(m_self.name);
    message.set_incarnation(m_self.incarnation);
    message.set_sent_at_us(microsecondsOf(now()));
    if (const auto *peer = m_directory.find(vm)) {
        message.set_receiver_incarnation(peer->peer.incarnation);
        message.set_echoed_at_us(peer->sentAt);
    }
    return m_links.send(vm, message.SerializeAsString());
}

void FleetMember::sendHeartbeats()
{
    m_nextHeartbeat = now() + m_directory.heartbeatInterval();
    m_newLinks.clear();
    sendHeartbeats(m_directory.heartbeatTargets());
}

void FleetMember::sendHeartbeats(const std::vector<std::string> &vms)
{
    wire::Message brief;
    toWire(m_self, brief.mutable_heartbeat()->mutable_self());
    m_hooks.fillHeartbeat(*brief.mutable_heartbeat());
    auto listing = brief;
    const auto controlVms = m_directory.controlVms();
    for (const auto &it : controlVms)
        toWire(it, listing.mutable_heartbeat()->add_control_vms());
    for (const auto &it : vms) {
        auto &message = m_directory.takeListing(now(), it, controlVms) ? listing : brief;
        message.mutable_heartbeat()->set_subscribe(m_directory.isSubscribedTo(it));
        send(it, message);
    }
}

void FleetMember::propose(ChangeRequestId request, const ConfigurationChange &change)
{
    m_node->propose(now(), request, change);
    executeActions();
}

void FleetMember::withdraw(ChangeRequestId request)
{
    m_node->withdraw(request);
}

void FleetMember::subscribe(const std::set<std::string> &vms)
{
    if (!m_directory.setSubscriptions(vms))
        return;
    updateLinks();
    m_nextHeartbeat = {};
}

void FleetMember::setPartition(const DomainPartition &wanted)
{
    m_node->setPartition(now(), wanted);
    executeActions();
}

void FleetMember::assignHolder(const GroupHolder &wanted)
{
    m_node->assignHolder(now(), wanted);
    executeActions();
}

void FleetMember::collect(Metrics &metrics) const
{
    const auto secondsOf = [](Duration time) { return std::chrono::duration<double>(time).count(); };
    for (const auto &[name, it] : m_directory.peers()) {
        if (it.peer.role == VmRole::Control && !it.peer.domain.empty())
            metrics.setGauge(Metric::PeerAge, {name}, secondsOf(now() - it.lastMessageAt));
    }
    metrics.setGauge(Metric::DocumentVersion, {},
                     static_cast<double>(m_node->activeConfiguration().document.version));
    metrics.setGauge(Metric::EvacuatedDomains, {},
                     static_cast<double>(m_node->activeConfiguration().evacuations.size()));
    if (const auto age = m_node->confirmedAge(now()))
        metrics.setGauge(Metric::ConfigurationAge, {}, secondsOf(*age));
    const auto &log = m_node->log();
    metrics.setTotal(Metric::LogLinesLost, {}, lostLogLines());
    metrics.setGauge(Metric::ConfigurationTerm, {}, static_cast<double>(m_node->term()));
    metrics.setGauge(Metric::ConfigurationIsLeader, {}, m_node->role() == ConfigurationRole::Leader ? 1 : 0);
    metrics.setGauge(Metric::ConfigurationHasLeader, {}, m_node->leader().empty() ? 0 : 1);
    if (m_store && m_store->summary())
        metrics.setGauge(Metric::ConfigurationDroppedBytes, {},
                         static_cast<double>(m_store->summary()->droppedBytes));
    metrics.setGauge(Metric::ConfigurationVoters, {}, static_cast<double>(log.voters().size()));
    metrics.setGauge(Metric::ConfigurationLogEntries, {},
                     static_cast<double>(log.lastIndex() - log.snapshotIndex()));
}

TimePoint FleetMember::now() const
{
    return m_clock.now();
}

Duration FleetMember::messageAge() const
{
    return m_messageAge;
}

const EventLoopLag &FleetMember::lag() const
{
    return m_lag;
}

const FleetPeer &FleetMember::self() const
{
    return m_self;
}

const PeerDirectory &FleetMember::directory() const
{
    return m_directory;
}

const ConfigurationNode &FleetMember::configuration() const
{
    return *m_node;
}

bool FleetMember::isConfigurationCurrent() const
{
    const auto age = m_node->confirmedAge(now());
    return age && *age <= maximumConfirmedAge;
}

void FleetMember::received(std::string_view bytes)
{
    wire::Message message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))
        || !isVmName(message.sender())) {
        logEvent(Event::PeerMessageMalformed, {{"bytes", std::to_string(bytes.size())}});
        return;
    }
    callHandler([&] { return describe(message); }, [&] { handle(message, bytes.size()); });
}

void FleetMember::handle(const wire::Message &message, std::size_t bytes)
{
    const bool isForThisIncarnation = message.receiver_incarnation() == m_self.incarnation;
    const auto echoedAt = isForThisIncarnation ? timePointOf(message.echoed_at_us()) : TimePoint();
    if (!m_directory.messageReceived(now(), message.sender(), message.incarnation(), message.sent_at_us(),
                                     echoedAt))
        return;
    if (message.body_case() == wire::Message::kHeartbeat)
        heartbeatReceived(message);
    else if (!isForThisIncarnation)
        return;
    if (message.body_case() == wire::Message::kConfiguration) {
        m_node->receive(now(), message.sender(), message.configuration());
        executeActions();
    }
    reportChanges();
    handleOrDefer(message, bytes);
}

void FleetMember::handleOrDefer(const wire::Message &message, std::size_t bytes)
{
    m_messageAge = m_directory.messageDelay(message.sender()).value_or(refusedMessageAge);
    if (isDeferrable(message)) {
        startTurn();
        const bool mustWait = !m_deferred.empty() || ++m_handledInTurn > deferrableMessagesPerTurn;
        const bool isFull =
            m_deferred.size() >= maximumDeferredMessages || m_deferredBytes + bytes > maximumDeferredBytes;
        if (mustWait && !isFull) {
            m_deferredBytes += bytes;
            m_deferred.push_back({now(), m_messageAge, std::make_shared<wire::Message>(message), bytes});
            return;
        }
        if (mustWait && message.body_case() != wire::Message::kRunJob) {
            logEvent(Event::AnnouncementsDropped, {{"peer", message.sender()}});
            return;
        }
        m_messageAge = mustWait ? refusedMessageAge : m_messageAge;
    }
    m_hooks.received(message.sender(), message);
}

void FleetMember::startTurn()
{
    if (std::exchange(m_isTurnStarted, true))
        return;
    boost::asio::post(m_io, [this, isAlive = m_isAlive] {
        if (*isAlive)
            handleDeferred();
    });
}

void FleetMember::handleDeferred()
{
    m_isTurnStarted = false;
    m_handledInTurn = 0;
    for (int i = 0; i < deferrableMessagesPerTurn && !m_deferred.empty(); ++i) {
        const auto next = std::move(m_deferred.front());
        m_deferred.pop_front();
        m_deferredBytes -= next.bytes;
        m_messageAge = next.age + (now() - next.receivedAt);
        callHandler([&] { return describe(*next.message); },
                    [&] { m_hooks.received(next.message->sender(), *next.message); });
    }
    if (!m_deferred.empty())
        startTurn();
}

void FleetMember::heartbeatReceived(const wire::Message &message)
{
    const auto &heartbeat = message.heartbeat();
    std::vector<FleetPeer> controlVms;
    for (const auto &it : heartbeat.control_vms()) {
        if (isVmName(it.name()))
            controlVms.push_back(peerFromWire(it));
    }
    auto peer = peerFromWire(heartbeat.self());
    peer.name = message.sender();
    peer.incarnation = message.incarnation();
    m_directory.heartbeatReceived(now(), peer, heartbeat.is_draining(), controlVms, heartbeat.subscribe());
    updateLinks();
}

void FleetMember::updateLinks()
{
    if (std::exchange(m_linkedVersion, m_directory.version()) == m_directory.version())
        return;
    const auto targets = m_directory.heartbeatTargets();
    const std::set<std::string> wanted(targets.begin(), targets.end());
    for (const auto &it : wanted) {
        if (!m_linked.insert(it).second)
            continue;
        VmSettings vm;
        vm.identity.name = it;
        vm.peers = endpointOf(it, m_peerPort);
        m_links.add(vm);
    }
    std::erase_if(m_linked, [&](const auto &it) {
        const bool isObsolete = !wanted.contains(it);
        if (isObsolete)
            m_links.remove(it);
        return isObsolete;
    });
    updateMembers();
}

void FleetMember::updateMembers()
{
    std::vector<ConfigurationMember> members{{m_self.name, m_self.role == VmRole::Control, m_self.domain}};
    for (const auto &[name, it] : m_directory.peers()) {
        // Entry VMs that exchange heartbeats with this one receive the configuration from the leader.
        const bool isReceiver = m_self.role == VmRole::Control || it.peer.role == VmRole::Control;
        if (!it.peer.domain.empty() && isReceiver)
            members.push_back({name, it.peer.role == VmRole::Control, it.peer.domain});
    }
    if (members == m_members)
        return;
    m_members = members;
    m_node->setMembers(now(), members);
}

void FleetMember::reportChanges()
{
    for (const auto &it : m_directory.takeChanges()) {
        logEvent(it.isAlive ? Event::PeerAlive : Event::PeerSuspected,
                 {{"peer", it.peer.name}, {"failureDomain", it.peer.domain}});
        // The jobs of a VM that is unreachable are cancelled, those that wait too.
        if (!it.isAlive)
            std::erase_if(m_deferred, [&](const auto &waiting) {
                const bool isOfPeer = waiting.message->sender() == it.peer.name;
                m_deferredBytes -= isOfPeer ? waiting.bytes : 0;
                return isOfPeer;
            });
        m_hooks.peerChanged(it);
    }
}

void FleetMember::scheduleTick()
{
    m_timer.expires_after(tickInterval);
    m_timer.async_wait([this, due = now() + tickInterval](boost::system::error_code ec) {
        if (ec)
            return;
        m_lag.timerHandled(due, now());
        callHandler([] { return std::string("timer of the VM"); }, [this] { tick(); });
        scheduleTick();
    });
}

void FleetMember::tick()
{
    if (now() >= m_nextHeartbeat) {
        sendHeartbeats();
        updateLinks();
    } else if (!m_newLinks.empty()) {
        const auto links = std::exchange(m_newLinks, {});
        sendHeartbeats({links.begin(), links.end()});
    }
    m_directory.tick(now());
    reportChanges();
    if (m_node->hasStorageFailed() && !m_isOpening && now() >= m_reopenAt)
        openStore();
    m_node->tick(now());
    executeActions();
    logLeaderChange();
    logMissingLeader();
    logOutdatedConfiguration();
    logEvacuations();
    logSuppressedCounts();
    m_hooks.ticked();
}

void FleetMember::executeActions()
{
    if (std::exchange(m_isExecuting, true))
        return;
    for (auto actions = m_node->takeActions(); !actions.empty(); actions = m_node->takeActions()) {
        for (const auto &it : actions)
            std::visit([this](const auto &action) { execute(action); }, it);
    }
    m_isExecuting = false;
}

void FleetMember::execute(const AppendRecords &action)
{
    // The records of a node that has no store yet are read again by the node that replaces it.
    if (m_store)
        m_store->write(action);
}

void FleetMember::execute(const ReplaceRecords &action)
{
    if (m_store)
        m_store->write(action);
}

void FleetMember::execute(const SendConfigurationMessage &action)
{
    wire::Message message;
    message.set_configuration(action.bytes);
    send(action.vm, message);
}

void FleetMember::execute(const ActivateConfiguration &action)
{
    m_hooks.configurationChanged(action.configuration);
}

void FleetMember::execute(const AnswerChange &action)
{
    m_hooks.changeAnswered(action);
}

void FleetMember::logRecovery() const
{
    const auto &found = *m_store->summary();
    const auto &log = m_node->log();
    logEvent(Event::ConfigurationRecovered,
             {{"records", std::to_string(found.records)},
              {"bytes", std::to_string(found.bytes)},
              {"syncedBytes", std::to_string(found.syncedBytes)},
              {"droppedBytes", std::to_string(found.droppedBytes)},
              {"version", std::to_string(m_node->activeConfiguration().version)},
              {"term", std::to_string(m_node->term())},
              {"lastIndex", std::to_string(log.lastIndex())},
              {"commitIndex", std::to_string(m_node->commitIndex())},
              {"voters", namesOf(log.voters())}});
}

void FleetMember::logMissingLeader()
{
    const auto missing = m_missingLeaderReport.observe(now(), m_node->leader().empty());
    if (!missing)
        return;
    const auto &log = m_node->log();
    auto silent = log.voters();
    std::erase_if(silent, [this](const Voter &it) {
        const auto *peer = m_directory.find(it.name);
        return it.name == m_self.name
            || (peer != nullptr && now() - peer->lastMessageAt <= maximumVoterSilence);
    });
    logEvent(Event::ConfigurationLeaderMissing,
             {{"missingMs", millisecondsText(*missing)},
              {"term", std::to_string(m_node->term())},
              {"lastIndex", std::to_string(log.lastIndex())},
              {"voters", namesOf(log.voters())},
              {"silentVoters", namesOf(silent)}});
}

void FleetMember::logOutdatedConfiguration()
{
    const auto age = m_node->confirmedAge(now());
    const auto version = std::to_string(m_node->activeConfiguration().document.version);
    if (const auto outdated = m_outdatedReport.observe(now(), !isConfigurationCurrent()))
        logEvent(Event::ConfigurationOutdated,
                 {{"outdatedMs", millisecondsText(age ? *age : *outdated)},
                  {"version", version},
                  {"leader", m_node->leader()},
                  {"term", std::to_string(m_node->term())},
                  {"commitIndex", std::to_string(m_node->commitIndex())},
                  {"leaderCommitIndex", std::to_string(m_node->leaderCommitIndex())}});
    if (const auto lasted = m_outdatedReport.takeEnded(now()))
        logEvent(Event::ConfigurationConfirmed,
                 {{"version", version}, {"outdatedMs", millisecondsText(*lasted)}});
}

void FleetMember::logLeaderChange()
{
    if (m_loggedLeader == m_node->leader())
        return;
    m_loggedLeader = m_node->leader();
    logEvent(Event::ConfigurationLeader,
             {{"leader", m_loggedLeader}, {"term", std::to_string(m_node->term())}});
}

void FleetMember::logEvacuations()
{
    const auto &active = m_node->activeConfiguration();
    if (m_loggedEvacuations == active.evacuations)
        return;
    for (const auto &it : m_loggedEvacuations) {
        if (active.findEvacuation(it.domain) == nullptr)
            logEvent(Event::DomainRestored, {{"domain", it.domain}});
    }
    for (const auto &it : active.evacuations) {
        if (std::find(m_loggedEvacuations.begin(), m_loggedEvacuations.end(), it)
            == m_loggedEvacuations.end())
            logEvent(Event::DomainEvacuated, {{"domain", it.domain}, {"since", std::to_string(it.since)}});
    }
    m_loggedEvacuations = active.evacuations;
}

} // namespace Citronpitch
