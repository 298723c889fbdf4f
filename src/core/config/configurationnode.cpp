#include "citronpitch/configurationnode.h"

#include "core/config/configurationwire.h"

#include <algorithm>
#include <utility>

namespace Citronpitch {

namespace wire = citronpitch::wire::configuration;

namespace {

constexpr Duration greetingPeriod = std::chrono::milliseconds(300);
constexpr Duration voterCheckPeriod = std::chrono::milliseconds(100);
constexpr Duration proposalPoll = std::chrono::milliseconds(50);

/// After this time under a leader a VM that can't find out whether it is a founder joins as a new voter.
constexpr Duration undecidedLimit = std::chrono::seconds(5);

/// Silence of the leader after which a learner no longer passes changes on to it.
constexpr Duration learnerLeaderTimeout = std::chrono::seconds(3);

/// A stamp holds the microseconds since the start of a life, and bits that tell the life from others.
constexpr int elapsedBits = 42;
constexpr std::uint64_t lifeMask = (1 << 20) - 1;

constexpr std::size_t maximumEntriesPerMessage = 64;
constexpr std::uint64_t maximumUncommittedEntries = 1000;

std::uint64_t mix(std::uint64_t value)
{
    value += 0x9e3779b97f4a7c15;
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9;
    value = (value ^ (value >> 27)) * 0x94d049bb133111eb;
    return value ^ (value >> 31);
}

std::vector<Voter> foundersOf(const ConfigurationNodeOptions &options)
{
    std::vector<Voter> founders;
    for (const auto &it : options.founders)
        founders.push_back({it, foundingStorage});
    if (options.toleratedLosses > 0)
        return founders;
    for (const auto &it : options.members) {
        if (it.isVoter)
            founders.push_back({it.name, foundingStorage});
    }
    return founders;
}

} // namespace

ConfigurationNode::ConfigurationNode(TimePoint now, const ConfigurationNodeOptions &options,
                                     const std::vector<std::string> &records)
    : m_options(options)
    , m_log(foundersOf(options))
    , m_shown(options.initial)
    , m_startedAt(now)
{
    recover(records);
    setFirstElection(now);
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
        voteRequested(now, sender, message);
        break;
    case Message::kVoteReply:
        voteAnswered(now, sender, message);
        break;
    case Message::kAppend:
        appendArrived(now, sender, message);
        break;
    case Message::kAppendReply:
        replyArrived(now, sender, message);
        break;
    case Message::kInstallSnapshot:
        snapshotArrived(now, sender, message);
        break;
    case Message::kProposal:
        if (const auto change = fromWire(message.proposal()); change && m_role == ConfigurationRole::Leader) {
            takeProposal(*change);
            broadcast(now);
        }
        break;
    case Message::kHello:
        greeted(sender, message.storage());
        break;
    case Message::kHelloReply:
        greetingAnswered(sender, message.storage(), message.hello_reply().known_storage());
        break;
    default:
        break;
    }
}

void ConfigurationNode::synced(TimePoint now, std::uint64_t token)
{
    m_syncedToken = std::max(m_syncedToken, token);
    while (!m_openSyncs.empty() && m_openSyncs.front().token <= token) {
        m_syncedIndex = std::max(m_syncedIndex, m_openSyncs.front().lastIndex);
        m_openSyncs.pop_front();
    }
    releaseHeld();
    if (m_role == ConfigurationRole::Leader)
        advanceLeaderCommit(now);
}

void ConfigurationNode::storageFailed()
{
    m_hasStorageFailed = true;
    m_role = ConfigurationRole::Follower;
    m_leader.clear();
    m_progress.clear();
    m_heldMessages.clear();
    m_heldShows.clear();
    // What was committed may not be shown any more.
    m_confirmedAt.reset();
}

void ConfigurationNode::tick(TimePoint now)
{
    resendProposals(now);
    if (m_hasStorageFailed)
        return;
    greet(now);
    if (m_role == ConfigurationRole::Leader) {
        if (quorumAge(now) > m_options.electionTimeout) {
            becomeFollower(now, m_term, {});
            return;
        }
        for (const auto &[vm, progress] : m_progress) {
            if (now >= progress.nextSend)
                sendAppend(now, vm);
        }
        manageVoters(now);
        return;
    }
    if (!m_leader.empty() && now - m_leaderHeard > learnerLeaderTimeout)
        m_leader.clear();
    if (m_isDecided && isVoter({m_options.self, voterIdentity()}) && now >= m_electionDeadline)
        startElection(now, true);
}

void ConfigurationNode::propose(TimePoint now, ChangeRequestId request, const ConfigurationChange &change)
{
    Proposal proposal{request, change, now, now + m_options.proposalTimeout, false};
    ChangeAnswer buffer;
    if (const auto *answer = m_state.recall(change, buffer)) {
        m_actions.emplace_back(AnswerChange{request, *answer});
        return;
    }
    passOn(now, proposal);
    m_proposals.push_back(std::move(proposal));
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
            m_progress[it.name] = {std::nullopt, 0, m_commit + 1, now, now};
    }
}

void ConfigurationNode::assignHolder(TimePoint now, const GroupHolder &wanted)
{
    if (m_role != ConfigurationRole::Leader || m_hasStorageFailed)
        return;
    const auto isSame = [&](const LogEntry &entry) {
        return entry.kind == EntryKind::Change && entry.change.kind == ChangeKind::SetHolder
            && entry.change.holder.group == wanted.group && entry.change.holder.fence == wanted.fence;
    };
    for (auto it = m_commit + 1; it <= m_log.lastIndex(); ++it) {
        if (isSame(m_log.at(it)))
            return;
    }
    LogEntry entry;
    entry.kind = EntryKind::Change;
    entry.change.kind = ChangeKind::SetHolder;
    entry.change.holder = wanted;
    entry.change.proposedAt = now;
    appendOwn(entry);
    broadcast(now);
}

std::vector<ConfigurationAction> ConfigurationNode::takeActions()
{
    flushRecords();
    return std::exchange(m_actions, {});
}

const Configuration &ConfigurationNode::shown() const
{
    return m_shown;
}

const ConfigurationState &ConfigurationNode::state() const
{
    return m_state;
}

std::optional<Duration> ConfigurationNode::age(TimePoint now) const
{
    if (m_role == ConfigurationRole::Leader)
        return quorumAge(now);
    if (!m_freshAt)
        return std::nullopt;
    return std::max(Duration::zero(), now - *m_freshAt);
}

std::optional<Duration> ConfigurationNode::confirmedAge(TimePoint now) const
{
    if (!m_heldShows.empty())
        return std::nullopt;
    if (m_role == ConfigurationRole::Leader)
        return leaderConfirmedAge(now);
    if (!m_confirmedAt)
        return std::nullopt;
    return std::max(Duration::zero(), now - *m_confirmedAt);
}

ConfigurationRole ConfigurationNode::role() const
{
    const bool votes = m_isDecided && isVoter({m_options.self, voterIdentity()});
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
    return m_commit;
}

std::uint64_t ConfigurationNode::voterIdentity() const
{
    return m_isDecided && m_isFounder ? foundingStorage : m_storage;
}

bool ConfigurationNode::hasStorageFailed() const
{
    return m_hasStorageFailed;
}

const std::map<std::string, FollowerProgress, std::less<>> &ConfigurationNode::progress() const
{
    return m_progress;
}

std::int64_t ConfigurationNode::stamp(TimePoint now) const
{
    const auto life = static_cast<std::int64_t>(m_options.seed & lifeMask);
    return (life << elapsedBits) | (now - m_startedAt).count();
}

std::optional<TimePoint> ConfigurationNode::unstamp(std::int64_t value) const
{
    const auto life = static_cast<std::int64_t>(m_options.seed & lifeMask);
    if (value == 0 || value >> elapsedBits != life)
        return std::nullopt;
    return m_startedAt + Duration(value & ((std::int64_t{1} << elapsedBits) - 1));
}

void ConfigurationNode::greet(TimePoint now)
{
    if (m_isDecided || now < m_nextGreeting)
        return;
    m_nextGreeting = now + greetingPeriod;
    if (m_ledWhileUndecided && now - *m_ledWhileUndecided > undecidedLimit) {
        decideIdentity(false);
        return;
    }
    auto message = newMessage();
    message.mutable_hello();
    for (const auto &it : m_options.members) {
        if (it.isVoter && it.name != m_options.self && !m_foundingAnswers.contains(it.name))
            sendAfter(recordsToken(), it.name, message);
    }
}

void ConfigurationNode::greeted(const std::string &vm, std::uint64_t storage)
{
    const bool isFounding = m_log.lastIndex() == 0 && !(m_isDecided && m_isFounder);
    if (isFounding && isNamedVoter(vm))
        bindStorage(vm, storage);
    auto message = newMessage();
    message.mutable_hello_reply()->set_known_storage(knownStorageOf(vm));
    sendAfter(recordsToken(), vm, message);
}

void ConfigurationNode::greetingAnswered(const std::string &vm, std::uint64_t storage, std::uint64_t known)
{
    if (m_isDecided || !isNamedVoter(vm))
        return;
    if (known != m_storage) {
        decideIdentity(false);
        return;
    }
    bindStorage(vm, storage);
    m_foundingAnswers.insert(vm);
    const auto voters = foundersOf(m_options);
    if (m_foundingAnswers.size() + 1 == voters.size())
        decideIdentity(true);
}

void ConfigurationNode::bindStorage(const std::string &vm, std::uint64_t storage)
{
    if (!m_knownStorages.emplace(vm, storage).second)
        return;
    Record record;
    record.mutable_known_storage()->set_name(vm);
    record.mutable_known_storage()->set_storage(storage);
    keep(record);
}

void ConfigurationNode::decideIdentity(bool isFounder)
{
    m_isDecided = true;
    m_isFounder = isFounder;
    keepIdentity();
    m_termToken = m_nextToken;
}

std::uint64_t ConfigurationNode::knownStorageOf(const std::string &vm) const
{
    const auto it = m_knownStorages.find(vm);
    return it == m_knownStorages.end() ? 0 : it->second;
}

bool ConfigurationNode::isNamedVoter(std::string_view name) const
{
    return std::any_of(m_options.members.begin(), m_options.members.end(),
                       [&](const auto &it) { return it.isVoter && it.name == name; });
}

void ConfigurationNode::setElectionDeadline(TimePoint now)
{
    const auto spread = static_cast<std::uint64_t>(m_options.electionTimeout.count());
    const auto draw = mix(m_options.seed + mix(++m_draws)) % spread;
    m_electionDeadline = now + m_options.electionTimeout + Duration(static_cast<std::int64_t>(draw));
}

void ConfigurationNode::setFirstElection(TimePoint now)
{
    const auto spread = static_cast<std::uint64_t>(2 * m_options.firstElection.count());
    const auto draw = mix(m_options.seed + mix(++m_draws)) % spread;
    m_electionDeadline = now + m_options.firstElection + Duration(static_cast<std::int64_t>(draw));
}

void ConfigurationNode::startElection(TimePoint now, bool isPre)
{
    m_role = isPre ? ConfigurationRole::PreCandidate : ConfigurationRole::Candidate;
    m_leader.clear();
    m_grants = {m_options.self};
    setElectionDeadline(now);
    if (!isPre) {
        ++m_term;
        m_vote = m_options.self;
        keepTerm();
    }
    if (m_grants.size() >= majority()) {
        isPre ? startElection(now, false) : becomeLeader(now);
        return;
    }
    auto message = newMessage();
    auto *request = message.mutable_vote_request();
    request->set_pre(isPre);
    request->set_last_index(m_log.lastIndex());
    request->set_last_term(m_log.lastTerm());
    for (const auto &it : m_log.voters()) {
        if (it.name != m_options.self)
            sendAfter(m_termToken, it.name, message);
    }
}

void ConfigurationNode::becomeFollower(TimePoint now, std::uint64_t term, const std::string &leader)
{
    const bool isNewTerm = term > m_term;
    if (isNewTerm) {
        m_term = term;
        m_vote.clear();
    }
    const bool isNewVote = !leader.empty() && m_vote.empty();
    if (isNewVote)
        m_vote = leader;
    if (isNewTerm || isNewVote)
        keepTerm();
    if (m_role != ConfigurationRole::Follower)
        setElectionDeadline(now);
    if (m_role == ConfigurationRole::Leader)
        m_freshAt = now - quorumAge(now);
    m_role = ConfigurationRole::Follower;
    m_leader = leader;
    m_progress.clear();
}

void ConfigurationNode::becomeLeader(TimePoint now)
{
    m_role = ConfigurationRole::Leader;
    m_leader = m_options.self;
    m_progress.clear();
    for (const auto &it : m_options.members)
        m_progress[it.name];
    for (const auto &it : m_log.voters())
        m_progress[it.name];
    m_progress.erase(m_options.self);
    for (auto &[vm, progress] : m_progress)
        progress = {std::nullopt, 0, m_commit + 1, now, now};
    for (const auto &it : m_log.voters()) {
        if (it.name != m_options.self)
            m_progress[it.name].next = m_log.lastIndex() + 1;
    }
    LogEntry entry;
    if (!m_state.isInitialised()) {
        entry.kind = EntryKind::Initial;
        entry.change.classes = m_options.initial.classes;
        entry.change.teams = m_options.initial.teams;
    }
    const bool isFirst = entry.kind == EntryKind::Initial;
    appendOwn(entry);
    // VMs that join later learn the founding voters from the log alone.
    if (isFirst && isMembershipOpen())
        proposeVoters(m_log.voters());
    for (const auto &[vm, progress] : m_progress)
        sendAppend(now, vm);
}

void ConfigurationNode::voteRequested(TimePoint now, const std::string &vm, const Message &message)
{
    const auto &request = message.vote_request();
    if (!m_isDecided || hasRecentLeader(now))
        return;
    if (!request.pre() && message.term() > m_term)
        becomeFollower(now, message.term(), {});
    const bool isLogNew =
        std::pair(request.last_term(), request.last_index()) >= std::pair(m_log.lastTerm(), m_log.lastIndex())
        || m_options.faults.votesForAnyLog;
    const bool isVoteFree = request.pre() || m_vote.empty() || m_vote == vm;
    const bool isGranted = isLogNew && isVoteFree && message.term() >= m_term;
    if (isGranted && !request.pre()) {
        if (m_vote.empty()) {
            m_vote = vm;
            keepTerm();
        }
        setElectionDeadline(now);
    }
    auto reply = newMessage();
    if (isGranted)
        reply.set_term(message.term());
    reply.mutable_vote_reply()->set_pre(request.pre());
    reply.mutable_vote_reply()->set_granted(isGranted);
    sendAfter(m_termToken, vm, reply);
}

void ConfigurationNode::voteAnswered(TimePoint now, const std::string &vm, const Message &message)
{
    const auto &reply = message.vote_reply();
    const auto asked = reply.pre() ? ConfigurationRole::PreCandidate : ConfigurationRole::Candidate;
    if (m_role != asked || !reply.granted() || message.term() != m_term || message.undecided())
        return;
    if (!isVoter({vm, message.voter()}))
        return;
    m_grants.insert(vm);
    if (m_grants.size() < majority())
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

std::size_t ConfigurationNode::majority() const
{
    return m_log.voters().size() / 2 + 1;
}

bool ConfigurationNode::hasRecentLeader(TimePoint now) const
{
    if (m_role == ConfigurationRole::Leader)
        return true;
    return !m_leader.empty() && now - m_leaderHeard < m_options.electionTimeout;
}

void ConfigurationNode::appendOwn(const LogEntry &entry)
{
    auto own = entry;
    own.index = m_log.lastIndex() + 1;
    own.term = m_term;
    m_log.append(own);
    Record record;
    toWire(own, record.mutable_entry());
    keep(record);
}

void ConfigurationNode::broadcast(TimePoint now)
{
    for (const auto &[vm, progress] : m_progress) {
        if (now - progress.lastReply <= 2 * m_options.learnerHeartbeat)
            sendAppend(now, vm);
    }
}

void ConfigurationNode::sendAppend(TimePoint now, const std::string &vm)
{
    auto &progress = m_progress[vm];
    const bool votes = hasVoterNamed(vm);
    progress.nextSend = now + (votes ? m_options.voterHeartbeat : m_options.learnerHeartbeat);
    if (progress.next <= m_log.snapshotIndex()) {
        sendSnapshot(now, vm);
        return;
    }
    auto message = newMessage();
    auto *append = message.mutable_append();
    append->set_previous_index(progress.next - 1);
    append->set_previous_term(*m_log.termAt(progress.next - 1));
    append->set_commit(m_commit);
    append->set_quorum_age_us(quorumAge(now).count());
    append->set_sent_at(stamp(now));
    if (const auto age = leaderConfirmedAge(now); age && progress.repliedAt != 0) {
        append->set_echoed_at(progress.repliedAt);
        append->set_confirmed_age_us(age->count());
    }
    const bool isSilent = now - progress.lastReply > 2 * m_options.learnerHeartbeat;
    auto end = votes ? m_log.lastIndex() : m_commit;
    end = isSilent ? 0 : std::min(end, progress.next - 1 + maximumEntriesPerMessage);
    for (; progress.next <= end; ++progress.next)
        toWire(m_log.at(progress.next), append->add_entries());
    sendAfter(m_termToken, vm, message);
}

void ConfigurationNode::sendSnapshot(TimePoint now, const std::string &vm)
{
    auto message = newMessage();
    auto *install = message.mutable_install_snapshot();
    install->set_quorum_age_us(quorumAge(now).count());
    install->set_sent_at(stamp(now));
    auto &progress = m_progress[vm];
    const bool isSilent = now - progress.lastReply > 2 * m_options.learnerHeartbeat;
    if (isSilent) {
        // Only asks where the VM stands; its answer brings the snapshot.
        auto probe = newMessage();
        probe.mutable_append()->set_previous_index(m_commit);
        probe.mutable_append()->set_previous_term(*m_log.termAt(m_commit));
        probe.mutable_append()->set_commit(m_commit);
        probe.mutable_append()->set_sent_at(stamp(now));
        sendAfter(m_termToken, vm, probe);
        return;
    }
    toWire(ConfigurationSnapshot{m_commit, *m_log.termAt(m_commit), m_log.votersAt(m_commit), m_state},
           install->mutable_snapshot());
    progress.next = m_commit + 1;
    sendAfter(m_termToken, vm, message);
}

void ConfigurationNode::appendArrived(TimePoint now, const std::string &vm, const Message &message)
{
    const auto &append = message.append();
    const auto echo = append.sent_at();
    if (message.term() < m_term || m_role == ConfigurationRole::Leader) {
        replyToLeader(now, vm, false, m_commit, echo);
        return;
    }
    followLeader(now, vm, message.term());
    const auto previous = append.previous_index();
    if (previous > m_log.lastIndex()) {
        replyToLeader(now, vm, false, m_log.lastIndex(), echo);
        return;
    }
    const auto term = m_log.termAt(previous);
    const bool matches = previous < m_log.snapshotIndex() || term == append.previous_term();
    if (!matches && !m_options.faults.skipsLogMatching) {
        replyToLeader(now, vm, false, m_commit, echo);
        return;
    }
    if (!takeEntries(append))
        return;
    const auto matched = previous + static_cast<std::uint64_t>(append.entries_size());
    replyToLeader(now, vm, true, matched, echo);
    commitTo(now, std::min({append.commit(), matched, m_log.lastIndex()}));
    if (m_commit < append.commit())
        return;
    m_freshAt = std::max(m_freshAt.value_or(TimePoint()), now - Duration(append.quorum_age_us()));
    if (const auto sentAt = unstamp(append.echoed_at())) {
        const auto latest = m_options.faults.trustsArrivals ? now : *sentAt;
        const auto confirmedAt = latest - Duration(append.confirmed_age_us());
        m_confirmedAt = std::max(m_confirmedAt.value_or(confirmedAt), confirmedAt);
    }
}

bool ConfigurationNode::takeEntries(const wire::Append &append)
{
    auto expected = append.previous_index() + 1;
    for (const auto &it : append.entries()) {
        const auto entry = fromWire(it);
        if (!entry || entry->index != expected++)
            return false;
        if (entry->index <= m_log.snapshotIndex() || m_log.termAt(entry->index) == entry->term)
            continue;
        if (entry->index <= m_commit)
            return false;
        m_log.truncateFrom(entry->index);
        m_syncedIndex = std::min(m_syncedIndex, m_log.lastIndex());
        for (auto &open : m_openSyncs)
            open.lastIndex = std::min(open.lastIndex, m_log.lastIndex());
        m_log.append(*entry);
        Record record;
        toWire(*entry, record.mutable_entry());
        keep(record);
    }
    return true;
}

void ConfigurationNode::replyToLeader(TimePoint now, const std::string &vm, bool matched, std::uint64_t index,
                                      std::int64_t echoedAt)
{
    auto message = newMessage();
    message.mutable_append_reply()->set_sent_at(stamp(now));
    message.mutable_append_reply()->set_echoed_at(echoedAt);
    message.mutable_append_reply()->set_matched(matched);
    message.mutable_append_reply()->set_index(index);
    sendAfter(recordsToken(), vm, message);
}

void ConfigurationNode::followLeader(TimePoint now, const std::string &vm, std::uint64_t term)
{
    if (m_leader != vm || m_role != ConfigurationRole::Follower)
        becomeFollower(now, term, vm);
    m_leaderHeard = now;
    setElectionDeadline(now);
    if (!m_isDecided && !m_ledWhileUndecided)
        m_ledWhileUndecided = now;
}

void ConfigurationNode::snapshotArrived(TimePoint now, const std::string &vm, const Message &message)
{
    const auto echo = message.install_snapshot().sent_at();
    if (message.term() < m_term || m_role == ConfigurationRole::Leader) {
        replyToLeader(now, vm, false, m_commit, echo);
        return;
    }
    const auto &install = message.install_snapshot();
    followLeader(now, vm, message.term());
    const auto index = install.snapshot().index();
    // A late snapshot must not drop the entries after it that were acknowledged since.
    if (m_log.termAt(index) == install.snapshot().term())
        commitTo(now, index);
    else if (index > m_commit)
        installSnapshotState(install);
    replyToLeader(now, vm, true, std::min(install.snapshot().index(), m_commit), echo);
    m_freshAt = std::max(m_freshAt.value_or(TimePoint()), now - Duration(install.quorum_age_us()));
}

void ConfigurationNode::replyArrived(TimePoint now, const std::string &vm, const Message &message)
{
    const auto it = m_progress.find(vm);
    if (m_role != ConfigurationRole::Leader || message.term() != m_term || it == m_progress.end())
        return;
    auto &progress = it->second;
    const auto voter = message.undecided() ? std::nullopt : std::optional<std::uint64_t>(message.voter());
    if (progress.voter != voter) {
        progress.voter = voter;
        progress.match = 0;
    }
    progress.lastReply = now;
    const auto &reply = message.append_reply();
    if (const auto sentAt = unstamp(reply.echoed_at()))
        progress.confirmedAt = std::max(progress.confirmedAt, *sentAt);
    progress.repliedAt = reply.sent_at();
    if (reply.matched()) {
        progress.match = std::max(progress.match, reply.index());
        progress.next = std::max(progress.next, progress.match + 1);
        advanceLeaderCommit(now);
    } else if (!m_options.faults.neverCatchesUp) {
        progress.next = std::min(std::max(progress.match, reply.index()), m_log.lastIndex()) + 1;
    }
    if (progress.next <= (hasVoterNamed(vm) ? m_log.lastIndex() : m_commit))
        sendAppend(now, vm);
}

void ConfigurationNode::advanceLeaderCommit(TimePoint now)
{
    std::vector<std::uint64_t> matches;
    for (const auto &it : m_log.voters()) {
        if (it.name == m_options.self) {
            matches.push_back(it.storage == voterIdentity() ? m_syncedIndex : 0);
            continue;
        }
        const auto progress = m_progress.find(it.name);
        const bool counts = progress != m_progress.end() && progress->second.voter == it.storage;
        matches.push_back(counts ? progress->second.match : 0);
    }
    std::sort(matches.rbegin(), matches.rend());
    const auto needed = m_options.faults.commitsWithoutMajority ? 1 : majority();
    const auto index = std::min(matches[needed - 1], m_log.lastIndex());
    if (index <= m_commit || m_log.termAt(index) != m_term)
        return;
    commitTo(now, index);
    broadcast(now);
}

void ConfigurationNode::commitTo(TimePoint now, std::uint64_t index)
{
    if (index <= m_commit)
        return;
    while (m_commit < index)
        apply(m_log.at(++m_commit));
    Record record;
    record.mutable_commit()->set_index(m_commit);
    record.mutable_commit()->set_heard_at_us(microsecondsOf(now));
    keep(record);
    m_heldShows.push_back({m_nextToken, m_state.configuration()});
    compactLog();
    if (m_options.faults.skipsSync)
        releaseHeld();
}

void ConfigurationNode::apply(const LogEntry &entry)
{
    if (entry.kind == EntryKind::Initial)
        m_state.initialise({0, entry.change.classes, entry.change.teams});
    if (entry.kind != EntryKind::Change)
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
            ages.push_back(isSelf ? Duration::zero() : now - progress->second.lastReply);
    }
    if (ages.size() < majority())
        return Duration::zero();
    std::sort(ages.begin(), ages.end());
    return std::max(Duration::zero(), ages[majority() - 1]);
}

std::optional<Duration> ConfigurationNode::leaderConfirmedAge(TimePoint now) const
{
    // Entries of earlier terms may be committed and unknown until one of this term is.
    if (m_log.termAt(m_commit) != m_term)
        return std::nullopt;
    std::vector<Duration> ages;
    for (const auto &it : m_log.voters()) {
        const auto progress = m_progress.find(it.name);
        if (it.name == m_options.self)
            ages.push_back(Duration::zero());
        else if (progress != m_progress.end() && progress->second.voter == it.storage)
            ages.push_back(std::max(Duration::zero(), now - progress->second.confirmedAt));
    }
    if (ages.size() < majority())
        return std::nullopt;
    std::sort(ages.begin(), ages.end());
    return ages[majority() - 1];
}

bool ConfigurationNode::isMembershipOpen() const
{
    return m_options.toleratedLosses > 0;
}

std::size_t ConfigurationNode::wantedVoters() const
{
    return 2 * m_options.toleratedLosses + 1;
}

std::size_t ConfigurationNode::votersBeside(std::string_view vm) const
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

bool ConfigurationNode::isDomainCrowded(std::string_view vm) const
{
    return votersBeside(vm) > m_options.toleratedLosses;
}

bool ConfigurationNode::isAbsent(TimePoint now, const Voter &voter) const
{
    if (voter.name == m_options.self)
        return false;
    const auto it = m_progress.find(voter.name);
    return it == m_progress.end() || now - it->second.lastReply > m_options.absentVoterTimeout;
}

void ConfigurationNode::manageVoters(TimePoint now)
{
    if (now < m_nextVoterCheck)
        return;
    m_nextVoterCheck = now + voterCheckPeriod;
    const bool hasOwnCommit = m_log.termAt(m_commit) == m_term;
    if (!hasOwnCommit || m_log.votersIndex() > m_commit)
        return;
    if (removeOneVoter(now) || addOneVoter(now))
        broadcast(now);
}

bool ConfigurationNode::isCaughtUp(TimePoint now, const std::string &vm) const
{
    const auto it = m_progress.find(vm);
    return it != m_progress.end() && it->second.voter
        && it->second.match + maximumEntriesPerMessage >= m_commit && it->second.match > 0
        && now - it->second.lastReply < 2 * m_options.learnerHeartbeat;
}

bool ConfigurationNode::removeOneVoter(TimePoint now)
{
    const auto &voters = m_log.voters();
    const auto follows = [&](const Voter &voter) {
        return voter.name == m_options.self
            || (isCaughtUp(now, voter.name) && m_progress[voter.name].voter == voter.storage);
    };
    const bool isOneAbsent =
        std::any_of(voters.begin(), voters.end(), [&](const auto &it) { return isAbsent(now, it); });
    for (const auto &it : voters) {
        const bool isReplaced = isCaughtUp(now, it.name) && m_progress[it.name].voter != it.storage;
        const bool isSurplus = isMembershipOpen()
            ? voters.size() > wantedVoters() && (isOneAbsent ? isAbsent(now, it) : isDomainCrowded(it.name))
            : !isNamedVoter(it.name);
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
    const auto present =
        std::count_if(voters.begin(), voters.end(), [&](const auto &it) { return !isAbsent(now, it); });
    const bool isCrowded =
        std::any_of(voters.begin(), voters.end(), [&](const auto &it) { return isDomainCrowded(it.name); });
    const bool isComplete = static_cast<std::size_t>(present) >= wantedVoters();
    // One voter more than usual stands while another one is replaced: a group of two could lose no disk.
    if (isMembershipOpen() && (voters.size() > wantedVoters() || (isComplete && !isCrowded)))
        return false;
    const ConfigurationMember *best = nullptr;
    for (const auto &it : m_options.members) {
        if (!it.isVoter || it.name == m_options.self || hasVoterNamed(it.name) || !isCaughtUp(now, it.name))
            continue;
        if (best == nullptr || votersBeside(it.name) < votersBeside(best->name))
            best = &it;
    }
    // A complete group takes another voter only where that leads to a better spread over the domains.
    if (best == nullptr
        || (isMembershipOpen() && isComplete && votersBeside(best->name) >= m_options.toleratedLosses))
        return false;
    auto more = m_log.voters();
    more.push_back({best->name, *m_progress[best->name].voter});
    proposeVoters(std::move(more));
    return true;
}

void ConfigurationNode::proposeVoters(std::vector<Voter> voters)
{
    LogEntry entry;
    entry.kind = EntryKind::Voters;
    entry.voters = std::move(voters);
    appendOwn(entry);
}

void ConfigurationNode::passOn(TimePoint now, Proposal &proposal)
{
    if (m_hasStorageFailed || m_leader.empty()) {
        proposal.resendAt = now + proposalPoll;
        return;
    }
    proposal.resendAt = now + m_options.proposalResend;
    proposal.isPassedOn = true;
    if (m_role == ConfigurationRole::Leader) {
        takeProposal(proposal.change);
        broadcast(now);
        return;
    }
    auto message = newMessage();
    toWire(proposal.change, message.mutable_proposal());
    sendNow(m_leader, message);
}

void ConfigurationNode::takeProposal(const ConfigurationChange &change)
{
    ChangeAnswer buffer;
    if (m_state.recall(change, buffer) != nullptr && !m_options.faults.forgetsAnswers)
        return;
    if (m_log.lastIndex() - m_commit >= maximumUncommittedEntries)
        return;
    for (auto it = m_commit + 1; it <= m_log.lastIndex(); ++it) {
        const auto &entry = m_log.at(it);
        const bool isSame = entry.kind == EntryKind::Change && entry.change.id == change.id
            && contentHashOf(entry.change) == contentHashOf(change);
        if (isSame)
            return;
    }
    LogEntry entry;
    entry.kind = EntryKind::Change;
    entry.change = change;
    appendOwn(entry);
}

void ConfigurationNode::resendProposals(TimePoint now)
{
    for (std::size_t i = 0; i < m_proposals.size();) {
        auto &proposal = m_proposals[i];
        if (now >= proposal.deadline) {
            ChangeAnswer answer;
            answer.id = proposal.change.id;
            answer.outcome = proposal.isPassedOn ? ChangeOutcome::Unknown : ChangeOutcome::NoLeader;
            answer.version = m_shown.version;
            m_actions.emplace_back(AnswerChange{proposal.request, answer});
            m_proposals.erase(m_proposals.begin() + static_cast<std::ptrdiff_t>(i));
            continue;
        }
        if (now >= proposal.resendAt)
            passOn(now, proposal);
        ++i;
    }
}

void ConfigurationNode::answerProposals()
{
    std::erase_if(m_proposals, [&](const auto &it) {
        ChangeAnswer buffer;
        const auto *answer = m_state.recall(it.change, buffer);
        if (answer != nullptr)
            m_actions.emplace_back(AnswerChange{it.request, *answer});
        return answer != nullptr;
    });
}

void ConfigurationNode::releaseHeld()
{
    const auto covers = [&](std::uint64_t token) {
        return token <= m_syncedToken || m_options.faults.skipsSync;
    };
    std::erase_if(m_heldMessages, [&](auto &it) {
        const bool isFree = covers(it.token);
        if (isFree)
            m_actions.emplace_back(std::move(it.send));
        return isFree;
    });
    bool hasShown = false;
    while (!m_heldShows.empty() && covers(m_heldShows.front().token)) {
        m_shown = std::move(m_heldShows.front().configuration);
        m_heldShows.pop_front();
        hasShown = true;
    }
    if (!hasShown)
        return;
    m_actions.emplace_back(ShowConfiguration{m_shown});
    answerProposals();
}

ConfigurationNode::Message ConfigurationNode::newMessage() const
{
    Message message;
    message.set_term(m_term);
    message.set_storage(m_storage);
    message.set_voter(voterIdentity());
    message.set_undecided(!m_isDecided);
    return message;
}

void ConfigurationNode::sendNow(const std::string &vm, const Message &message)
{
    m_actions.emplace_back(SendConfigurationMessage{vm, message.SerializeAsString()});
}

void ConfigurationNode::sendAfter(std::uint64_t token, const std::string &vm, const Message &message)
{
    if (token <= m_syncedToken || m_options.faults.skipsSync) {
        sendNow(vm, message);
        return;
    }
    m_heldMessages.push_back({token, {vm, message.SerializeAsString()}});
}

} // namespace Citronpitch
