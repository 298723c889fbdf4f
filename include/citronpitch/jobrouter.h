#pragma once

#include "citronpitch/action.h"
#include "citronpitch/groupdispatcher.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace Citronpitch {

/// What a JobRouter is told at its start.
struct JobRouterOptions
{
    /// Failure domain of the entry VM.
    std::string domain;
    /// A job that got no answer is passed on again after this time; its holder knows it by its number.
    Duration resendPeriod = std::chrono::milliseconds(250);
    Duration cancelResendPeriod = std::chrono::milliseconds(100);
    /// Expected cost of running a job in another failure domain.
    Duration remoteDomainCost = std::chrono::milliseconds(4);
};

/// Pass a job to the holder of a group.
struct SendJob
{
    std::string vm;
    std::string group;
    RoutedJob job;
};

/// Tell the holder that nobody waits for a job any more.
struct SendCancel
{
    std::string vm;
    std::uint64_t number = 0;
};

/// What the process around a JobRouter has to do, in order.
using RouterAction = std::variant<SendJob, SendCancel, AnswerCaller>;

/**
 * @brief Owns the callers and the answers of an entry VM for jobs that need not be kept, and chooses the
 * group that runs each.
 *
 * Does no I/O and reads no clock. Used by FleetEntry.
 */
class JobRouter
{
public:
    explicit JobRouter(JobRouterOptions options);

    /// The holders in force.
    void setHolders(const std::vector<GroupHolder> &holders);

    /// A control VM came into reach.
    void holderAlive(const std::string &vm, std::uint64_t incarnation, bool isDraining);

    /// A control VM is out of reach: what it runs may go on for a while, so its jobs are answered as unknown.
    void holderUnreachable(const std::string &vm);

    /// What the holder on @p vm says of its groups.
    void loadReported(const std::string &vm, const std::vector<GroupLoad> &loads);

    /// A caller's job; its origin is filled in here. The caller gets exactly one AnswerCaller.
    void submit(TimePoint now, CallerId caller, RoutedJob job);

    /// The connection of @p caller is gone.
    void callerDisconnected(CallerId caller);

    /// The holder on @p vm has answered job @p number.
    void holderAnswered(TimePoint now, const std::string &vm, std::uint64_t number, Answer answer);

    void tick(TimePoint now);

    std::vector<RouterAction> takeActions();

    /// Jobs with a lower number are over.
    std::uint64_t lowestOpenJob() const;
    /// Whether a group that takes jobs is in reach.
    bool canServe() const;

private:
    /// A range of a job's tasks that one group runs.
    struct Part
    {
        std::uint64_t job = 0;
        /// What the holder was sent.
        RoutedJob routed;
        std::string vm;
        std::string group;
        TimePoint resendAt;
        /// Group that has refused it; it is tried in another one at most once.
        std::string refusedBy;
    };

    struct OpenJob
    {
        std::string key;
        std::vector<CallerId> callers;
        TimePoint deadline;
        /// Parts without an answer, by their numbers.
        std::set<std::uint64_t> parts;
        /// Whether some part was taken by its group, so that the job may have run.
        bool mayHaveRun = false;
    };

    struct Holder
    {
        std::uint64_t incarnation = 0;
        bool isDraining = false;
        std::map<std::string, GroupLoad> loads;
        /// Tasks passed on since the load of a group was reported.
        std::map<std::string, std::uint32_t> sentTasks;
    };

    /// A group that takes jobs, and what it can start at once.
    struct Candidate
    {
        std::string group;
        std::string vm;
        std::uint32_t parallelTasks = 0;
        /// Free places that are fast enough for the class in question.
        std::uint32_t startableTasks = 0;
        Duration waitingWork{};
    };

    /// Tasks that a group is to run.
    struct Share
    {
        const Candidate *candidate = nullptr;
        std::uint32_t tasks = 0;
    };

    std::vector<Candidate> candidates(const std::string &className) const;
    Duration expectedWait(const Candidate &candidate, std::uint32_t tasks) const;
    std::vector<Share> split(const std::vector<Candidate> &groups, std::uint32_t tasks) const;
    const Candidate *shortestWait(const std::vector<Candidate> &groups, std::uint32_t tasks) const;
    void sendPart(TimePoint now, std::uint64_t job, RoutedJob routed, const Candidate &to,
                  const std::string &refusedBy);
    bool rerouteRefused(TimePoint now, Part part);
    /// Tells the holders of a job's parts that nobody waits for them.
    void cancelParts(std::uint64_t job);
    void answer(std::uint64_t number, const Answer &answer);

    JobRouterOptions m_options;
    std::vector<GroupHolder> m_holders;
    std::map<std::string, Holder> m_vms;
    std::map<std::uint64_t, OpenJob> m_jobs;
    std::map<std::uint64_t, Part> m_parts;
    /// Parts that nobody waits for, until their holders have said so or the jobs' deadlines pass.
    std::map<std::uint64_t, Part> m_cancelled;
    std::map<std::string, std::uint64_t> m_byKey;
    std::map<CallerId, std::uint64_t> m_byCaller;
    std::vector<RouterAction> m_actions;
    std::uint64_t m_nextNumber = 1;
};

} // namespace Citronpitch
