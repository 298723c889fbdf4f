#pragma once

#include "citronpitch/configurationlog.h"
#include "citronpitch/configurationstate.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace citronpitch::wire::configuration {
class Append;
class AppendReply;
class InstallSnapshot;
class Message;
class Record;
class VoteReply;
class VoteRequest;
} // namespace citronpitch::wire::configuration

namespace Citronpitch {

/// ID of an operator's request, chosen by the owner of the node.
using ChangeRequestId = std::uint64_t;

/// An entry VM as a member of the replication group.
struct ConfigurationMember
{
    std::string name;
    /// Whether the settings allow it to become a voter.
    bool isVoter = true;
    /// Failure domain; empty if unknown.
    std::string domain;

    bool operator==(const ConfigurationMember &) const = default;
};

/**
 * @brief Faults that tests inject one at a time to show that the fuzzer detects them.
 *
 * Code outside tests/ leaves all of them off.
 */
struct ConfigurationTestFaults
{
    /// Acknowledges entries, sends votes and activates configurations before they are synced.
    bool skipsSync = false;
    /// Votes for a candidate whose log is out of date.
    bool votesForAnyLog = false;
    /// Drops its recorded vote at a restart.
    bool forgetsVote = false;
    /// Treats a VM with a new disk as the voter that it was before.
    bool ignoresStorageId = false;
    /// Appends received entries without checking the preceding entry.
    bool skipsLogMatchingCheck = false;
    /// Drops the retained answers, so that a resent change is applied again.
    bool forgetsAnswers = false;
    /// Ignores the version that a change is based on.
    bool ignoresBasedOn = false;
    /// Commits on fewer acknowledgements than a majority.
    bool commitsWithoutMajority = false;
    /// Restarts with the initial configuration instead of the last active one.
    bool forgetsCommit = false;
    /// Never sends missing entries to a learner.
    bool skipsCatchUp = false;
    /// Uses the arrival time of a message as its send time, which is wrong after a process freeze.
    bool usesArrivalTimes = false;
};

/// Options of a ConfigurationNode.
struct ConfigurationNodeOptions
{
    std::string self;
    /// Every entry VM including this one, in the same order on each.
    std::vector<ConfigurationMember> members;
    /// Random storage ID, used only if the journal is empty; above 0.
    std::uint64_t newStorageId = 1;
    /// Seed of the random election timeouts; its low 20 bits identify this incarnation in timestamps.
    std::uint64_t seed = 1;
    /// Declarations before the first change.
    Configuration initial;
    Duration voterHeartbeatInterval = std::chrono::milliseconds(150);
    Duration learnerHeartbeatInterval = std::chrono::milliseconds(1000);
    /// Minimum election timeout; the maximum is twice as long.
    Duration electionTimeout = std::chrono::milliseconds(600);
    /// Minimum delay from the start of a process to its first election; the maximum is three times as long.
    /// Until a leader is known, it replaces electionTimeout in further elections, too. They don't disturb an
    /// active leader, because a pre-vote precedes each election.
    Duration firstElectionTimeout = std::chrono::milliseconds(600);
    Duration proposalResendInterval = std::chrono::milliseconds(300);
    /// How long an operator's request waits for its answer.
    Duration proposalTimeout = std::chrono::seconds(5);
    /// Log entries retained before a snapshot; a snapshot is taken after as many new commits.
    std::uint64_t retainedEntries = 1000;
    /// Dynamic membership: how many VMs may be lost at once together with their disks. Zero: static
    /// membership, in which the voters are those that @ref members names.
    std::size_t toleratedLosses = 0;
    /// Dynamic membership: the voters at the first start of the fleet. Set only in the first incarnation of
    /// its VMs.
    std::vector<std::string> initialVoters;
    /// Dynamic membership: time without a reply after which a voter is replaced.
    Duration unresponsiveVoterTimeout = std::chrono::milliseconds(1500);
    ConfigurationTestFaults faults;
};

/// Append the records to the journal; call synced() with the token once they are on the disk.
struct AppendRecords
{
    std::vector<std::string> records;
    std::uint64_t token = 0;
};

/// Replace the whole journal by the records; call synced() with the token once they are on the disk.
struct ReplaceRecords
{
    std::vector<std::string> records;
    std::uint64_t token = 0;
};

/// Send a message to another entry VM; it may be lost, duplicated or delayed.
struct SendConfigurationMessage
{
    std::string vm;
    std::string bytes;
};

/// Use this configuration from now on.
struct ActivateConfiguration
{
    Configuration configuration;
};

/// Answer an operator's request.
struct AnswerChange
{
    ChangeRequestId request = 0;
    ChangeAnswer answer;
};

/// An action that the owner of a ConfigurationNode must execute.
using ConfigurationAction = std::variant<AppendRecords, ReplaceRecords, SendConfigurationMessage,
                                         ActivateConfiguration, AnswerChange>;

/// Role of an entry VM in the replication group.
enum class ConfigurationRole {
    /// Receives the configuration and has no vote.
    Learner,
    Follower,
    /// Collects pre-votes, which show whether it could win an election.
    PreCandidate,
    Candidate,
    Leader,
};

inline constexpr std::array configurationRoleNames{
    EnumName<ConfigurationRole>{ConfigurationRole::Learner, "learner"},
    EnumName<ConfigurationRole>{ConfigurationRole::Follower, "follower"},
    EnumName<ConfigurationRole>{ConfigurationRole::PreCandidate, "preCandidate"},
    EnumName<ConfigurationRole>{ConfigurationRole::Candidate, "candidate"},
    EnumName<ConfigurationRole>{ConfigurationRole::Leader, "leader"},
};

/// Replication progress of another VM, as the leader knows it.
struct FollowerProgress
{
    /// Voter ID in the last reply; empty before the first reply or while the VM has not settled its identity.
    std::optional<std::uint64_t> voterId;
    std::uint64_t matchIndex = 0;
    std::uint64_t nextIndex = 1;
    TimePoint lastReplyAt;
    TimePoint nextSendAt;
    /// Send time of the newest message that the VM has answered.
    TimePoint acknowledgedSentAt;
    /// Timestamp of its newest reply, by its own clock.
    std::int64_t lastReplyTimestamp = 0;
    /// When the oldest long message with entries or a snapshot was sent that no reply has followed yet.
    TimePoint contentSentAt;
    /// Index of the newest snapshot that was sent.
    std::uint64_t snapshotIndex = 0;
};

/**
 * @brief Replicates the configuration with Raft on one entry VM and decides the operators' changes.
 *
 * Does no I/O, reads no clock and uses no random device. After every call the owner executes takeActions() in
 * order; records must reach the disk in the order in which they were returned. Used by ConfigurationService
 * and by the fuzzers. docs/decisions/configuration.md describes the protocol and why it is safe.
 */
class ConfigurationNode
{
public:
    /// Recovers from the records of the journal, in order; none at the first start or after the loss of the
    /// disk.
    ConfigurationNode(TimePoint now, const ConfigurationNodeOptions &options,
                      const std::vector<std::string> &records);
    ~ConfigurationNode();

    /// Handles a message from @p vm. A malformed one is ignored.
    void receive(TimePoint now, std::string_view vm, std::string_view bytes);

    /// Reports that all records up to those with @p token are on the disk.
    void synced(TimePoint now, std::uint64_t token);

    /// Reports that the disk can't be written any more: this VM no longer votes or learns, and keeps its
    /// active configuration.
    void storageFailed();

    /// Answers all changes that are not decided yet as ChangeOutcome::Unknown, or as NoLeader where they were
    /// forwarded to none. To be called before another node replaces this one.
    void endProposals();

    /// Handles timeouts. Must be called every few milliseconds.
    void tick(TimePoint now);

    /// Proposes @p change for an operator; exactly one AnswerChange follows.
    void propose(TimePoint now, ChangeRequestId request, const ConfigurationChange &change);

    /// Resends the change of @p request no more and does not answer it. A message that was sent may still
    /// arrive and take effect.
    void withdraw(ChangeRequestId request);

    /// Dynamic membership: sets the current VMs; this one may be among them.
    void setMembers(TimePoint now, const std::vector<ConfigurationMember> &members);

    /// Assigns the group of @p wanted to its VM, replacing the holder with its fencing token. No effect
    /// unless this VM is the leader.
    void assignHolder(TimePoint now, const GroupHolder &wanted);

    /// Divides the upstreams of a failure domain into other groups. No effect unless this VM is the leader.
    void setPartition(TimePoint now, const DomainPartition &wanted);

    std::vector<ConfigurationAction> takeActions();

    /// The configuration that this VM uses.
    const Configuration &activeConfiguration() const;
    /// The committed state, which may be newer than the active configuration.
    const ConfigurationState &state() const;
    /// Estimated time since the active configuration was the newest, based on arrival times; empty if
    /// unknown.
    std::optional<Duration> configurationAge(TimePoint now) const;

    /**
     * Upper bound of the time since no newer configuration than the active one was accepted.
     *
     * Based on replies to messages that this VM sent itself, so it also holds after a process freeze. Empty
     * if unknown in this incarnation.
     */
    std::optional<Duration> confirmedAge(TimePoint now) const;

    ConfigurationRole role() const;
    std::uint64_t term() const;
    /// Name of the leader; empty if unknown.
    const std::string &leader() const;
    const ConfigurationLog &log() const;
    std::uint64_t commitIndex() const;
    /// Highest commit index that a leader has reported to this VM in this incarnation, or its own; log
    /// entries that are missing up to it are still to arrive.
    std::uint64_t leaderCommitIndex() const;
    /// Storage ID under which this VM votes.
    std::uint64_t voterId() const;
    bool hasStorageFailed() const;
    /// Replication progress of the other VMs; empty unless this VM is the leader.
    const std::map<std::string, FollowerProgress, std::less<>> &progress() const;

private:
    using Message = citronpitch::wire::configuration::Message;
    using Record = citronpitch::wire::configuration::Record;

    /// A message that waits until the records it depends on are on the disk.
    struct PendingMessage
    {
        std::uint64_t token = 0;
        SendConfigurationMessage send;
    };

    /// A configuration that becomes active once its commit is on the disk.
    struct PendingActivation
    {
        std::uint64_t token = 0;
        Configuration configuration;
    };

    /// Records that are not synced yet, and the last log index that they cover.
    struct PendingSync
    {
        std::uint64_t token = 0;
        std::uint64_t lastIndex = 0;
    };

    /// An operator's request whose change is not decided yet.
    struct Proposal
    {
        ChangeRequestId request = 0;
        ConfigurationChange change;
        TimePoint resendAt;
        TimePoint deadline;
        bool isForwarded = false;
    };

    // Recovery and records (configurationnoderecords.cpp).
    void recover(const std::vector<std::string> &records);
    void recover(const Record &record);
    void recoverLogEntry(const LogEntry &entry);
    void queueRecord(const Record &record);
    void queueTermRecord();
    void queueIdentityRecord();
    /// Token of the newest record.
    std::uint64_t newestRecordToken() const;
    void flushRecords();
    void installSnapshotState(const citronpitch::wire::configuration::InstallSnapshot &message);
    void compactLog();
    void replaceJournal();
    std::vector<std::string> journalRecords() const;

    /// Encodes @p now for a message that the receiver echoes; decodeTimestamp() accepts it in this
    /// incarnation only.
    std::int64_t encodeTimestamp(TimePoint now) const;
    /// Decodes a timestamp; empty if it is of another incarnation.
    std::optional<TimePoint> decodeTimestamp(std::int64_t value) const;

    // Bootstrap.
    void sendHellos(TimePoint now);
    void handleHello(const std::string &vm, std::uint64_t storageId);
    void handleHelloReply(const std::string &vm, std::uint64_t storageId, std::uint64_t recordedStorageId);
    void settleIdentity(bool isInitialVoter);
    std::uint64_t knownStorageId(const std::string &vm) const;
    bool isConfiguredVoter(std::string_view name) const;
    void recordStorageId(const std::string &vm, std::uint64_t storageId);

    // Elections.
    void setElectionDeadline(TimePoint now);
    void setFirstElectionDeadline(TimePoint now);
    void startElection(TimePoint now, bool isPreVote);
    void becomeFollower(TimePoint now, std::uint64_t term, const std::string &leader);
    void becomeLeader(TimePoint now);
    void handleVoteRequest(TimePoint now, const std::string &vm, const Message &message);
    void handleVoteReply(TimePoint now, const std::string &vm, const Message &message);
    bool isVoter(const Voter &voter) const;
    std::size_t majoritySize() const;
    bool hasRecentLeader(TimePoint now) const;
    /// Whether @p vm is a voter, with any storage ID.
    bool hasVoterNamed(std::string_view vm) const;

    // Replication.
    /// Appends a change of the leader itself, unless @p isSame holds for an uncommitted one of the same kind.
    void appendUnlessPending(TimePoint now, const ConfigurationChange &change,
                             const std::function<bool(const ConfigurationChange &)> &isSame);
    void appendNewEntry(const LogEntry &entry);
    void broadcast(TimePoint now);
    void sendAppend(TimePoint now, const std::string &vm);
    void sendSnapshot(TimePoint now, const std::string &vm);
    /// Whether @p vm is sent the state, as the entries that it lacks are no longer in the log or, for a VM
    /// without a vote, longer than the state.
    bool needsSnapshot(const std::string &vm) const;
    /// Whether a learner has to wait for its snapshot until others have received theirs.
    bool isSnapshotPostponed(TimePoint now, const std::string &vm) const;
    void handleAppend(TimePoint now, const std::string &vm, const Message &message);
    void handleInstallSnapshot(TimePoint now, const std::string &vm, const Message &message);
    void handleAppendReply(TimePoint now, const std::string &vm, const Message &message);
    /// Returns false if the entries are malformed or conflict with committed ones.
    bool appendReceivedEntries(const citronpitch::wire::configuration::Append &append);
    void replyToLeader(TimePoint now, const std::string &vm, bool matched, std::uint64_t index,
                       std::int64_t echoedAt);
    void followLeader(TimePoint now, const std::string &vm, std::uint64_t term);
    void advanceCommitIndex(TimePoint now);
    void commitTo(TimePoint now, std::uint64_t index);
    /// Whether entries that are known to be committed are still to arrive.
    bool isBehind() const;
    /// Activates the committed state once it is on the disk. A VM that is behind skips it, as it is known to
    /// be out of date.
    void activateIfNewest();
    void apply(const LogEntry &entry);
    Duration quorumAge(TimePoint now) const;
    /// Time since a majority was confirmed to follow this leader, by the send times of its own messages;
    /// empty if unknown.
    std::optional<Duration> leaderConfirmedAge(TimePoint now) const;
    void adjustVoters(TimePoint now);
    bool isCaughtUp(TimePoint now, const std::string &vm) const;
    bool hasDynamicMembership() const;
    /// Number of voters under dynamic membership: a majority survives the tolerated losses.
    std::size_t targetVoterCount() const;
    /// Number of voters in the failure domain of @p vm; zero if the domain is unknown.
    std::size_t voterCountInDomainOf(std::string_view vm) const;
    /// Whether the loss of the failure domain of @p vm would lose the majority.
    bool hasDomainTooManyVoters(std::string_view vm) const;
    bool isUnresponsive(TimePoint now, const Voter &voter) const;
    bool removeOneVoter(TimePoint now);
    bool addOneVoter(TimePoint now);
    void proposeVoters(std::vector<Voter> voters);

    // Proposals.
    void forwardProposal(TimePoint now, Proposal &proposal);
    void appendProposal(const ConfigurationChange &change);
    void resendProposals(TimePoint now);
    void answerProposals();
    void answerUndecided(const Proposal &proposal);

    void releaseSynced();
    Message newMessage() const;
    void sendNow(const std::string &vm, const Message &message);
    void sendAfterSync(std::uint64_t token, const std::string &vm, const Message &message);

    ConfigurationNodeOptions m_options;
    std::uint64_t m_storageId = 0;
    bool m_isIdentityKnown = false;
    bool m_isInitialVoter = false;
    std::map<std::string, std::uint64_t, std::less<>> m_knownStorageIds;
    std::set<std::string> m_helloReplies;
    TimePoint m_nextHelloAt;
    std::optional<TimePoint> m_undecidedFollowerSince;

    ConfigurationRole m_role = ConfigurationRole::Follower;
    std::uint64_t m_term = 0;
    std::string m_votedFor;
    std::string m_leader;
    std::set<std::string> m_grantedVotes;
    TimePoint m_electionDeadline;
    /// Whether a leader was known at any time since the start of the process.
    bool m_hasSeenLeader = false;
    TimePoint m_lastLeaderContact;
    std::uint64_t m_randomCounter = 0;

    ConfigurationLog m_log;
    ConfigurationState m_state;
    std::uint64_t m_commitIndex = 0;
    std::uint64_t m_leaderCommitIndex = 0;
    /// Index of the snapshot at the start of the journal.
    std::uint64_t m_journalSnapshotIndex = 0;
    std::uint64_t m_syncedIndex = 0;
    std::map<std::string, FollowerProgress, std::less<>> m_progress;
    TimePoint m_nextVoterCheckAt;

    Configuration m_activeConfiguration;
    TimePoint m_startedAt;
    std::optional<TimePoint> m_upToDateAt;
    /// As m_upToDateAt, but based on replies to messages of this incarnation, for confirmedAge().
    std::optional<TimePoint> m_confirmedUpToDateAt;

    std::vector<std::string> m_unwrittenRecords;
    std::uint64_t m_nextToken = 1;
    std::uint64_t m_syncedToken = 0;
    /// Token of the newest record of the term, the vote or the identity.
    std::uint64_t m_termToken = 0;
    std::deque<PendingSync> m_pendingSyncs;
    std::vector<PendingMessage> m_pendingMessages;
    std::deque<PendingActivation> m_pendingActivations;
    bool m_hasStorageFailed = false;

    std::vector<Proposal> m_proposals;
    std::vector<ConfigurationAction> m_actions;
};

} // namespace Citronpitch
