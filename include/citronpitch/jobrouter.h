#pragma once

#include "citronpitch/action.h"
#include "citronpitch/groupdispatcher.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace Citronpitch {

/// Options of a JobRouter.
struct JobRouterOptions
{
    /// Failure domain of the entry VM.
    std::string domain;
    /// Interval at which an unanswered job is resent; its holder recognizes it by its number.
    Duration resendInterval = std::chrono::milliseconds(250);
    Duration cancelResendInterval = std::chrono::milliseconds(100);
    /// Interval at which an unanswered reservation and an unacknowledged start are resent; several fit into
    /// GroupDispatcherOptions::reservationTimeout.
    Duration reservationResendInterval = std::chrono::milliseconds(30);
    /// Estimated extra cost of running a job in another failure domain.
    Duration remoteDomainCost = std::chrono::milliseconds(4);
    /// Tasks of all jobs without an answer; a job beyond it is refused.
    std::size_t maximumOpenTasks = 100'000;
    /// Seed of the choice among groups that have free capacity; should differ between entry VMs, which see
    /// the same load reports.
    std::uint64_t seed = 0;
};

/// Sends a job to the holder of a group.
struct SendJob
{
    std::string vm;
    std::string group;
    RoutedJob job;
};

/// Tells the holder of a job that nobody waits for it any more.
struct SendCancel
{
    std::string vm;
    std::uint64_t number = 0;
};

/// Starts a reserved part of a job.
struct SendStart
{
    std::string vm;
    std::uint64_t number = 0;
};

/// What a JobRouter has done since it was created.
struct JobRouterTotals
{
    /// Jobs or parts that were placed in a further group after a refusal.
    std::uint64_t placedAfterRefusal = 0;
    /// Jobs or parts that were placed in a further group because they could not be delivered.
    std::uint64_t placedAfterDeliveryFailure = 0;
    /// Jobs that no group could run within their target, refused without asking one.
    std::uint64_t refusedAtOnce = 0;
    std::uint64_t splitJobs = 0;
    /// Split jobs of which all parts were reserved.
    std::uint64_t startedSplitJobs = 0;
};

/// An action that the owner of a JobRouter has to execute, in order.
using RouterAction = std::variant<SendJob, SendStart, SendCancel, AnswerCaller>;

/**
 * @brief Routes the best-effort jobs of an entry VM to groups, and answers their callers.
 *
 * Splits a job across groups when no single one can start it immediately. Does no I/O and reads no clock.
 * Used by FleetEntry.
 */
class JobRouter
{
public:
    explicit JobRouter(JobRouterOptions options);

    /// Replaces the active holders of the groups.
    void setHolders(const std::vector<GroupHolder> &holders);

    /// Replaces the evacuated failure domains, whose groups get no jobs.
    void setEvacuations(const std::vector<DomainEvacuation> &evacuations);

    /// A control VM is reachable, possibly in a new incarnation.
    void holderAlive(const std::string &vm, std::uint64_t incarnation, bool isDraining);

    /// A control VM is unreachable. Its runs may continue for a while, so its jobs are answered with an
    /// unknown outcome, except for those that were certainly not delivered: they are placed again or refused.
    void holderUnreachable(TimePoint now, const std::string &vm);

    /// The holder on @p vm reports the load of its groups.
    void loadReported(TimePoint now, const std::string &vm, const std::vector<GroupLoad> &loads);

    /// Routes a job and sets its origin's number. @p caller gets exactly one AnswerCaller, unless it
    /// disconnects first. Returns false if the job was in flight already.
    bool submit(TimePoint now, CallerId caller, RoutedJob job);

    /// @p caller has disconnected; a job without callers is cancelled.
    void callerDisconnected(CallerId caller);

    /// The owner could not send the SendJob with this number; it was certainly not delivered.
    void sendFailed(TimePoint now, std::uint64_t number);

    /// The holder on @p vm has reserved the part with number @p number. The parts of a split job are started
    /// once all of them are reserved.
    void partReserved(TimePoint now, const std::string &vm, std::uint64_t number);

    /// The holder on @p vm has received the parts, or the starts of reserved parts, with these numbers.
    void partsReceived(TimePoint now, const std::string &vm, const std::vector<std::uint64_t> &numbers);

    /// The holder on @p vm has answered the part with number @p number.
    void holderAnswered(TimePoint now, const std::string &vm, std::uint64_t number, Answer answer);

    void tick(TimePoint now);

    std::vector<RouterAction> takeActions();

    /// All parts with a lower number were answered or cancelled.
    std::uint64_t lowestOpenJob() const;
    const JobRouterTotals &totals() const;
    /// Whether @p vm has a part without an answer, or a cancelled one.
    bool hasPartsOn(const std::string &vm) const;
    /// Whether a group that accepts jobs is reachable.
    bool canServe() const;

private:
    /// What is known from the groups that refused a part.
    struct Refusals
    {
        /// Groups with the fencing tokens of the holders that refused; a later holder may accept the part.
        std::map<std::string, std::uint64_t> groups;
        /// Earliest retry time of the refusals.
        std::optional<TimePoint> retryAt;
        /// Whether the part was sent to a group without free capacity after a refusal; done at most once.
        bool hasTriedToWait = false;
    };

    /// A range of a job's tasks that is routed to one group.
    struct Part
    {
        std::uint64_t job = 0;
        /// The job as it was sent to the holder.
        RoutedJob routed;
        std::string vm;
        std::string group;
        TimePoint resendAt;
        Refusals refusals;
        TimePoint sentAt;
        /// How often the part was sent, and how often its owner could not send it.
        std::uint32_t sends = 1;
        std::uint32_t failedSends = 0;
        bool isReserved = false;
        /// Whether the holder has received SendStart.
        bool isStartReceived = false;

        /// Whether tasks may run without a SendStart.
        bool mayRun() const
        {
            return !routed.reserve && mayBeDelivered();
        }

        bool mayBeDelivered() const
        {
            return sends > failedSends;
        }
    };

    struct OpenJob
    {
        std::string key;
        std::vector<CallerId> callers;
        std::size_t tasks = 0;
        TimePoint deadline;
        /// Latest start with which the target can be met; the deadline if the target does not scale.
        TimePoint latestStart;
        /// Numbers of the parts without an answer.
        std::set<std::uint64_t> parts;
        /// Whether the reserved parts of a split job were told to start; until then none of its tasks runs.
        bool isStarted = false;
    };

    /// Last load report of a group, and what has happened since.
    struct ReportedGroup
    {
        GroupLoad load;
        TimePoint reportedAt;
        /// Tasks that this VM has sent to the group since the report.
        std::uint32_t sentTasks = 0;
        /// Those of them that were refused; they occupy nothing.
        std::uint32_t refusedTasks = 0;
        /// Part of @ref sentTasks by the label that they require.
        std::map<std::string, std::uint32_t> sentByLabel;
        /// Tasks of this VM that have ended since the report.
        std::uint32_t endedTasks = 0;
        /// Moving average of the slots that other VMs occupy per second, less those that they release.
        double othersPerSecond = 0;
    };

    struct Holder
    {
        std::uint64_t incarnation = 0;
        bool isDraining = false;
        std::map<std::string, ReportedGroup> groups;
        /// Whether this incarnation acknowledges parts; an older program version does not.
        bool acknowledgesParts = false;
        /// Numbers of the parts that it has neither acknowledged nor answered.
        std::set<std::uint64_t> unacknowledged;
    };

    /// A group that accepts jobs, and its capacity.
    struct Candidate
    {
        std::string group;
        std::string vm;
        std::uint64_t fence = 0;
        std::uint32_t parallelTasks = 0;
        /// Tasks that it could start immediately on upstreams that are fast enough for the job's class.
        std::uint32_t startableTasks = 0;
        Duration waitingWork{};
        /// Expected wait of a new job of the class, and the wait above which the group refuses it; nothing
        /// if the group reports no such limit.
        Duration classWait{};
        std::optional<Duration> longestWait;
        /// The job requires a label, and the group has not reported whether it has it.
        bool isLabelUnknown = false;
    };

    /// Number of tasks that one group is to run.
    struct Share
    {
        const Candidate *candidate = nullptr;
        std::uint32_t tasks = 0;
    };

    /// Returns the groups that may take @p job, without those of silent VMs if there are others.
    std::vector<Candidate> candidates(TimePoint now, const RoutedJob &job) const;
    /// Reduces @p candidate to what @p group has reported of upstreams that meet the constraints of @p job.
    /// Returns false if there is none.
    static bool applyConstraints(const ReportedGroup &group, const RoutedJob &job, Candidate &candidate);
    /// Refusal of a job that no group may take.
    Answer noCandidateRefusal(TimePoint now, const RoutedJob &job) const;
    bool isInOwnDomain(const Candidate &candidate) const;
    bool hasAmpleRoom(const Candidate &candidate, std::uint32_t tasks) const;
    /// Returns a group that can start @p tasks immediately, or null. The choice is spread by free capacity.
    const Candidate *chooseWithRoom(const std::vector<Candidate> &groups, std::uint32_t tasks) const;
    static bool wouldRefuse(const Candidate &candidate, std::uint32_t tasks);
    static TimePoint latestStart(TimePoint now, const std::vector<Candidate> &groups, TimePoint deadline);
    /// Returns the refusal of a job that no group can start or complete within its target, or nothing.
    static std::optional<Answer> refusal(TimePoint now, const std::vector<Candidate> &groups,
                                         const Submission &submission);
    Duration expectedWait(const Candidate &candidate, std::uint32_t tasks) const;
    std::vector<Share> split(const std::vector<Candidate> &groups, const RoutedJob &job) const;
    /// Adds @p tasks to @p shares, in proportion to how many tasks each of @p groups can run at a time.
    static void addRounds(std::vector<Share> &shares, const std::vector<Candidate> &groups,
                          std::uint32_t tasks);
    const Candidate *shortestWait(const std::vector<Candidate> &groups, std::uint32_t tasks) const;
    void sendPart(TimePoint now, std::uint64_t job, RoutedJob routed, const Candidate &to, Refusals refusals);
    /// Whether the VM has not acknowledged a part for so long that it may be unreachable.
    bool isSilent(TimePoint now, const Holder &holder) const;
    Part takePart(std::uint64_t number);
    /// Handles the final answer to a part that takePart() has removed.
    void partEnded(const Part &part, Answer answer);
    /// Sends a refused part to another group. Returns false if there is none, or the target is out of reach.
    bool placeAgain(TimePoint now, Part part);
    void startParts(TimePoint now, OpenJob &job);
    ReportedGroup *findReport(const std::string &vm, const std::string &group);
    /// Sends a cancel for each unanswered part of a job.
    void cancelParts(std::uint64_t job);
    void answer(std::uint64_t number, const Answer &answer);
    void removeJob(std::uint64_t number);

    JobRouterOptions m_options;
    std::vector<GroupHolder> m_holders;
    std::vector<DomainEvacuation> m_evacuations;
    std::map<std::string, Holder> m_vms;
    std::map<std::uint64_t, OpenJob> m_jobs;
    std::map<std::uint64_t, Part> m_parts;
    /// Cancelled parts, kept until their holders answer or their deadlines pass.
    std::map<std::uint64_t, Part> m_cancelled;
    std::map<std::string, std::uint64_t> m_byKey;
    std::map<CallerId, std::uint64_t> m_byCaller;
    std::vector<RouterAction> m_actions;
    std::uint64_t m_nextNumber = 1;
    /// Tasks of the jobs in m_jobs.
    std::size_t m_openTasks = 0;
    JobRouterTotals m_totals;
};

} // namespace Citronpitch
