#include "citronpitch/configurationnode.h"

#include "core/config/configurationwire.h"

#include <algorithm>
#include <utility>

namespace Citronpitch {

namespace wire = citronpitch::wire::configuration;

namespace {

constexpr Duration helloInterval = std::chrono::milliseconds(300);
constexpr Duration voterCheckInterval = std::chrono::milliseconds(100);
constexpr Duration leaderlessRetryInterval = std::chrono::milliseconds(50);

/// A VM that can't find out whether it is an initial voter joins as a new one after this time with a leader.
constexpr Duration identityTimeout = std::chrono::seconds(5);

/// Time without a message of the leader after which a learner no longer forwards changes to it.
constexpr Duration learnerLeaderTimeout = std::chrono::seconds(3);

/// A timestamp contains the microseconds since the start of the process and bits that identify its
/// incarnation. The bits of the elapsed time suffice for about 50 days.
constexpr int timestampElapsedBits = 42;
constexpr std::uint64_t incarnationMask = (1 << 20) - 1;

constexpr std::size_t maximumEntriesPerMessage = 64;
/// Limit of the entries in one message, so that a leader can hold a message for each of some hundred VMs at
/// once. A single entry may be larger.
constexpr std::size_t maximumBytesPerMessage = 1 << 19;
/// Content that is no longer than this may be sent again to a VM that has not replied to it yet.
constexpr std::size_t shortContentBytes = 1 << 14;
/// Typical size of an entry without its document.
constexpr std::size_t entryBytes = 128;
constexpr std::uint64_t maximumUncommittedEntries = 1000;

/// Learners that are sent a snapshot at the same time. After a restart of the whole fleet all of them need
/// one.
constexpr std::ptrdiff_t maximumSnapshotsInFlight = 16;
/// A snapshot without a reply for this long is no longer counted as in flight.
constexpr Duration snapshotTimeout = std::chrono::seconds(1);

std::uint64_t splitMix64(std::uint64_t value)
{
    value += 0x9e3779b97f4a7c15;
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9;
    value = (value ^ (value >> 27)) * 0x94d049bb133111eb;
    return value ^ (value >> 31);
}

/// Returns the random delay number @p counter: at least @p minimum, and shorter than it plus @p spread.
Duration randomDelay(std::uint64_t seed, std::uint64_t counter, Duration minimum, Duration spread)
{
    const auto offset = splitMix64(seed + splitMix64(counter)) % static_cast<std::uint64_t>(spread.count());
    return minimum + Duration(static_cast<std::int64_t>(offset));
}

/// Approximate size of an entry in a message.
std::size_t approximateSize(const LogEntry &entry)
{
    return entryBytes + entry.change.document.text.size();
}

/// Approximate size of a snapshot of @p state in a message.
std::size_t approximateSize(const ConfigurationState &state)
{
    return entryBytes * (1 + state.answers().size() + state.history().size())
        + state.configuration().document.text.size();
}

/// Records that entries or a snapshot of @p bytes are sent to a VM, unless they are so short that they may be
/// sent again at any time. Later ones count only once a reply shows that the first were received or lost, so
/// that frequent changes don't hide that a VM is behind.
void recordContentSent(TimePoint now, std::size_t bytes, FollowerProgress &progress)
{
    if (bytes > shortContentBytes && progress.acknowledgedSentAt >= progress.contentSentAt)
        progress.contentSentAt = now;
}

std::vector<Voter> initialVotersOf(const ConfigurationNodeOptions &options)
{
    std::vector<Voter> initialVoters;
    for (const auto &it : options.initialVoters)
        initialVoters.push_back({it, initialStorageId});
    if (options.toleratedLosses > 0)
        return initialVoters;
    for (const auto &it : options.members) {
        if (it.isVoter)
            initialVoters.push_back({it.name, initialStorageId});
    }
    return initialVoters;
}

} // namespace

ConfigurationNode::ConfigurationNode(TimePoint now, const ConfigurationNodeOptions &options,
                                     const std::vector<std::string> &records)
    : m_options(options)
    , m_log(initialVotersOf(options))
    , m_activeConfiguration(options.initial)
    , m_startedAt(now)
{
    recover(records);
    setFirstElectionDeadline(now);
}

ConfigurationNode::~ConfigurationNode() = default;

void ConfigurationNode::receive(TimePoint now, std::string_view vm, std::string_view bytes)
{
    Message message;
    if (m_hasStorageFailed || !message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return;
    const std::string sender(vm);
    const bool isVoting = message.has_vote_request()
        || (message.has_vote_reply() && message.vote_reply().pre() && message.vote_reply().granted());
    const bool hasTerm = !isVoting && !message.has_hello() && !message.has_hello_reply();
    if (hasTerm && message.term() > m_term)
        becomeFollower(now, message.term(), {});
    switch (message.body_case()) {
    case Message::kVoteRequest:
        handleVoteRequest(now, sender, message);
        break;
    case Message::kVoteReply:
        handleVoteReply(now, sender, message);
        break;
    case Message::kAppend:
        handleAppend(now, sender, message);
        break;
    case Message::kAppendReply:
        handleAppendReply(now, sender, message);
        break;
    case Message::kInstallSnapshot:
        handleInstallSnapshot(now, sender, message);
        break;
    case Message::kProposal:
        if (const auto change = fromWire(message.proposal()); change && m_role == ConfigurationRole::Leader) {
            appendProposal(*change);
            broadcast(now);
        }
        break;
    case Message::kHello:
        handleHello(sender, message.storage());
        break;
    case Message::kHelloReply:
        handleHelloReply(sender, message.storage(), message.hello_reply().known_storage());
        break;
    default:
        break;
    }
}

void ConfigurationNode::synced(TimePoint now, std::uint64_t token)
{
    m_syncedToken = std::max(m_syncedToken, token);
    while (!m_pendingSyncs.empty() && m_pendingSyncs.front().token <= token) {
        m_syncedIndex = std::max(m_syncedIndex, m_pendingSyncs.front().lastIndex);
        m_pendingSyncs.pop_front();
    }
    releaseSynced();
    if (m_role == ConfigurationRole::Leader)
        advanceCommitIndex(now);
}

void ConfigurationNode::storageFailed()
{
    m_hasStorageFailed = true;
    m_role = ConfigurationRole::Follower;
    m_leader.clear();
    m_progress.clear();
    m_pendingMessages.clear();
    m_pendingActivations.clear();
    // The newest commit may never become active, so the age of the active configuration is not certain.
    m_confirmedUpToDateAt.reset();
}

void ConfigurationNode::tick(TimePoint now)
{
    resendProposals(now);
    if (m_hasStorageFailed)
        return;
    sendHellos(now);
    if (m_role == ConfigurationRole::Leader) {
        if (quorumAge(now) > m_options.electionTimeout) {
            becomeFollower(now, m_term, {});
            return;
        }
        for (const auto &[vm, progress] : m_progress) {
            if (now >= progress.nextSendAt)
                sendAppend(now, vm);
        }
        adjustVoters(now);
        return;
    }
    if (!m_leader.empty() && now - m_lastLeaderContact > learnerLeaderTimeout)
        m_leader.clear();
    if (m_isIdentityKnown && isVoter({m_options.self, voterId()}) && now >= m_electionDeadline)
        startElection(now, true);
}

void ConfigurationNode::propose(TimePoint now, ChangeRequestId request, const ConfigurationChange &change)
{
    Proposal proposal{request, change, now, now + m_options.proposalTimeout, false};
    ChangeAnswer buffer;
    if (const auto *answer = m_state.findDuplicateAnswer(change, buffer)) {
        m_actions.emplace_back(AnswerChange{request, *answer});
        return;
    }
    forwardProposal(now, proposal);
    m_proposals.push_back(std::move(proposal));
}

void ConfigurationNode::withdraw(ChangeRequestId request)
{
    std::erase_if(m_proposals, [&](const auto &it) { return it.request == request; });
}

void ConfigurationNode::setMembers(TimePoint now, const std::vector<ConfigurationMember> &members)
{
    m_options.members = members;
    if (m_role != ConfigurationRole::Leader)
        return;
    const auto isKnown = [&](const std::string &vm) {
        return hasVoterNamed(vm)
            || std::any_of(members.begin(), members.end(), [&](const auto &it) { return it.name == vm; });
    };
    std::erase_if(m_progress, [&](const auto &it) { return !isKnown(it.first); });
    for (const auto &it : members) {
        if (it.name != m_options.self && !m_progress.contains(it.name))
            m_progress[it.name] = {std::nullopt, 0, m_commitIndex + 1, now, now};
    }
}

void ConfigurationNode::assignHolder(TimePoint now, const GroupHolder &wanted)
{
    ConfigurationChange change;
    change.kind = ChangeKind::SetHolder;
    change.holder = wanted;
    appendUnlessPending(now, change, [&](const ConfigurationChange &pending) {
        return pending.holder.group == wanted.group && pending.holder.fence == wanted.fence;
    });
}

void ConfigurationNode::setPartition(TimePoint now, const DomainPartition &wanted)
{
    ConfigurationChange change;
    change.kind = ChangeKind::SetPartition;
    change.partition = wanted;
    appendUnlessPending(now, change,
                        [&](const ConfigurationChange &pending) { return pending.partition == wanted; });
}

void ConfigurationNode::appendUnlessPending(TimePoint now, const ConfigurationChange &change,
                                            const std::function<bool(const ConfigurationChange &)> &isSame)
{
    if (m_role != ConfigurationRole::Leader || m_hasStorageFailed)
        return;
    for (auto it = m_commitIndex + 1; it <= m_log.lastIndex(); ++it) {
        const auto &pending = m_log.at(it);
        if (pending.kind == LogEntryKind::Change && pending.change.kind == change.kind
            && isSame(pending.change))
            return;
    }
    LogEntry entry;
    entry.kind = LogEntryKind::Change;
    entry.change = change;
    entry.change.proposedAt = now;
    appendNewEntry(entry);
    broadcast(now);
}

std::vector<ConfigurationAction> ConfigurationNode::takeActions()
{
    flushRecords();
    return std::exchange(m_actions, {});
}

const Configuration &ConfigurationNode::activeConfiguration() const
{
    return m_activeConfiguration;
}

const ConfigurationState &ConfigurationNode::state() const
{
    return m_state;
}

std::optional<Duration> ConfigurationNode::configurationAge(TimePoint now) const
{
    if (m_role == ConfigurationRole::Leader)
        return quorumAge(now);
    if (!m_upToDateAt)
        return std::nullopt;
    return std::max(Duration::zero(), now - *m_upToDateAt);
}

std::optional<Duration> ConfigurationNode::confirmedAge(TimePoint now) const
{
    if (!m_pendingActivations.empty())
        return std::nullopt;
    if (m_role == ConfigurationRole::Leader)
        return leaderConfirmedAge(now);
    if (!m_confirmedUpToDateAt)
        return std::nullopt;
    return std::max(Duration::zero(), now - *m_confirmedUpToDateAt);
}

ConfigurationRole ConfigurationNode::role() const
{
    const bool votes = m_isIdentityKnown && isVoter({m_options.self, voterId()});
    return m_role == ConfigurationRole::Follower && !votes ? ConfigurationRole::Learner : m_role;
}

std::uint64_t ConfigurationNode::term() const
{
    return m_term;
}

const std::string &ConfigurationNode::leader() const
{
    return m_leader;
}

const ConfigurationLog &ConfigurationNode::log() const
{
    return m_log;
}

std::uint64_t ConfigurationNode::commitIndex() const
{
    return m_commitIndex;
}

std::uint64_t ConfigurationNode::leaderCommitIndex() const
{
    return std::max(m_commitIndex, m_leaderCommitIndex);
}

std::uint64_t ConfigurationNode::voterId() const
{
    return m_isIdentityKnown && m_isInitialVoter ? initialStorageId : m_storageId;
}

bool ConfigurationNode::hasStorageFailed() const
{
    return m_hasStorageFailed;
}

const std::map<std::string, FollowerProgress, std::less<>> &ConfigurationNode::progress() const
{
    return m_progress;
}

std::int64_t ConfigurationNode::encodeTimestamp(TimePoint now) const
{
    const auto incarnation = static_cast<std::int64_t>(m_options.seed & incarnationMask);
    return (incarnation << timestampElapsedBits) | (now - m_startedAt).count();
}

std::optional<TimePoint> ConfigurationNode::decodeTimestamp(std::int64_t value) const
{
    const auto incarnation = static_cast<std::int64_t>(m_options.seed & incarnationMask);
    if (value == 0 || value >> timestampElapsedBits != incarnation)
        return std::nullopt;
    return m_startedAt + Duration(value & ((std::int64_t{1} << timestampElapsedBits) - 1));
}

void ConfigurationNode::sendHellos(TimePoint now)
{
    if (m_isIdentityKnown || now < m_nextHelloAt)
        return;
    m_nextHelloAt = now + helloInterval;
    if (m_undecidedFollowerSince && now - *m_undecidedFollowerSince > identityTimeout) {
        settleIdentity(false);
        return;
    }
    auto message = newMessage();
    message.mutable_hello();
    for (const auto &it : m_options.members) {
        if (it.isVoter && it.name != m_options.self && !m_helloReplies.contains(it.name))
            sendAfterSync(newestRecordToken(), it.name, message);
    }
}

void ConfigurationNode::handleHello(const std::string &vm, std::uint64_t storageId)
{
    const bool isBootstrapping = m_log.lastIndex() == 0 && !(m_isIdentityKnown && m_isInitialVoter);
    if (isBootstrapping && isConfiguredVoter(vm))
        recordStorageId(vm, storageId);
    auto message = newMessage();
    message.mutable_hello_reply()->set_known_storage(knownStorageId(vm));
    sendAfterSync(newestRecordToken(), vm, message);
}

void ConfigurationNode::handleHelloReply(const std::string &vm, std::uint64_t storageId,
                                         std::uint64_t recordedStorageId)
{
    if (m_isIdentityKnown || !isConfiguredVoter(vm))
        return;
    if (recordedStorageId != m_storageId) {
        settleIdentity(false);
        return;
    }
    recordStorageId(vm, storageId);
    m_helloReplies.insert(vm);
    const auto voters = initialVotersOf(m_options);
    if (m_helloReplies.size() + 1 == voters.size())
        settleIdentity(true);
}

void ConfigurationNode::recordStorageId(const std::string &vm, std::uint64_t storageId)
{
    if (!m_knownStorageIds.emplace(vm, storageId).second)
        return;
    Record record;
    record.mutable_known_storage()->set_name(vm);
    record.mutable_known_storage()->set_storage(storageId);
    queueRecord(record);
}

void ConfigurationNode::settleIdentity(bool isInitialVoter)
{
    m_isIdentityKnown = true;
    m_isInitialVoter = isInitialVoter;
    queueIdentityRecord();
    m_termToken = m_nextToken;
}

std::uint64_t ConfigurationNode::knownStorageId(const std::string &vm) const
{
    const auto it = m_knownStorageIds.find(vm);
    return it == m_knownStorageIds.end() ? 0 : it->second;
}

bool ConfigurationNode::isConfiguredVoter(std::string_view name) const
{
    return std::any_of(m_options.members.begin(), m_options.members.end(),
                       [&](const auto &it) { return it.isVoter && it.name == name; });
}

void ConfigurationNode::setElectionDeadline(TimePoint now)
{
    // After a start of the whole fleet the VMs connect one after the other, so that early pre-votes are lost.
    const auto timeout = m_hasSeenLeader ? m_options.electionTimeout : m_options.firstElectionTimeout;
    m_electionDeadline = now + randomDelay(m_options.seed, ++m_randomCounter, timeout, timeout);
}

void ConfigurationNode::setFirstElectionDeadline(TimePoint now)
{
    const auto timeout = m_options.firstElectionTimeout;
    m_electionDeadline = now + randomDelay(m_options.seed, ++m_randomCounter, timeout, 2 * timeout);
}

void ConfigurationNode::startElection(TimePoint now, bool isPreVote)
{
    m_role = isPreVote ? ConfigurationRole::PreCandidate : ConfigurationRole::Candidate;
    m_leader.clear();
    m_grantedVotes = {m_options.self};
    setElectionDeadline(now);
    if (!isPreVote) {
        ++m_term;
        m_votedFor = m_options.self;
        queueTermRecord();
    }
    if (m_grantedVotes.size() >= majoritySize()) {
        isPreVote ? startElection(now, false) : becomeLeader(now);
        return;
    }
    auto message = newMessage();
    auto *request = message.mutable_vote_request();
    request->set_pre(isPreVote);
    request->set_last_index(m_log.lastIndex());
    request->set_last_term(m_log.lastTerm());
    for (const auto &it : m_log.voters()) {
        if (it.name != m_options.self)
            sendAfterSync(m_termToken, it.name, message);
    }
}

void ConfigurationNode::becomeFollower(TimePoint now, std::uint64_t term, const std::string &leader)
{
    const bool isNewTerm = term > m_term;
    if (isNewTerm) {
        m_term = term;
        m_votedFor.clear();
    }
    const bool isNewVote = !leader.empty() && m_votedFor.empty();
    if (isNewVote)
        m_votedFor = leader;
    if (isNewTerm || isNewVote)
        queueTermRecord();
    if (m_role != ConfigurationRole::Follower)
        setElectionDeadline(now);
    if (m_role == ConfigurationRole::Leader)
        m_upToDateAt = now - quorumAge(now);
    m_role = ConfigurationRole::Follower;
    m_leader = leader;
    m_hasSeenLeader = m_hasSeenLeader || !leader.empty();
    m_progress.clear();
}

void ConfigurationNode::becomeLeader(TimePoint now)
{
    m_role = ConfigurationRole::Leader;
    m_hasSeenLeader = true;
    m_leader = m_options.self;
    m_progress.clear();
    for (const auto &it : m_options.members)
        m_progress[it.name];
    for (const auto &it : m_log.voters())
        m_progress[it.name];
    m_progress.erase(m_options.self);
    for (auto &[vm, progress] : m_progress)
        progress = {std::nullopt, 0, m_commitIndex + 1, now, now};
    for (const auto &it : m_log.voters()) {
        if (it.name != m_options.self)
            m_progress[it.name].nextIndex = m_log.lastIndex() + 1;
    }
    LogEntry entry;
    if (!m_state.isInitialized()) {
        entry.kind = LogEntryKind::Initial;
        entry.change.classes = m_options.initial.classes;
        entry.change.teams = m_options.initial.teams;
    }
    const bool isFirst = entry.kind == LogEntryKind::Initial;
    appendNewEntry(entry);
    // VMs that join later learn the initial voters only from the log.
    if (isFirst && hasDynamicMembership())
        proposeVoters(m_log.voters());
    for (const auto &[vm, progress] : m_progress)
        sendAppend(now, vm);
}

void ConfigurationNode::handleVoteRequest(TimePoint now, const std::string &vm, const Message &message)
{
    const auto &request = message.vote_request();
    if (!m_isIdentityKnown || hasRecentLeader(now))
        return;
    if (!request.pre() && message.term() > m_term)
        becomeFollower(now, message.term(), {});
    const bool isLogUpToDate =
        std::pair(request.last_term(), request.last_index()) >= std::pair(m_log.lastTerm(), m_log.lastIndex())
        || m_options.faults.votesForAnyLog;
    const bool hasVoteAvailable = request.pre() || m_votedFor.empty() || m_votedFor == vm;
    const bool isGranted = isLogUpToDate && hasVoteAvailable && message.term() >= m_term;
    if (isGranted && !request.pre()) {
        if (m_votedFor.empty()) {
            m_votedFor = vm;
            queueTermRecord();
        }
        setElectionDeadline(now);
    }
    auto reply = newMessage();
    if (isGranted)
        reply.set_term(message.term());
    reply.mutable_vote_reply()->set_pre(request.pre());
    reply.mutable_vote_reply()->set_granted(isGranted);
    sendAfterSync(m_termToken, vm, reply);
}

void ConfigurationNode::handleVoteReply(TimePoint now, const std::string &vm, const Message &message)
{
    const auto &reply = message.vote_reply();
    const auto expectedRole = reply.pre() ? ConfigurationRole::PreCandidate : ConfigurationRole::Candidate;
    if (m_role != expectedRole || !reply.granted() || message.term() != m_term || message.undecided())
        return;
    if (!isVoter({vm, message.voter()}))
        return;
    m_grantedVotes.insert(vm);
    if (m_grantedVotes.size() < majoritySize())
        return;
    reply.pre() ? startElection(now, false) : becomeLeader(now);
}

bool ConfigurationNode::isVoter(const Voter &voter) const
{
    const auto &voters = m_log.voters();
    return std::find(voters.begin(), voters.end(), voter) != voters.end();
}

bool ConfigurationNode::hasVoterNamed(std::string_view vm) const
{
    const auto &voters = m_log.voters();
    return std::any_of(voters.begin(), voters.end(), [&](const auto &it) { return it.name == vm; });
}

std::size_t ConfigurationNode::majoritySize() const
{
    return m_log.voters().size() / 2 + 1;
}

bool ConfigurationNode::hasRecentLeader(TimePoint now) const
{
    if (m_role == ConfigurationRole::Leader)
        return true;
    return !m_leader.empty() && now - m_lastLeaderContact < m_options.electionTimeout;
}

void ConfigurationNode::appendNewEntry(const LogEntry &entry)
{
    auto own = entry;
    own.index = m_log.lastIndex() + 1;
    own.term = m_term;
    m_log.append(own);
    Record record;
    toWire(own, record.mutable_entry());
    queueRecord(record);
}

void ConfigurationNode::broadcast(TimePoint now)
{
    for (const auto &[vm, progress] : m_progress) {
        if (now - progress.lastReplyAt <= 2 * m_options.learnerHeartbeatInterval)
            sendAppend(now, vm);
    }
}

void ConfigurationNode::sendAppend(TimePoint now, const std::string &vm)
{
    auto &progress = m_progress[vm];
    const bool votes = hasVoterNamed(vm);
    progress.nextSendAt =
        now + (votes ? m_options.voterHeartbeatInterval : m_options.learnerHeartbeatInterval);
    const bool isSilent = now - progress.lastReplyAt > 2 * m_options.learnerHeartbeatInterval;
    auto end = votes ? m_log.lastIndex() : m_commitIndex;
    end = isSilent ? 0 : std::min(end, progress.nextIndex - 1 + maximumEntriesPerMessage);
    if (needsSnapshot(vm)) {
        sendSnapshot(now, vm);
        return;
    }
    auto message = newMessage();
    auto *append = message.mutable_append();
    append->set_previous_index(progress.nextIndex - 1);
    append->set_previous_term(*m_log.termAt(progress.nextIndex - 1));
    append->set_commit(m_commitIndex);
    append->set_quorum_age_us(quorumAge(now).count());
    append->set_sent_at(encodeTimestamp(now));
    if (const auto age = leaderConfirmedAge(now); age && progress.lastReplyTimestamp != 0) {
        append->set_echoed_at(progress.lastReplyTimestamp);
        append->set_confirmed_age_us(age->count());
    }
    std::size_t bytes = 0;
    for (; progress.nextIndex <= end; ++progress.nextIndex) {
        const auto &entry = m_log.at(progress.nextIndex);
        bytes += approximateSize(entry);
        if (bytes > maximumBytesPerMessage && append->entries_size() > 0)
            break;
        toWire(entry, append->add_entries());
    }
    recordContentSent(now, bytes, progress);
    sendAfterSync(m_termToken, vm, message);
}

void ConfigurationNode::sendSnapshot(TimePoint now, const std::string &vm)
{
    auto message = newMessage();
    auto *install = message.mutable_install_snapshot();
    install->set_quorum_age_us(quorumAge(now).count());
    install->set_sent_at(encodeTimestamp(now));
    auto &progress = m_progress[vm];
    const bool isSilent = now - progress.lastReplyAt > 2 * m_options.learnerHeartbeatInterval;
    if (isSilent || isSnapshotPostponed(now, vm)) {
        // Probes the log of the VM; the snapshot is sent after a reply.
        auto probe = newMessage();
        probe.mutable_append()->set_previous_index(m_commitIndex);
        probe.mutable_append()->set_previous_term(*m_log.termAt(m_commitIndex));
        probe.mutable_append()->set_commit(m_commitIndex);
        probe.mutable_append()->set_sent_at(encodeTimestamp(now));
        sendAfterSync(m_termToken, vm, probe);
        return;
    }
    toWire(ConfigurationSnapshot{m_commitIndex, *m_log.termAt(m_commitIndex), m_log.votersAt(m_commitIndex),
                                 m_state},
           install->mutable_snapshot());
    progress.nextIndex = m_commitIndex + 1;
    progress.snapshotIndex = m_commitIndex;
    recordContentSent(now, m_state.configuration().document.text.size(), progress);
    sendAfterSync(m_termToken, vm, message);
}

bool ConfigurationNode::needsSnapshot(const std::string &vm) const
{
    const auto next = m_progress.at(vm).nextIndex;
    if (next <= m_log.snapshotIndex())
        return true;
    if (hasVoterNamed(vm))
        return false;
    const auto ofState = approximateSize(m_state);
    std::size_t ofEntries = 0;
    for (auto it = next; it <= m_commitIndex && ofEntries <= ofState; ++it)
        ofEntries += approximateSize(m_log.at(it));
    return ofEntries > ofState;
}

bool ConfigurationNode::isSnapshotPostponed(TimePoint now, const std::string &vm) const
{
    if (!needsSnapshot(vm) || hasVoterNamed(vm))
        return false;
    const auto inFlight = std::count_if(m_progress.begin(), m_progress.end(), [&](const auto &it) {
        const auto &progress = it.second;
        return progress.snapshotIndex > progress.matchIndex && now - progress.contentSentAt < snapshotTimeout;
    });
    return inFlight >= maximumSnapshotsInFlight;
}

void ConfigurationNode::handleAppend(TimePoint now, const std::string &vm, const Message &message)
{
    const auto &append = message.append();
    const auto echo = append.sent_at();
    if (message.term() < m_term || m_role == ConfigurationRole::Leader) {
        replyToLeader(now, vm, false, m_commitIndex, echo);
        return;
    }
    followLeader(now, vm, message.term());
    m_leaderCommitIndex = std::max(m_leaderCommitIndex, append.commit());
    const auto previous = append.previous_index();
    if (previous > m_log.lastIndex()) {
        replyToLeader(now, vm, false, m_log.lastIndex(), echo);
        return;
    }
    const auto term = m_log.termAt(previous);
    const bool matches = previous < m_log.snapshotIndex() || term == append.previous_term();
    if (!matches && !m_options.faults.skipsLogMatchingCheck) {
        replyToLeader(now, vm, false, m_commitIndex, echo);
        return;
    }
    if (!appendReceivedEntries(append))
        return;
    const auto matched = previous + static_cast<std::uint64_t>(append.entries_size());
    replyToLeader(now, vm, true, matched, echo);
    commitTo(now, std::min({append.commit(), matched, m_log.lastIndex()}));
    if (isBehind())
        return;
    m_upToDateAt = std::max(m_upToDateAt.value_or(TimePoint()), now - Duration(append.quorum_age_us()));
    if (const auto sentAt = decodeTimestamp(append.echoed_at())) {
        const auto latest = m_options.faults.usesArrivalTimes ? now : *sentAt;
        const auto confirmedAt = latest - Duration(append.confirmed_age_us());
        m_confirmedUpToDateAt = std::max(m_confirmedUpToDateAt.value_or(confirmedAt), confirmedAt);
    }
}

bool ConfigurationNode::appendReceivedEntries(const wire::Append &append)
{
    auto expected = append.previous_index() + 1;
    for (const auto &it : append.entries()) {
        const auto entry = fromWire(it);
        if (!entry || entry->index != expected++)
            return false;
        if (entry->index <= m_log.snapshotIndex() || m_log.termAt(entry->index) == entry->term)
            continue;
        if (entry->index <= m_commitIndex)
            return false;
        m_log.truncateFrom(entry->index);
        m_syncedIndex = std::min(m_syncedIndex, m_log.lastIndex());
        for (auto &pending : m_pendingSyncs)
            pending.lastIndex = std::min(pending.lastIndex, m_log.lastIndex());
        m_log.append(*entry);
        Record record;
        toWire(*entry, record.mutable_entry());
        queueRecord(record);
    }
    return true;
}

void ConfigurationNode::replyToLeader(TimePoint now, const std::string &vm, bool matched, std::uint64_t index,
                                      std::int64_t echoedAt)
{
    auto message = newMessage();
    message.mutable_append_reply()->set_sent_at(encodeTimestamp(now));
    message.mutable_append_reply()->set_echoed_at(echoedAt);
    message.mutable_append_reply()->set_matched(matched);
    message.mutable_append_reply()->set_index(index);
    sendAfterSync(newestRecordToken(), vm, message);
}

void ConfigurationNode::followLeader(TimePoint now, const std::string &vm, std::uint64_t term)
{
    if (m_leader != vm || m_role != ConfigurationRole::Follower)
        becomeFollower(now, term, vm);
    m_lastLeaderContact = now;
    setElectionDeadline(now);
    if (!m_isIdentityKnown && !m_undecidedFollowerSince)
        m_undecidedFollowerSince = now;
}

void ConfigurationNode::handleInstallSnapshot(TimePoint now, const std::string &vm, const Message &message)
{
    const auto echo = message.install_snapshot().sent_at();
    if (message.term() < m_term || m_role == ConfigurationRole::Leader) {
        replyToLeader(now, vm, false, m_commitIndex, echo);
        return;
    }
    const auto &install = message.install_snapshot();
    followLeader(now, vm, message.term());
    const auto index = install.snapshot().index();
    // A delayed snapshot must not drop later entries that were acknowledged in the meantime.
    if (m_log.termAt(index) == install.snapshot().term())
        commitTo(now, index);
    else if (index > m_commitIndex)
        installSnapshotState(install);
    replyToLeader(now, vm, true, std::min(install.snapshot().index(), m_commitIndex), echo);
    if (!isBehind())
        m_upToDateAt = std::max(m_upToDateAt.value_or(TimePoint()), now - Duration(install.quorum_age_us()));
}

void ConfigurationNode::handleAppendReply(TimePoint now, const std::string &vm, const Message &message)
{
    const auto it = m_progress.find(vm);
    if (m_role != ConfigurationRole::Leader || message.term() != m_term || it == m_progress.end())
        return;
    auto &progress = it->second;
    const auto voter = message.undecided() ? std::nullopt : std::optional<std::uint64_t>(message.voter());
    if (progress.voterId != voter) {
        progress.voterId = voter;
        progress.matchIndex = 0;
    }
    progress.lastReplyAt = now;
    const auto &reply = message.append_reply();
    const auto sentAt = decodeTimestamp(reply.echoed_at());
    if (sentAt)
        progress.acknowledgedSentAt = std::max(progress.acknowledgedSentAt, *sentAt);
    progress.lastReplyTimestamp = reply.sent_at();
    // A rejection of a message that preceded the last entries or snapshot says nothing about those. Sending
    // them again for each such rejection would fill the queues of slow links.
    if (!reply.matched() && sentAt && *sentAt < progress.contentSentAt)
        return;
    if (reply.matched()) {
        progress.matchIndex = std::max(progress.matchIndex, reply.index());
        progress.nextIndex = std::max(progress.nextIndex, progress.matchIndex + 1);
        advanceCommitIndex(now);
    } else if (!m_options.faults.skipsCatchUp) {
        progress.nextIndex = std::min(std::max(progress.matchIndex, reply.index()), m_log.lastIndex()) + 1;
    }
    const auto end = hasVoterNamed(vm) ? m_log.lastIndex() : m_commitIndex;
    if (progress.nextIndex <= end && !isSnapshotPostponed(now, vm))
        sendAppend(now, vm);
}

void ConfigurationNode::advanceCommitIndex(TimePoint now)
{
    std::vector<std::uint64_t> matches;
    for (const auto &it : m_log.voters()) {
        if (it.name == m_options.self) {
            matches.push_back(it.storageId == voterId() ? m_syncedIndex : 0);
            continue;
        }
        const auto progress = m_progress.find(it.name);
        const bool isCurrentVoter = progress != m_progress.end() && progress->second.voterId == it.storageId;
        matches.push_back(isCurrentVoter ? progress->second.matchIndex : 0);
    }
    std::sort(matches.rbegin(), matches.rend());
    const auto needed = m_options.faults.commitsWithoutMajority ? 1 : majoritySize();
    const auto index = std::min(matches[needed - 1], m_log.lastIndex());
    if (index <= m_commitIndex || m_log.termAt(index) != m_term)
        return;
    commitTo(now, index);
    broadcast(now);
}

void ConfigurationNode::commitTo(TimePoint now, std::uint64_t index)
{
    if (index <= m_commitIndex)
        return;
    while (m_commitIndex < index)
        apply(m_log.at(++m_commitIndex));
    Record record;
    record.mutable_commit()->set_index(m_commitIndex);
    record.mutable_commit()->set_heard_at_us(microsecondsOf(now));
    queueRecord(record);
    activateIfNewest();
    compactLog();
    if (m_options.faults.skipsSync)
        releaseSynced();
}

bool ConfigurationNode::isBehind() const
{
    return m_commitIndex < leaderCommitIndex();
}

void ConfigurationNode::activateIfNewest()
{
    if (!isBehind())
        m_pendingActivations.push_back({m_nextToken, m_state.configuration()});
}

void ConfigurationNode::apply(const LogEntry &entry)
{
    if (entry.kind == LogEntryKind::Initial)
        m_state.initialize({0, entry.change.classes, entry.change.teams});
    if (entry.kind != LogEntryKind::Change)
        return;
    if (m_options.faults.forgetsAnswers)
        m_state = ConfigurationState::restore(m_state.configuration(), true, {},
                                              {m_state.history().begin(), m_state.history().end()});
    m_state.apply(entry.change, !m_options.faults.ignoresBasedOn);
}

Duration ConfigurationNode::quorumAge(TimePoint now) const
{
    std::vector<Duration> ages;
    for (const auto &it : m_log.voters()) {
        const auto progress = m_progress.find(it.name);
        const bool isSelf = it.name == m_options.self;
        if (isSelf || progress != m_progress.end())
            ages.push_back(isSelf ? Duration::zero() : now - progress->second.lastReplyAt);
    }
    if (ages.size() < majoritySize())
        return Duration::zero();
    std::sort(ages.begin(), ages.end());
    return std::max(Duration::zero(), ages[majoritySize() - 1]);
}

std::optional<Duration> ConfigurationNode::leaderConfirmedAge(TimePoint now) const
{
    // Until an entry of this term is committed, earlier entries may be committed without this leader knowing.
    if (m_log.termAt(m_commitIndex) != m_term)
        return std::nullopt;
    std::vector<Duration> ages;
    for (const auto &it : m_log.voters()) {
        const auto progress = m_progress.find(it.name);
        if (it.name == m_options.self)
            ages.push_back(Duration::zero());
        else if (progress != m_progress.end() && progress->second.voterId == it.storageId)
            ages.push_back(std::max(Duration::zero(), now - progress->second.acknowledgedSentAt));
    }
    if (ages.size() < majoritySize())
        return std::nullopt;
    std::sort(ages.begin(), ages.end());
    return ages[majoritySize() - 1];
}

bool ConfigurationNode::hasDynamicMembership() const
{
    return m_options.toleratedLosses > 0;
}

std::size_t ConfigurationNode::targetVoterCount() const
{
    return 2 * m_options.toleratedLosses + 1;
}

std::size_t ConfigurationNode::voterCountInDomainOf(std::string_view vm) const
{
    const auto domainOf = [this](std::string_view name) {
        const auto it = std::find_if(m_options.members.begin(), m_options.members.end(),
                                     [&](const auto &member) { return member.name == name; });
        return it == m_options.members.end() ? std::string_view() : std::string_view(it->domain);
    };
    const auto domain = domainOf(vm);
    const auto &voters = m_log.voters();
    return domain.empty()
        ? 0
        : static_cast<std::size_t>(std::count_if(
            voters.begin(), voters.end(), [&](const auto &it) { return domainOf(it.name) == domain; }));
}

bool ConfigurationNode::hasDomainTooManyVoters(std::string_view vm) const
{
    return voterCountInDomainOf(vm) > m_options.toleratedLosses;
}

bool ConfigurationNode::isUnresponsive(TimePoint now, const Voter &voter) const
{
    if (voter.name == m_options.self)
        return false;
    const auto it = m_progress.find(voter.name);
    return it == m_progress.end() || now - it->second.lastReplyAt > m_options.unresponsiveVoterTimeout;
}

void ConfigurationNode::adjustVoters(TimePoint now)
{
    if (now < m_nextVoterCheckAt)
        return;
    m_nextVoterCheckAt = now + voterCheckInterval;
    const bool hasOwnCommit = m_log.termAt(m_commitIndex) == m_term;
    if (!hasOwnCommit || m_log.votersEntryIndex() > m_commitIndex)
        return;
    if (removeOneVoter(now) || addOneVoter(now))
        broadcast(now);
}

bool ConfigurationNode::isCaughtUp(TimePoint now, const std::string &vm) const
{
    const auto it = m_progress.find(vm);
    return it != m_progress.end() && it->second.voterId
        && it->second.matchIndex + maximumEntriesPerMessage >= m_commitIndex && it->second.matchIndex > 0
        && now - it->second.lastReplyAt < 2 * m_options.learnerHeartbeatInterval;
}

bool ConfigurationNode::removeOneVoter(TimePoint now)
{
    const auto &voters = m_log.voters();
    const auto follows = [&](const Voter &voter) {
        return voter.name == m_options.self
            || (isCaughtUp(now, voter.name) && m_progress[voter.name].voterId == voter.storageId);
    };
    const bool isOneUnresponsive =
        std::any_of(voters.begin(), voters.end(), [&](const auto &it) { return isUnresponsive(now, it); });
    for (const auto &it : voters) {
        const bool isReplaced = isCaughtUp(now, it.name) && m_progress[it.name].voterId != it.storageId;
        const bool isSurplus = hasDynamicMembership() ? voters.size() > targetVoterCount()
                && (isOneUnresponsive ? isUnresponsive(now, it) : hasDomainTooManyVoters(it.name))
                                                      : !isConfiguredVoter(it.name);
        if (it.name == m_options.self || (!isReplaced && !isSurplus))
            continue;
        auto fewer = voters;
        std::erase(fewer, it);
        const auto following = static_cast<std::size_t>(std::count_if(fewer.begin(), fewer.end(), follows));
        if (following < fewer.size() / 2 + 1)
            continue;
        proposeVoters(std::move(fewer));
        return true;
    }
    return false;
}

bool ConfigurationNode::addOneVoter(TimePoint now)
{
    const auto &voters = m_log.voters();
    const auto responsive =
        std::count_if(voters.begin(), voters.end(), [&](const auto &it) { return !isUnresponsive(now, it); });
    const bool hasOverfullDomain = std::any_of(
        voters.begin(), voters.end(), [&](const auto &it) { return hasDomainTooManyVoters(it.name); });
    const bool isComplete = static_cast<std::size_t>(responsive) >= targetVoterCount();
    // A replacement adds the new voter before it removes the old one: a group of two tolerates no lost disk.
    if (hasDynamicMembership() && (voters.size() > targetVoterCount() || (isComplete && !hasOverfullDomain)))
        return false;
    const ConfigurationMember *best = nullptr;
    for (const auto &it : m_options.members) {
        if (!it.isVoter || it.name == m_options.self || hasVoterNamed(it.name) || !isCaughtUp(now, it.name))
            continue;
        if (best == nullptr || voterCountInDomainOf(it.name) < voterCountInDomainOf(best->name))
            best = &it;
    }
    // A complete group adds another voter only if that improves the spread over the failure domains.
    if (best == nullptr
        || (hasDynamicMembership() && isComplete
            && voterCountInDomainOf(best->name) >= m_options.toleratedLosses))
        return false;
    auto more = m_log.voters();
    more.push_back({best->name, *m_progress[best->name].voterId});
    proposeVoters(std::move(more));
    return true;
}

void ConfigurationNode::proposeVoters(std::vector<Voter> voters)
{
    LogEntry entry;
    entry.kind = LogEntryKind::Voters;
    entry.voters = std::move(voters);
    appendNewEntry(entry);
}

void ConfigurationNode::forwardProposal(TimePoint now, Proposal &proposal)
{
    if (m_hasStorageFailed || m_leader.empty()) {
        proposal.resendAt = now + leaderlessRetryInterval;
        return;
    }
    proposal.resendAt = now + m_options.proposalResendInterval;
    proposal.isForwarded = true;
    if (m_role == ConfigurationRole::Leader) {
        appendProposal(proposal.change);
        broadcast(now);
        return;
    }
    auto message = newMessage();
    toWire(proposal.change, message.mutable_proposal());
    sendNow(m_leader, message);
}

void ConfigurationNode::appendProposal(const ConfigurationChange &change)
{
    ChangeAnswer buffer;
    if (m_state.findDuplicateAnswer(change, buffer) != nullptr && !m_options.faults.forgetsAnswers)
        return;
    if (m_log.lastIndex() - m_commitIndex >= maximumUncommittedEntries)
        return;
    for (auto it = m_commitIndex + 1; it <= m_log.lastIndex(); ++it) {
        const auto &entry = m_log.at(it);
        const bool isSame = entry.kind == LogEntryKind::Change && entry.change.id == change.id
            && contentHashOf(entry.change) == contentHashOf(change);
        if (isSame)
            return;
    }
    LogEntry entry;
    entry.kind = LogEntryKind::Change;
    entry.change = change;
    appendNewEntry(entry);
}

void ConfigurationNode::resendProposals(TimePoint now)
{
    for (std::size_t i = 0; i < m_proposals.size();) {
        auto &proposal = m_proposals[i];
        if (now >= proposal.deadline) {
            answerUndecided(proposal);
            m_proposals.erase(m_proposals.begin() + static_cast<std::ptrdiff_t>(i));
            continue;
        }
        if (now >= proposal.resendAt)
            forwardProposal(now, proposal);
        ++i;
    }
}

void ConfigurationNode::answerUndecided(const Proposal &proposal)
{
    ChangeAnswer answer;
    answer.id = proposal.change.id;
    answer.outcome = proposal.isForwarded ? ChangeOutcome::Unknown : ChangeOutcome::NoLeader;
    answer.version = m_activeConfiguration.version;
    m_actions.emplace_back(AnswerChange{proposal.request, answer});
}

void ConfigurationNode::endProposals()
{
    for (const auto &it : m_proposals)
        answerUndecided(it);
    m_proposals.clear();
}

void ConfigurationNode::answerProposals()
{
    std::erase_if(m_proposals, [&](const auto &it) {
        ChangeAnswer buffer;
        const auto *answer = m_state.findDuplicateAnswer(it.change, buffer);
        if (answer != nullptr)
            m_actions.emplace_back(AnswerChange{it.request, *answer});
        return answer != nullptr;
    });
}

void ConfigurationNode::releaseSynced()
{
    const auto covers = [&](std::uint64_t token) {
        return token <= m_syncedToken || m_options.faults.skipsSync;
    };
    std::erase_if(m_pendingMessages, [&](auto &it) {
        const bool isSynced = covers(it.token);
        if (isSynced)
            m_actions.emplace_back(std::move(it.send));
        return isSynced;
    });
    bool hasActivated = false;
    while (!m_pendingActivations.empty() && covers(m_pendingActivations.front().token)) {
        m_activeConfiguration = std::move(m_pendingActivations.front().configuration);
        m_pendingActivations.pop_front();
        hasActivated = true;
    }
    if (!hasActivated)
        return;
    m_actions.emplace_back(ActivateConfiguration{m_activeConfiguration});
    answerProposals();
}

ConfigurationNode::Message ConfigurationNode::newMessage() const
{
    Message message;
    message.set_term(m_term);
    message.set_storage(m_storageId);
    message.set_voter(voterId());
    message.set_undecided(!m_isIdentityKnown);
    return message;
}

void ConfigurationNode::sendNow(const std::string &vm, const Message &message)
{
    m_actions.emplace_back(SendConfigurationMessage{vm, message.SerializeAsString()});
}

void ConfigurationNode::sendAfterSync(std::uint64_t token, const std::string &vm, const Message &message)
{
    if (token <= m_syncedToken || m_options.faults.skipsSync) {
        sendNow(vm, message);
        return;
    }
    m_pendingMessages.push_back({token, {vm, message.SerializeAsString()}});
}

} // namespace Citronpitch
