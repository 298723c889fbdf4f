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

/// What a JobRelay is told at its start.
struct JobRelayOptions
{
    /// Failure domain of the entry VM.
    std::string domain;
    /// A job that got no answer is passed on again after this time; its holder knows it by its number.
    Duration resendPeriod = std::chrono::milliseconds(250);
    Duration cancelPeriod = std::chrono::milliseconds(100);
    /// Expected cost of running a job in another failure domain.
    Duration remoteCost = std::chrono::milliseconds(4);
};

/// Pass a job to the holder of a group.
struct SendJob
{
    std::string vm;
    std::string group;
    HeldJob job;
};

/// Tell the holder that nobody waits for a job any more.
struct SendCancel
{
    std::string vm;
    std::uint64_t number = 0;
};

/// What the process around a JobRelay has to do, in order.
using RelayAction = std::variant<SendJob, SendCancel, AnswerCaller>;

/**
 * @brief Owns the callers and the answers of an entry VM for jobs that need not be kept, and chooses the
 * group that runs each.
 *
 * Does no I/O and reads no clock. Used by FleetEntry.
 */
class JobRelay
{
public:
    explicit JobRelay(JobRelayOptions options);

    /// The holders in force.
    void setHolders(const std::vector<GroupHolder> &holders);

    /// A control VM came into reach.
    void holderAlive(const std::string &vm, std::uint64_t incarnation, bool isDraining);

    /// A control VM is out of reach: what it runs may go on for a while, so its jobs are answered as unknown.
    void holderGone(const std::string &vm);

    /// What the holder on @p vm says of its groups.
    void loadReported(const std::string &vm, const std::vector<GroupLoad> &loads);

    /// A caller's job; its owner is filled in here. The caller gets exactly one AnswerCaller.
    void submit(TimePoint now, CallerId caller, HeldJob job);

    /// The connection of @p caller is gone.
    void callerGone(CallerId caller);

    /// The holder on @p vm has answered job @p number.
    void ended(TimePoint now, const std::string &vm, std::uint64_t number, Answer answer);

    void tick(TimePoint now);

    std::vector<RelayAction> takeActions();

    /// Jobs with a lower number are over.
    std::uint64_t lowestOpen() const;
    /// Whether a group that takes jobs is in reach.
    bool canServe() const;

private:
    /// A range of a job's tasks that one group runs.
    struct Part
    {
        std::uint64_t job = 0;
        /// What the holder was sent.
        HeldJob held;
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
        std::map<std::string, std::uint32_t> sent;
    };

    /// A group that takes jobs, and what it can start at once.
    struct Candidate
    {
        std::string group;
        std::string vm;
        std::uint32_t parallel = 0;
        /// Free places that are fast enough for the class in question.
        std::uint32_t sufficient = 0;
        Duration waiting{};
    };

    /// Tasks that a group is to run.
    struct Share
    {
        const Candidate *of = nullptr;
        std::uint32_t tasks = 0;
    };

    std::vector<Candidate> candidates(const std::string &className) const;
    Duration expectedWait(const Candidate &of, std::uint32_t tasks) const;
    std::vector<Share> split(const std::vector<Candidate> &groups, std::uint32_t tasks) const;
    const Candidate *soonest(const std::vector<Candidate> &groups, std::uint32_t tasks) const;
    void passPart(TimePoint now, std::uint64_t job, HeldJob held, const Candidate &to,
                  const std::string &refusedBy);
    bool passAgain(TimePoint now, Part part);
    /// Tells the holders of a job's parts that nobody waits for them.
    void dropParts(std::uint64_t job);
    void answer(std::uint64_t number, const Answer &answer);

    JobRelayOptions m_options;
    std::vector<GroupHolder> m_holders;
    std::map<std::string, Holder> m_vms;
    std::map<std::uint64_t, OpenJob> m_jobs;
    std::map<std::uint64_t, Part> m_parts;
    /// Parts that nobody waits for, until their holders have said so or the jobs' deadlines pass.
    std::map<std::uint64_t, Part> m_cancelled;
    std::map<std::string, std::uint64_t> m_byKey;
    std::map<CallerId, std::uint64_t> m_byCaller;
    std::vector<RelayAction> m_actions;
    std::uint64_t m_nextNumber = 1;
};

} // namespace Citronpitch
