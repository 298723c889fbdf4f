#pragma once

#include "citronpitch/capacityloan.h"
#include "citronpitch/claimtable.h"
#include "citronpitch/configuration.h"
#include "citronpitch/job.h"
#include "citronpitch/placementpolicy.h"
#include "citronpitch/upstream.h"

#include <cstdint>
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

/// Why a job is not taken, and when to come back.
struct Refusal
{
    Reason reason = Reason::None;
    std::string detail;
    std::optional<TimePoint> retryAt;
};

/// One upstream as operators see it.
struct UpstreamStatus
{
    UpstreamAnnouncement announcement;
    /// Slots that this entry VM may use.
    std::uint32_t ownSlots = 0;
    std::uint32_t busySlots = 0;
    /// State in charts/upstream.json.
    std::string state;
};

/// How a class does against its target, as this entry VM sees it.
struct ClassStatus
{
    std::string name;
    /// Recent misses over those that the target allows; more than one is behind.
    double burn = 0;
    std::uint32_t queuedTasks = 0;
};

/// Places that are fast enough for a class.
struct ClassHeadroom
{
    std::string className;
    std::uint32_t tasks = 0;
};

/// How a Dispatcher decides.
struct DispatcherOptions
{
    PlacementPolicy placement = PlacementPolicy::Target;
    /// Seed of PlacementPolicy::Random.
    std::uint64_t seed = 0;
    /// Number of entry VMs over which the quota of a team is spread.
    std::uint32_t entryVms = 1;
};

/**
 * @brief Decides which waiting task runs next and on which upstream.
 *
 * Holds the upstreams of the failure domain, the queue of waiting tasks and the attempts in flight. Used by
 * EntryVm, which turns placements into start messages and reports how the attempts ended.
 */
class Dispatcher
{
public:
    explicit Dispatcher(const DispatcherOptions &options = {});
    ~Dispatcher();
    Dispatcher(Dispatcher &&other) noexcept;
    Dispatcher &operator=(Dispatcher &&other) noexcept;

    /// Takes over the declared classes and teams; takes effect on queued tasks at once.
    void setConfiguration(const Configuration &configuration);

    /**
     * Sets this VM's part of every upstream's slots: part number @p shareIndex of @p shareCount, counted from
     * zero.
     *
     * The entry VMs of a failure domain hold different numbers, so that together they use each slot once.
     */
    void setShare(TimePoint now, std::uint32_t shareIndex, std::uint32_t shareCount);

    /// Adds an upstream, renews its lease, or notes that it is leaving. An older incarnation is ignored.
    void announce(TimePoint now, const UpstreamAnnouncement &announcement);

    /// Whether @p upstream, which must be known, takes no starts for a while; its lease and incarnation stay.
    void setPaused(TimePoint now, const std::string &upstream, bool isPaused);

    /// Why @p submission is refused at @p now, or nothing when it is taken.
    std::optional<Refusal> refusal(TimePoint now, const Submission &submission) const;

    /// Queues every task of a job.
    void add(TimePoint now, JobId job, const Submission &submission);

    /// Queues one task again after an attempt that did not start it, or that may be repeated.
    void requeue(TimePoint now, JobId job, const Submission &submission, std::uint32_t task);

    /// Whether a task that may have run may be tried again now; takes the retry from the budget.
    bool takeRetry();

    /**
     * Drops the waiting tasks of a job that is answered; its attempts in flight keep their slots until they
     * end.
     */
    void remove(TimePoint now, JobId job);

    /// Chooses upstreams for as many waiting tasks as there are usable slots.
    std::vector<Placement> place(TimePoint now);

    /**
     * Jobs that place() gave up since the last call: nothing of them has started, and with what waits before
     * them their deadlines can't be met. The owner answers them at once and removes them.
     */
    std::vector<JobId> takeShedJobs();

    /**
     * Frees the slot of an attempt and learns from how it ended.
     *
     * An upstream may go on with a task after its connection was given up; the slot of such an attempt is
     * free once the task is expected to have ended.
     */
    void finish(TimePoint now, AttemptId attempt, const AttemptResult &result);

    /// Sets the entry VMs of the failure domain of which capacity can be borrowed.
    void setPeers(const std::vector<std::string> &vms);

    /// Requests for capacity that have to be sent after a call of place().
    std::vector<OutgoingCapacityRequest> capacityRequests(TimePoint now);

    /// Answers the request of @p vm; nothing for one of an ended incarnation.
    std::optional<CapacityGrant> lend(TimePoint now, const std::string &vm, std::uint64_t incarnation,
                                      const CapacityRequest &request);

    /// Takes over what @p vm has lent.
    void borrow(TimePoint now, const std::string &vm, std::uint64_t incarnation, const CapacityGrant &grant);

    /// The known upstreams, by name.
    std::vector<UpstreamStatus> upstreams() const;
    /// The declared classes.
    std::vector<ClassStatus> classes(TimePoint now) const;
    std::uint32_t freeSlots(TimePoint now) const;
    std::uint32_t queuedTasks() const;
    /// Tasks of the usual need that run side by side.
    std::uint32_t parallelTasks() const;
    /// For each class with a learned time: tasks that would start at once on upstreams fast enough for it.
    std::vector<ClassHeadroom> classHeadroom(TimePoint now) const;
    /// Expected run time of the waiting tasks.
    Duration waitingWork() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace Citronpitch
