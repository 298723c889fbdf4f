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
#include "citronpitch/serviceleveltracker.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Citronpitch {

/// Parameters of an entry VM.
struct EntryVmOptions
{
    VmIdentity self;
    /// Start time in microseconds since the Unix epoch; must be larger after each restart of the VM.
    std::uint64_t incarnation = 0;
    /// All entry VMs including this one, in the same order on every VM.
    std::vector<VmIdentity> vms;
    Duration heartbeatInterval = std::chrono::milliseconds(250);
    Duration suspicionTimeout = std::chrono::milliseconds(1500);
    /// Validity of an upstream announcement.
    Duration upstreamLease = std::chrono::seconds(2);
    ClaimLimits claimLimits;
    FaultInjection faultInjection;
    /// Ordering of waiting tasks and choice of upstreams.
    DispatcherOptions dispatching;
};

/// Operation that a caller requests for a key.
enum class RequestKind { Submit, Fetch, Cancel };

inline constexpr std::array requestKindNames{
    EnumName<RequestKind>{RequestKind::Submit, "submit"},
    EnumName<RequestKind>{RequestKind::Fetch, "fetch"},
    EnumName<RequestKind>{RequestKind::Cancel, "cancel"},
};

/// Request of a caller. Fetch and Cancel only use the team and the key of the submission.
struct CallerRequest
{
    RequestKind kind = RequestKind::Submit;
    Submission submission;
    /// Whether the caller waits for the final answer; if not, it gets the current state.
    bool wait = true;
};

/**
 * @brief State machine of an entry VM: takes typed events with the current time and emits typed actions.
 *
 * Deterministic: performs no I/O, reads no clock and draws no random numbers. Used by Daemon, the tests and
 * the fuzzer. After every call the owner must execute the result of takeActions() in order.
 */
class EntryVm
{
public:
    explicit EntryVm(const EntryVmOptions &options);

    /**
     * Restores the claims of previous incarnations; called at most once, before any request or message.
     *
     * The owner must replace the journal by journalSnapshot() and sync it before it executes the actions.
     * Open jobs continue if no record may be missing and none of their tasks may have run; all others are
     * answered immediately. Without a call, the VM acts as in its first incarnation.
     */
    void recover(TimePoint now, const ClaimRecovery &recovery);

    /// Returns serialized records equivalent to the whole claim journal, in the order in which to write them.
    std::vector<std::string> journalSnapshot() const;

    /// Handles a failure to write the claim journal: refuses new keys from now on, and fails jobs with
    /// waiting tasks and jobs of which a task would have to be requeued later.
    void storageFailed(TimePoint now);

    /// Handles a request; @p caller gets exactly one AnswerCaller unless callerDisconnected() is called
    /// first.
    void handleRequest(TimePoint now, CallerId caller, CallerRequest request);

    /// Handles the end of the connection of @p caller; its job continues.
    void callerDisconnected(CallerId caller);

    /// Handles an announcement of an upstream (registration, lease renewal or intent to leave) and sends it
    /// to the other entry VMs of this failure domain that are not suspected.
    void handleAnnouncement(TimePoint now, const UpstreamAnnouncement &announcement);

    /// Handles the end of an attempt.
    void attemptEnded(TimePoint now, AttemptId attempt, const AttemptResult &result);

    /// Handles a message from another entry VM.
    void handlePeerMessage(TimePoint now, const citronpitch::wire::PeerMessage &message);

    /// Handles the establishment or loss of the link to @p vm.
    void handleLinkChange(TimePoint now, const std::string &vm, bool isUp);

    /// Handles the sync of the journal record with @p token.
    void journalSynced(TimePoint now, std::uint64_t token);

    /// Applies a new accepted configuration.
    void setConfiguration(TimePoint now, const Configuration &configuration);

    /// Sets whether the configuration is certain to be the newest, see Dispatcher::setConfigurationCurrent().
    void setConfigurationCurrent(bool isCurrent);

    /// Performs timed work: heartbeats, failure detection, resends, deadlines and expiry. Called every few
    /// milliseconds.
    void tick(TimePoint now);

    /// Starts a graceful shutdown: new jobs are refused, jobs in flight are finished.
    void drain(TimePoint now);

    /// Whether no job and no forwarded request is in flight.
    bool isIdle() const;

    /// Returns and clears the actions emitted since the last call.
    std::vector<Action> takeActions();

    /// Explains where the job of @p key was placed and why it waits; only the home VM of the key knows.
    JobExplanation explain(TimePoint now, const std::string &team, const std::string &key) const;

    const Dispatcher &dispatcher() const;
    const Membership &membership() const;
    const Configuration &configuration() const;
    const ServiceLevelTracker &serviceLevelTracker() const;

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

    /// A caller's request that was forwarded to the home VM of its key.
    struct ForwardedRequest
    {
        std::string home;
        CallerId caller = 0;
        CallerRequest request;
        TimePoint resendAt;
        Duration resendAfter{};
        TimePoint deadline;
    };

    /// Replies to forwarded requests of one VM that are not stored in the claim table: refused and unknown
    /// ones.
    struct ForwardReplyCache
    {
        std::uint64_t incarnation = 0;
        /// Requests with a lower number are finished; duplicates of them are ignored.
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
    void failShedJobs(TimePoint now);
    void startAttempt(const Placement &placement);
    bool isAwaitingSync(JobId job) const;
    void finishJob(TimePoint now, JobId job, Answer answer);
    void failOverdueJobs(TimePoint now);
    void resendForwards(TimePoint now);
    void sendHeartbeats(TimePoint now);
    void updateShare(TimePoint now);
    /// Whether @p vm may still use a share of the upstreams' slots in this failure domain.
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
    ServiceLevelTracker m_serviceLevelTracker;
    Configuration m_configuration;
    std::map<JobId, JobProgress> m_jobs;
    std::set<JobDeadline> m_deadlines;
    std::map<AttemptId, OpenAttempt> m_attempts;
    std::map<std::uint64_t, JobId> m_awaitingSync;
    std::map<std::uint64_t, ForwardedRequest> m_forwards;
    std::map<std::string, ForwardReplyCache> m_forwardReplyCaches;
    /// Time at which requests forwarded over a lost link fail, by VM.
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
