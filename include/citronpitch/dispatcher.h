#pragma once

#include "citronpitch/capacityloan.h"
#include "citronpitch/claimtable.h"
#include "citronpitch/configuration.h"
#include "citronpitch/job.h"
#include "citronpitch/placementpolicy.h"
#include "citronpitch/upstream.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Citronpitch {

/// Decision to run one task on one upstream.
struct Placement
{
    JobId job = 0;
    std::uint32_t task = 0;
    AttemptId attempt = 0;
    std::string upstream;
    std::string address;
    std::uint16_t port = 0;
};

/// Why a job is refused, and when the client account may submit it again.
struct Refusal
{
    Reason reason = Reason::None;
    std::string detail;
    std::optional<TimePoint> retryAt;
};

/// Status of an upstream for operators.
struct UpstreamStatus
{
    UpstreamAnnouncement announcement;
    /// Slots that this entry VM may use.
    std::uint32_t ownSlots = 0;
    /// Attempts of this entry VM that occupy the current incarnation.
    std::uint32_t busySlots = 0;
    /// Name of its state in charts/upstream.json.
    std::string state;
};

/// Status of a class for operators, from the jobs of this entry VM.
struct ClassStatus
{
    std::string name;
    /// Error budget burn rate: recent misses divided by the misses that the target allows.
    double burn = 0;
    std::uint32_t queuedTasks = 0;
};

/// Number of tasks of a class that would start at once on upstreams fast enough for its target.
struct ClassHeadroom
{
    std::string className;
    std::uint32_t tasks = 0;
    /// Expected wait of a new job behind the queued work that comes before it.
    Duration expectedWait{};
    /// Wait above which admission refuses a new job, since it would miss its target; nothing for classes
    /// whose target does not scale with the job.
    std::optional<Duration> longestWait;
};

/// Capacity of the upstreams that have a label which jobs required recently.
struct LabelHeadroom
{
    std::string label;
    /// Tasks of typical need that could start immediately.
    std::uint32_t freeTasks = 0;
    /// Tasks of typical need that can run concurrently.
    std::uint32_t parallelTasks = 0;
    /// Number of the upstreams in service, also while starts are paused there.
    std::uint32_t upstreams = 0;
    /// Expected run time of the queued tasks that require the label.
    Duration waitingWork{};
};

/// Decisions of admission about jobs whose target scales with their size, since the Dispatcher was created.
struct AdmissionStatus
{
    /// Whether the rules that apply only under contention are in effect.
    bool isContended = false;
    std::uint64_t accepted = 0;
    /// Part of @ref accepted that was accepted under contention.
    std::uint64_t acceptedUnderContention = 0;
    /// Refused at arrival, since they could not meet their target.
    std::uint64_t refusedForTarget = 0;
    /// Refused at arrival, since accepted jobs would have missed theirs.
    std::uint64_t refusedForAccepted = 0;
    /// Shed because capacity fell, without a start.
    std::uint64_t shedForCapacity = 0;
    /// Shed because the target came out of reach, without a start.
    std::uint64_t shedForTarget = 0;
};

/// Options of a Dispatcher.
struct DispatcherOptions
{
    PlacementPolicy placement = PlacementPolicy::Target;
    /// Seed of PlacementPolicy::Random.
    std::uint64_t seed = 0;
    /// Number of entry VMs that the quota of a team is divided among.
    std::uint32_t entryVms = 1;
    /// Number of upstreams from which on the rules for contention apply. They treat the slots as one server
    /// of their joint rate, which refuses too much where the spread of single tasks outweighs their mean.
    std::size_t contentionRulesUpstreams = 100;
};

/**
 * @brief Decides which queued task runs next and on which upstream.
 *
 * Keeps the upstreams of the failure domain, the queue and the attempts in flight. The owner sends a start
 * message for each placement and reports the result of each attempt with finish().
 */
class Dispatcher
{
public:
    explicit Dispatcher(const DispatcherOptions &options = {});
    ~Dispatcher();
    Dispatcher(Dispatcher &&other) noexcept;
    Dispatcher &operator=(Dispatcher &&other) noexcept;

    /// Applies the declared classes and teams; queued tasks are reordered at once.
    void setConfiguration(const Configuration &configuration);

    /// Sets whether the configuration is certain to be the newest, as it is by default. Otherwise jobs whose
    /// class or team it does not declare are refused with a retry time.
    void setConfigurationCurrent(bool isCurrent);

    /**
     * Sets this VM's share of the slots of every upstream: share @p shareIndex, counted from zero, of
     * @p shareCount.
     *
     * Each entry VM of a failure domain has a different index, so no slot is used by two of them.
     */
    void setShare(TimePoint now, std::uint32_t shareIndex, std::uint32_t shareCount);

    /// Adds an upstream, renews its lease, or marks it as leaving. An older incarnation is ignored.
    /// An upstream that is leaving accepts tasks again only with a new incarnation.
    void announce(TimePoint now, const UpstreamAnnouncement &announcement);

    /// Pauses or resumes starts on @p upstream without a change of its lease; ignored for an unknown one. The
    /// pause also applies to later incarnations.
    void setPaused(TimePoint now, const std::string &upstream, bool isPaused);

    /// Returns why @p submission is refused at @p now, or nothing if it is accepted. A job whose constraints
    /// no upstream in service meets is refused with a retry time, as such an upstream may be added.
    std::optional<Refusal> refusal(TimePoint now, const Submission &submission) const;

    /// Adds a job and queues its tasks; those for which @p isQueued returns false only with requeue().
    void add(TimePoint now, JobId job, const Submission &submission,
             const std::function<bool(std::uint32_t task)> &isQueued = {});

    /// Queues a task again after an attempt that did not start it or that may be retried.
    void requeue(TimePoint now, JobId job, const Submission &submission, std::uint32_t task);

    /// Takes one retry from the retry budget, for a task that may have run. Returns false if the budget is
    /// exhausted. The baseline policies have no retry budget: it returns true.
    bool takeRetry();

    /**
     * Removes an answered job and its queued tasks; its attempts in flight keep their slots until they end.
     */
    void remove(TimePoint now, JobId job);

    /// Starts as many queued tasks as there are usable slots.
    std::vector<Placement> place(TimePoint now);

    /**
     * Returns the jobs that place() has shed since the last call. None of their tasks has started, and their
     * deadlines can't be met under the current load. The owner answers them at once and removes them.
     */
    std::vector<JobId> takeShedJobs();

    /**
     * Returns the jobs that place() has shed since the last call because no upstream in service meets their
     * constraints any more. None of their tasks has started. The owner answers them at once and removes them.
     */
    std::vector<JobId> takeUnsuitableJobs();

    /**
     * Frees the slot of an attempt and updates the estimates from its result.
     *
     * When the job of an attempt was removed and the connection broke, the upstream may still run the task.
     * The slot of such an attempt becomes free when the task is expected to have ended.
     */
    void finish(TimePoint now, AttemptId attempt, const AttemptResult &result);

    /// Sets the entry VMs of the failure domain that capacity can be borrowed from.
    void setPeers(const std::vector<std::string> &vms);

    /// Returns the capacity requests that have to be sent after a call of place().
    std::vector<OutgoingCapacityRequest> capacityRequests(TimePoint now);

    /// Answers the request of @p vm. Returns nothing if the request is from an older incarnation.
    std::optional<CapacityGrant> lend(TimePoint now, const std::string &vm, std::uint64_t incarnation,
                                      const CapacityRequest &request);

    /// Applies a grant of @p vm; one that is out of date is ignored.
    void borrow(TimePoint now, const std::string &vm, std::uint64_t incarnation, const CapacityGrant &grant);

    /// Returns the known upstreams, sorted by name.
    std::vector<UpstreamStatus> upstreams() const;
    /// Returns the declared classes.
    std::vector<ClassStatus> classes(TimePoint now) const;
    std::uint32_t freeSlots(TimePoint now) const;
    std::uint32_t queuedTasks() const;
    /// Returns how many tasks of typical need can run concurrently.
    std::uint32_t parallelTasks() const;
    /// Returns the headroom of each declared class whose service time is learned.
    std::vector<ClassHeadroom> classHeadroom(TimePoint now) const;
    /// Returns the headroom for each label that jobs required recently; the number of labels is limited.
    std::vector<LabelHeadroom> labelHeadroom(TimePoint now) const;
    /// Number of upstreams that run tasks.
    std::uint32_t servingUpstreams() const;
    AdmissionStatus admissionStatus() const;
    /// Returns the total expected run time of the queued tasks. Those that wait for a part of the upstreams
    /// count only as far as they keep other tasks waiting.
    Duration waitingWork() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace Citronpitch
