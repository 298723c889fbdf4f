#pragma once

#include "citronpitch/groupdispatcher.h"
#include "citronpitch/workdeclaration.h"
#include "fleet/fleetmember.h"
#include "fleet/upstreamregistry.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace citronpitch::wire::fleet {
class TaskCrashes;
} // namespace citronpitch::wire::fleet

namespace Citronpitch {

/// Callbacks of a HeldGroups into the process that runs it.
struct HeldGroupsHooks
{
    /// Sends an order; calls back exactly once, and not before it returns.
    std::function<void(const RunOrder &order, std::function<void(const OrderResult &)> ended)> sendOrder;
    /// Returns the name under which a task runs on its upstream.
    std::function<std::string(const std::string &key, std::uint32_t task)> nameTask;
    /// Receives the answer to a job of this VM, see submit(). Must not call back before it returns.
    std::function<void(const FinishedJob &)> ownJobFinished;
    /// A job of this VM with this number was reserved. Must not call back before it returns.
    std::function<void(std::uint64_t number)> ownJobReserved;
};

/**
 * @brief Holds groups of upstreams for one VM: takes them over and releases them as the configuration says,
 * and dispatches the jobs that entry VMs route to them.
 */
class HeldGroups
{
public:
    /// The references must outlive this object.
    HeldGroups(const FleetSettings &settings, FleetMember &member, const UpstreamRegistry &registry,
               Metrics &metrics, HeldGroupsHooks hooks);

    /// Applies the declared classes of work and pools.
    void setDeclaration(const WorkDeclaration &declaration);

    /// Applies the holders and partitions of the active configuration. A VM that shuts down,
    /// @p isShuttingDown, takes over no group.
    void setConfiguration(const Configuration &configuration, bool isShuttingDown);

    /// Applies the evacuated failure domains of the active configuration.
    void setEvacuations(const std::vector<DomainEvacuation> &evacuations);

    /// Passes a newer announcement to the group that the upstream belongs to, if this VM holds it.
    void announce(const RegisteredUpstream &upstream);

    void heartbeatReceived(const std::string &vm, const citronpitch::wire::fleet::Heartbeat &heartbeat);

    /// Handles a RunJob, a StartJob or a CancelJob.
    void jobReceived(const std::string &vm, const citronpitch::wire::fleet::Message &message);

    /// Runs a job of this VM itself, without a message.
    void submit(const std::string &group, const RoutedJob &job);
    /// Cancels a job of this VM.
    void cancel(const JobOrigin &origin);

    /// Starts a job that was reserved.
    void startReceived(const JobOrigin &origin);

    /// Sends all records of crashes to @p vm.
    void peerReachable(const std::string &vm);
    void peerUnreachable(const std::string &vm);

    /// Handles records of crashes that @p vm has sent.
    void crashesReceived(const std::string &vm, const citronpitch::wire::fleet::TaskCrashes &message);

    void tick();

    /// Sends the orders and answers that are due.
    void executeActions();

    /// Adds the loads of the groups to a heartbeat.
    void fillHeartbeat(citronpitch::wire::fleet::Heartbeat &heartbeat) const;

    /// Loads of the groups that this VM dispatches.
    std::vector<GroupLoad> loads() const;

    /// VMs whose heartbeats show when groups of them can be taken over.
    std::set<std::string> previousHolders() const;

    /// Whether no job is in flight.
    bool isIdle() const;

    void collect(Metrics &metrics) const;

private:
    /// A group assigned to this VM whose previous holder may still have jobs in flight.
    struct Takeover
    {
        std::uint64_t fence = 0;
        std::string previousHolder;
        /// Group by which the previous holder dispatched the upstreams; differs after a change of the
        /// partition.
        std::string previousGroup;
        /// Until then, a previous holder that is not connected may still have jobs in flight.
        TimePoint connectDeadline;
        TimePoint deadline;
        /// There are several previous holders, so that the deadline decides.
        bool hasSeveralPreviousHolders = false;
    };

    /// A holder of a group that a change of the partition has removed.
    struct RemovedHolder
    {
        GroupHolder holder;
        TimePoint expiresAt;
    };

    /// An evacuated failure domain.
    struct Evacuation
    {
        /// When the last queued task of a job accepted before may start.
        TimePoint startDeadline;
        /// Jobs refused because of it, by group.
        std::map<std::string, std::uint64_t> refusals;
        bool hasLoggedEnd = false;
    };

    TimePoint now() const;
    void rememberRemovedHolders(const std::vector<GroupHolder> &previous);
    Takeover newTakeover(const GroupHolder &own, const std::vector<GroupHolder> &previous) const;
    bool hasPreviousHolderEnded(const Takeover &takeover) const;
    /// Applies an evacuation, or the time after one, to a group taken over.
    void applyEvacuation(const std::string &group, GroupDispatcher &dispatcher);
    /// When the last queued task may start in a domain that this VM now knows to be evacuated.
    TimePoint startDeadline() const;
    void logEndedStarts();
    void completeTakeovers();
    /// Closes or opens the groups as the event loop begins or ceases to lag.
    void updateOverload();
    void takeOverGroup(const std::string &group, std::uint64_t fence);
    void removeReleasedGroups();
    void execute(const std::string &group, const RunOrder &order);
    void execute(const std::string &group, const FinishedJob &finished);
    void execute(const std::string &group, const ReservedJob &reserved);
    void execute(const std::string &group, const LostRun &lost);
    void execute(const std::string &group, const ConcludedRun &concluded);
    void execute(const std::string &group, const ExpiredUpstream &expired);
    void execute(const std::string &group, const SupersededUpstream &superseded);
    /// Sends the records of crashes that are new since the last call to the other VMs.
    void sendNewCrashes();
    /// Passes on the records that entry VMs have sent.
    void relayCrashes();
    void expireCrashes();
    /// Sends records to all VMs that this VM reports crashes to.
    void sendCrashes(const std::vector<TaskCrash> &crashes);
    void sendCrashes(const std::string &vm, const std::vector<TaskCrash> &crashes);
    /// Acknowledges the jobs that were received and not answered yet.
    void sendReceipts();
    void recordOrder(const std::string &group, const RunOrder &order, const OrderResult &result,
                     TimePoint sentAt);

    const FleetSettings &m_settings;
    FleetMember &m_member;
    const UpstreamRegistry &m_registry;
    Metrics &m_metrics;
    HeldGroupsHooks m_hooks;
    std::vector<ClassDeclaration> m_classes;
    /// Pools whose upstreams accept tasks beyond their capacity.
    std::set<std::string> m_unguardedPools;
    CrashLedger m_crashes;
    /// Records of entry VMs that have not been passed on yet.
    std::vector<TaskCrash> m_unsentCrashes;
    TimePoint m_nextCrashRelay;
    TimePoint m_nextCrashExpiry;
    std::map<std::string, std::unique_ptr<GroupDispatcher>> m_groups;
    std::map<std::string, Takeover> m_takeovers;
    /// Groups that other VMs report to dispatch, by VM.
    std::map<std::string, std::set<std::string>> m_reportedGroups;
    std::vector<GroupHolder> m_holders;
    std::vector<DomainPartition> m_partitions;
    std::vector<RemovedHolder> m_removedHolders;
    /// Numbers of received jobs without an acknowledgement or answer so far, by entry VM.
    std::map<std::string, std::set<std::uint64_t>> m_receipts;
    TimePoint m_nextReceipts;
    std::map<std::string, Evacuation> m_evacuations;
    /// By failure domain that was evacuated: when the last of its upstreams is used again.
    std::map<std::string, TimePoint> m_warmUpEnds;
    /// When the active configuration was last known to be the newest.
    TimePoint m_confirmedAt;
    bool m_isExecuting = false;
    bool m_isOverloaded = false;
};

} // namespace Citronpitch
