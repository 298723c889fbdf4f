#pragma once

#include "citronpitch/action.h"
#include "citronpitch/claimreplay.h"
#include "citronpitch/claimtable.h"
#include "citronpitch/configuration.h"
#include "citronpitch/dispatcher.h"
#include "citronpitch/faultinjection.h"
#include "citronpitch/jobexplanation.h"
#include "citronpitch/jobprogress.h"
#include "citronpitch/membership.h"
#include "citronpitch/slotracker.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Citronpitch {

/// What an entry VM is told about itself and the others.
struct EntryVmOptions
{
    VmIdentity self;
    /// Start of this life, in microseconds since the Unix epoch. A later life of the same VM has a larger
    /// one.
    std::uint64_t incarnation = 0;
    /// Every entry VM, this one included, in the same order on each.
    std::vector<VmIdentity> vms;
    Duration heartbeatPeriod = std::chrono::milliseconds(250);
    Duration suspicionTimeout = std::chrono::milliseconds(1500);
    /// How long an announcement of an upstream holds.
    Duration upstreamLease = std::chrono::seconds(2);
    ClaimLimits claimLimits;
    FaultInjection faultInjection;
    /// How waiting tasks are ordered and upstreams chosen.
    DispatcherOptions dispatching;
};

/// What a caller asks for with a key.
enum class RequestKind { Submit, Fetch, Cancel };

inline constexpr std::array requestKindNames{
    EnumName<RequestKind>{RequestKind::Submit, "submit"},
    EnumName<RequestKind>{RequestKind::Fetch, "fetch"},
    EnumName<RequestKind>{RequestKind::Cancel, "cancel"},
};

/// Request of a caller. Fetch and Cancel use only the team and the key of the submission.
struct CallerRequest
{
    RequestKind kind = RequestKind::Submit;
    Submission submission;
    /// Whether the caller waits for the final answer.
    bool wait = true;
};

/**
 * @brief All decisions of one entry VM: typed events and the time go in, typed actions come out.
 *
 * Does no I/O, reads no clock and draws no random number. Used by Daemon, by the tests and by the fuzzers.
 * After every call the owner carries out takeActions() in order.
 */
class EntryVm
{
public:
    explicit EntryVm(const EntryVmOptions &options);

    /**
     * Takes over the claims of earlier lives; called once, before any request or message.
     *
     * The owner replaces the journal by journalSnapshot() and syncs it before it carries out the actions.
     * Jobs of which no task may have run go on; all others are answered at once. An owner that never calls it
     * says that this is the first life.
     */
    void recover(TimePoint now, const ClaimRecovery &recovery);

    /// Records that stand for everything that the journal of claims has to hold, in the order to write them.
    std::vector<std::string> journalSnapshot() const;

    /// The journal of claims can't be written any more: new keys are refused, and jobs with tasks that wait
    /// fail.
    void storageFailed(TimePoint now);

    /// A caller's request arrived; @p caller gets exactly one AnswerCaller unless callerDisconnected() is
    /// called first.
    void handleRequest(TimePoint now, CallerId caller, CallerRequest request);

    /// The connection of @p caller is gone; its job goes on.
    void callerDisconnected(CallerId caller);

    /// An upstream announced itself to this VM, renewed its lease or said that it is leaving.
    void handleAnnouncement(TimePoint now, const UpstreamAnnouncement &announcement);

    /// An attempt has ended.
    void attemptEnded(TimePoint now, AttemptId attempt, const AttemptResult &result);

    /// A message of another entry VM arrived.
    void handlePeerMessage(TimePoint now, const citronpitch::wire::PeerMessage &message);

    /// The link to @p vm stands from now on, or has ended.
    void handleLinkChange(TimePoint now, const std::string &vm, bool isUp);

    /// The journal has synced the record with @p token.
    void journalSynced(TimePoint now, std::uint64_t token);

    /// The accepted configuration changed.
    void setConfiguration(TimePoint now, const Configuration &configuration);

    /// Time passed: heartbeats, suspicions, deadlines and expiry. Called every few milliseconds.
    void tick(TimePoint now);

    /// Starts a graceful shutdown: no new job is taken, those in flight are finished.
    void drain(TimePoint now);

    /// Whether nothing is in flight any more.
    bool isIdle() const;

    /// Actions decided since the last call.
    std::vector<Action> takeActions();

    /// Where the job of @p key was placed and why it waits, as far as this VM is home to the key.
    JobExplanation explain(TimePoint now, const std::string &team, const std::string &key) const;

    const Dispatcher &dispatcher() const;
    const Membership &membership() const;
    const Configuration &configuration() const;
    const SloTracker &sloTracker() const;

private:
    struct OpenAttempt
    {
        JobId job = 0;
        std::uint32_t task = 0;
    };

    struct JobDeadline
    {
        TimePoint deadline;
        JobId job = 0;
        auto operator<=>(const JobDeadline &) const = default;
    };

    /// A caller's request that was passed on to the home of its key.
    struct ForwardedRequest
    {
        std::string home;
        CallerId caller = 0;
        CallerRequest request;
        TimePoint resendAt;
        Duration resendAfter{};
        TimePoint deadline;
    };

    /// Replies to forwarded requests of one VM that the claim book does not remember.
    struct ForwardReplyCache
    {
        std::uint64_t incarnation = 0;
        /// Requests with a lower number are over.
        std::uint64_t lowestOpen = 0;
        std::map<std::uint64_t, Answer> replies;
    };

    const FaultInjection &faults() const;
    std::string homeOfKey(const ClaimKey &key) const;
    void recoverAnswered(const ClaimReplay &replay);
    void recoverOpen(TimePoint now, JournalCompleteness completeness, const ClaimKey &key,
                     const ReplayedClaim &claim);
    std::uint64_t lowestOpenForward() const;
    void updateLowestOpenForward(const std::string &vm, std::uint64_t incarnation, std::uint64_t lowestOpen);
    void cacheReply(const Waiter &waiter, const Answer &answer);
    void processRequest(TimePoint now, const Waiter &waiter, CallerRequest request);
    void processSubmit(TimePoint now, const Waiter &waiter, CallerRequest request);
    void processFetch(TimePoint now, const Waiter &waiter, const CallerRequest &request);
    void processCancel(TimePoint now, const Waiter &waiter, const CallerRequest &request);
    void acceptJob(TimePoint now, const Waiter &waiter, CallerRequest request);
    void enqueueJob(TimePoint now, JobId job);
    void forward(TimePoint now, const std::string &home, CallerId caller, CallerRequest request);
    void sendForward(std::uint64_t number, const ForwardedRequest &forward);
    void handleForwardedRequest(TimePoint now, const citronpitch::wire::PeerMessage &message);
    void handleForwardedAnswer(const citronpitch::wire::PeerMessage &message);
    void failForwards(TimePoint now, const std::string &home);
    void failForwardsOfEndedLinks(TimePoint now);
    void place(TimePoint now);
    void failAbandonedJobs(TimePoint now);
    void startAttempt(const Placement &placement);
    bool isAwaitingSync(JobId job) const;
    void finishJob(TimePoint now, JobId job, Answer answer);
    void failOverdueJobs(TimePoint now);
    void resendForwards(TimePoint now);
    void sendHeartbeats(TimePoint now);
    void updateShare(TimePoint now);
    bool mayHoldShare(TimePoint now, const std::string &vm) const;
    void sendCapacityRequests(TimePoint now);
    void handleCapacityRequest(TimePoint now, const citronpitch::wire::PeerMessage &message);
    void reply(const Waiter &waiter, const Answer &answer);
    void send(const std::string &vm, std::shared_ptr<citronpitch::wire::PeerMessage> message);
    std::shared_ptr<citronpitch::wire::PeerMessage> newMessage(std::uint64_t receiverIncarnation) const;

    EntryVmOptions m_options;
    std::vector<std::string> m_vmNames;
    std::vector<std::string> m_durableVmNames;
    Membership m_membership;
    ClaimTable m_claims;
    Dispatcher m_dispatcher;
    SloTracker m_sloTracker;
    Configuration m_configuration;
    std::map<JobId, JobProgress> m_jobs;
    std::set<JobDeadline> m_deadlines;
    std::map<AttemptId, OpenAttempt> m_attempts;
    std::map<std::uint64_t, JobId> m_awaitingSync;
    std::map<std::uint64_t, ForwardedRequest> m_forwards;
    std::map<std::string, ForwardReplyCache> m_forwardReplyCaches;
    /// When forwards over a link that has ended are given up, by VM.
    std::map<std::string, TimePoint> m_endedLinks;
    std::vector<Action> m_actions;
    TimePoint m_nextHeartbeat;
    JobId m_nextJob = 1;
    std::uint64_t m_nextForward = 1;
    std::uint64_t m_nextSyncToken = 1;
    bool m_isDraining = false;
    bool m_hasStorageFailed = false;
};

} // namespace Citronpitch
