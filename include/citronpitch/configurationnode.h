#pragma once

#include "citronpitch/configurationlog.h"
#include "citronpitch/configurationstate.h"

#include <cstdint>
#include <deque>
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

/// Number that the owner gave to an operator's call.
using ChangeRequestId = std::uint64_t;

/// An entry VM as the agreement protocol sees it.
struct ConfigurationMember
{
    std::string name;
    /// Whether the settings let it vote.
    bool isVoter = true;
    /// Failure domain; empty where it is not known.
    std::string domain;

    bool operator==(const ConfigurationMember &) const = default;
};

/**
 * @brief Mechanisms that tests switch off one at a time, to show that the fuzzer notices.
 *
 * Nothing outside tests/ changes the defaults.
 */
struct ConfigurationTestFaults
{
    /// Acknowledges entries, votes and shows before they are synced.
    bool skipsSync = false;
    /// Votes for every candidate, whatever its log holds.
    bool votesForAnyLog = false;
    /// Forgets its vote at a restart.
    bool forgetsVote = false;
    /// A disk that was lost comes back as the voter it was.
    bool ignoresStorageId = false;
    /// Takes entries without checking the one before them.
    bool skipsLogMatchingCheck = false;
    /// Applies a resent change again.
    bool forgetsAnswers = false;
    /// Ignores the version that a change is based on.
    bool ignoresBasedOn = false;
    /// Commits on fewer acknowledgements than a majority.
    bool commitsWithoutMajority = false;
    /// Starts again with the initial configuration in place of the one shown last.
    bool forgetsCommit = false;
    /// Never sends what a learner lacks.
    bool skipsCatchUp = false;
    /// Takes the arrival of a message for the moment at which it was sent, also after a freeze.
    bool usesArrivalTimes = false;
};

/// What a ConfigurationNode is told at its start.
struct ConfigurationNodeOptions
{
    std::string self;
    /// Every entry VM, this one included, in the same order on each.
    std::vector<ConfigurationMember> members;
    /// Random identity of the disk, used only when the journal is empty; above 0.
    std::uint64_t newStorageId = 1;
    /// Seed for the spread of election timeouts.
    std::uint64_t seed = 1;
    /// Declarations that hold before the first change.
    Configuration initial;
    Duration voterHeartbeatInterval = std::chrono::milliseconds(150);
    Duration learnerHeartbeatInterval = std::chrono::milliseconds(1000);
    /// Shortest election timeout; the longest is twice as long.
    Duration electionTimeout = std::chrono::milliseconds(600);
    /// Shortest time from the start of a process to its first election; the longest is three times as long. A
    /// leader that goes on makes it harmless, since candidates ask before they disturb.
    Duration firstElectionTimeout = std::chrono::milliseconds(600);
    Duration proposalResendInterval = std::chrono::milliseconds(300);
    /// How long an operator's call waits.
    Duration proposalTimeout = std::chrono::seconds(5);
    /// Entries kept after a snapshot; one is taken when there are twice as many.
    std::uint64_t retainedEntries = 1000;
    /// Fleet whose members come and go: how many of its VMs may be lost at once, with their disks. Zero: the
    /// voters are those that the members name.
    std::size_t toleratedLosses = 0;
    /// Fleet that comes and goes: the voters of its first start. Set only in the first incarnation of its
    /// VMs.
    std::vector<std::string> initialVoters;
    /// Fleet that comes and goes: silence after which another VM takes the place of a voter.
    Duration unresponsiveVoterTimeout = std::chrono::milliseconds(1500);
    ConfigurationTestFaults faults;
};

/// Append the records to the journal; synced() is called with the token once they are on the disk.
struct AppendRecords
{
    std::vector<std::string> records;
    std::uint64_t token = 0;
};

/// Replace the whole journal by the records; synced() is called with the token once they are on the disk.
struct ReplaceRecords
{
    std::vector<std::string> records;
    std::uint64_t token = 0;
};

/// Send a message to another entry VM; it may be lost, doubled or delayed.
struct SendConfigurationMessage
{
    std::string vm;
    std::string bytes;
};

/// This configuration is in force here from now on.
struct ActivateConfiguration
{
    Configuration configuration;
};

/// Answer an operator's call.
struct AnswerChange
{
    ChangeRequestId request = 0;
    ChangeAnswer answer;
};

/// What the process around a ConfigurationNode has to do, in order.
using ConfigurationAction = std::variant<AppendRecords, ReplaceRecords, SendConfigurationMessage,
                                         ActivateConfiguration, AnswerChange>;

/// Part that an entry VM plays in the agreement.
enum class ConfigurationRole {
    /// Holds the configuration and has no vote.
    Learner,
    Follower,
    /// Asks whether it could win an election.
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

/// How far another VM has followed the leader.
struct FollowerProgress
{
    /// Identity of the disk that answered last; nothing before the first answer.
    std::optional<std::uint64_t> voterId;
    std::uint64_t matchIndex = 0;
    std::uint64_t nextIndex = 1;
    TimePoint lastReplyAt;
    TimePoint nextSendAt;
    /// When the newest message was sent that the VM has answered.
    TimePoint acknowledgedSentAt;
    /// Stamp of its newest answer.
    std::int64_t lastReplyTimestamp = 0;
};

/**
 * @brief One entry VM's part in the replicated configuration: agreement, learning, and operators' changes.
 *
 * Does no I/O, reads no clock and draws no random number. After every call the owner carries out
 * takeActions() in order; records must reach the disk in the order in which they were given out. Used by
 * ConfigurationService and by the fuzzers. How it works, and why it is safe, is in
 * docs/decisions/configuration.md.
 */
class ConfigurationNode
{
public:
    /// Starts from the records of the journal, in order; none on a first start or after a lost disk.
    ConfigurationNode(TimePoint now, const ConfigurationNodeOptions &options,
                      const std::vector<std::string> &records);
    ~ConfigurationNode();

    /// A message of @p vm arrived. A malformed one is ignored.
    void receive(TimePoint now, std::string_view vm, std::string_view bytes);

    /// Everything up to the records with @p token is on the disk.
    void synced(TimePoint now, std::uint64_t token);

    /// The disk can't be written any more: this VM neither votes nor learns, and goes on with what it shows.
    void storageFailed();

    /// Time passed. Called every few milliseconds.
    void tick(TimePoint now);

    /// An operator asks for @p change; AnswerChange follows once.
    void propose(TimePoint now, ChangeRequestId request, const ConfigurationChange &change);

    /// Sets the VMs of a fleet whose members come and go; this one may be among them.
    void setMembers(TimePoint now, const std::vector<ConfigurationMember> &members);

    /// Gives the group of @p wanted to its VM, in place of the holder with its fence. Leaders only.
    void assignHolder(TimePoint now, const GroupHolder &wanted);

    std::vector<ConfigurationAction> takeActions();

    /// The configuration in force here.
    const Configuration &activeConfiguration() const;
    /// History of the changes decided so far.
    const ConfigurationState &state() const;
    /// How long ago it was known that the shown configuration was the newest; nothing if it never was.
    std::optional<Duration> configurationAge(TimePoint now) const;

    /**
     * How long ago it was certain that no newer configuration than the shown one was accepted.
     *
     * Rests on answers to messages that this VM sent itself, so it holds after a freeze too. Nothing where it
     * is not known in this incarnation.
     */
    std::optional<Duration> confirmedAge(TimePoint now) const;

    ConfigurationRole role() const;
    std::uint64_t term() const;
    /// Name of the leader; empty while none is known.
    const std::string &leader() const;
    const ConfigurationLog &log() const;
    std::uint64_t commitIndex() const;
    /// Identity under which this VM votes.
    std::uint64_t voterId() const;
    bool hasStorageFailed() const;
    /// What a leader knows of the others.
    const std::map<std::string, FollowerProgress, std::less<>> &progress() const;

private:
    using Message = citronpitch::wire::configuration::Message;
    using Record = citronpitch::wire::configuration::Record;

    /// A message that waits until a record is on the disk.
    struct PendingMessage
    {
        std::uint64_t token = 0;
        SendConfigurationMessage send;
    };

    /// A configuration that is given out once the commit is on the disk.
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

    /// An operator's call that waits for its change to be decided.
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
    /// Token that covers every record so far.
    std::uint64_t newestRecordToken() const;
    void flushRecords();
    void installSnapshotState(const citronpitch::wire::configuration::InstallSnapshot &message);
    void compactLog();
    void replaceJournal();
    std::vector<std::string> journalRecords() const;

    /// Moment on this VM's clock as a number that only this incarnation of it takes back; above zero.
    std::int64_t encodeTimestamp(TimePoint now) const;
    /// The moment of a timestamp of this incarnation.
    std::optional<TimePoint> decodeTimestamp(std::int64_t value) const;

    // Founding.
    void sendHellos(TimePoint now);
    void handleHello(const std::string &vm, std::uint64_t storageId);
    void handleHelloReply(const std::string &vm, std::uint64_t storageId, std::uint64_t known);
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
    /// Whether some incarnation of the disk of @p vm is a voter.
    bool hasVoterNamed(std::string_view vm) const;

    // Replication.
    void appendNewEntry(const LogEntry &entry);
    void broadcast(TimePoint now);
    void sendAppend(TimePoint now, const std::string &vm);
    void sendSnapshot(TimePoint now, const std::string &vm);
    void handleAppend(TimePoint now, const std::string &vm, const Message &message);
    void handleInstallSnapshot(TimePoint now, const std::string &vm, const Message &message);
    void handleAppendReply(TimePoint now, const std::string &vm, const Message &message);
    /// Returns false where the entries can't be taken.
    bool appendReceivedEntries(const citronpitch::wire::configuration::Append &append);
    void replyToLeader(TimePoint now, const std::string &vm, bool matched, std::uint64_t index,
                       std::int64_t echoedAt);
    void followLeader(TimePoint now, const std::string &vm, std::uint64_t term);
    void advanceCommitIndex(TimePoint now);
    void commitTo(TimePoint now, std::uint64_t index);
    void apply(const LogEntry &entry);
    Duration quorumAge(TimePoint now) const;
    /// How long ago a majority is known to have followed this leader, by what it sent itself.
    std::optional<Duration> leaderConfirmedAge(TimePoint now) const;
    void adjustVoters(TimePoint now);
    bool isCaughtUp(TimePoint now, const std::string &vm) const;
    bool hasDynamicMembership() const;
    /// Voters of a fleet whose members come and go: a majority outlives the tolerated losses.
    std::size_t targetVoterCount() const;
    /// How many voters there are in the failure domain of @p vm; zero where that is not known.
    std::size_t voterCountInDomainOf(std::string_view vm) const;
    /// Whether the loss of the failure domain of @p vm would take the majority.
    bool hasDomainTooManyVoters(std::string_view vm) const;
    bool isUnresponsive(TimePoint now, const Voter &voter) const;
    bool removeOneVoter(TimePoint now);
    bool addOneVoter(TimePoint now);
    void proposeVoters(std::vector<Voter> voters);

    // Operators' changes.
    void forwardProposal(TimePoint now, Proposal &proposal);
    void appendProposal(const ConfigurationChange &change);
    void resendProposals(TimePoint now);
    void answerProposals();

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
    TimePoint m_lastLeaderContact;
    std::uint64_t m_randomCounter = 0;

    ConfigurationLog m_log;
    ConfigurationState m_state;
    std::uint64_t m_commitIndex = 0;
    /// Index of the snapshot at the start of the journal.
    std::uint64_t m_journalSnapshotIndex = 0;
    std::uint64_t m_syncedIndex = 0;
    std::map<std::string, FollowerProgress, std::less<>> m_progress;
    TimePoint m_nextVoterCheckAt;

    Configuration m_activeConfiguration;
    TimePoint m_startedAt;
    std::optional<TimePoint> m_upToDateAt;
    /// As m_upToDateAt, but certain, and of this incarnation.
    std::optional<TimePoint> m_confirmedUpToDateAt;

    std::vector<std::string> m_unwrittenRecords;
    std::uint64_t m_nextToken = 1;
    std::uint64_t m_syncedToken = 0;
    /// Token that covers the newest term and vote.
    std::uint64_t m_termToken = 0;
    std::deque<PendingSync> m_pendingSyncs;
    std::vector<PendingMessage> m_pendingMessages;
    std::deque<PendingActivation> m_pendingActivations;
    bool m_hasStorageFailed = false;

    std::vector<Proposal> m_proposals;
    std::vector<ConfigurationAction> m_actions;
};

} // namespace Citronpitch
