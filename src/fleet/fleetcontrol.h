#pragma once

#include "citronpitch/announcementrelay.h"
#include "citronpitch/holderassignment.h"
#include "citronpitch/partitionassigner.h"
#include "citronpitch/partitionplanner.h"
#include "fleet/activedeclaration.h"
#include "fleet/fleetmember.h"
#include "fleet/heldgroups.h"
#include "fleet/metricspage.h"
#include "fleet/shutdownsequence.h"
#include "fleet/upstreamregistry.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace citronpitch::wire::fleet {
class Announcement;
class AnnouncementBatch;
class RegistryRequest;
} // namespace citronpitch::wire::fleet

namespace Citronpitch {

/// Why an announcement can't be of the known upstream with its name.
struct AnnouncementContradiction
{
    std::string text;
    /// False if a change of the configuration that this VM may have missed could resolve it.
    bool isCertain = true;
};

/// Callbacks of a FleetControl into the process that runs it.
struct FleetControlHooks
{
    ParseDocument parse;
    /// Sends an order; calls back exactly once, and not before it returns.
    std::function<void(const RunOrder &order, std::function<void(const OrderResult &)> ended)> sendOrder;
    /// Returns the name under which a task runs on its upstream.
    std::function<std::string(const std::string &key, std::uint32_t task)> nameTask;
    /// Adds the metrics of the owner's listeners at a scrape; may be empty.
    std::function<void(Metrics &)> collect;
};

/**
 * @brief Runs a control VM of a fleet: votes on the configuration, receives announcements of upstreams, and
 * dispatches for the groups that it holds.
 */
class FleetControl
{
public:
    FleetControl(boost::asio::io_context &io, const FleetSettings &settings, FleetControlHooks hooks);
    ~FleetControl();

    void start();

    /**
     * Handles an announcement that an upstream sent to this VM; @p acknowledge is called once with whether to
     * acknowledge it.
     *
     * An announcement that the upstream is leaving or has left is acknowledged only once every reachable
     * control VM has it, and the entry VM that holds the upstream's group, if there is one.
     */
    void announce(FleetAnnouncement announcement, std::function<void(bool)> acknowledge);

    /// Why @p announcement can't be of the known upstream with its name: its failure domain or pool is
    /// another one, which doesn't exist. Nothing if it can be.
    std::optional<AnnouncementContradiction> contradictionOf(const FleetAnnouncement &announcement) const;

    /// Logs and counts a malformed announcement that this VM got from @p sender.
    void announcementRejected(const std::string &sender, const std::string &error);

    /// Incarnation @p incarnation of upstream @p name has left; zero stands for the known incarnation. Calls
    /// @p acknowledge as announce() does, and with true for an unknown upstream or incarnation.
    void upstreamLeft(const std::string &name, std::uint64_t incarnation,
                      std::function<void(bool)> acknowledge);

    /// Replaces the declared document for an operator; @p text is the document that @p declaration was parsed
    /// from.
    void replaceDocument(const WorkDeclaration &declaration, const std::string &text,
                         std::function<void(const ChangeAnswer &)> answered);

    /// Whether operators may evacuate failure domains.
    bool allowsEvacuations() const;

    /// Whether the deployment has failure domain @p name.
    bool hasDomain(const std::string &name) const;

    /// Evacuates or restores a failure domain for an operator, as @p kind says. @p answered is called once
    /// the change is in force, or with ChangeOutcome::Unknown while it is uncertain whether it will be.
    /// Returns the number for abandonDomainChange().
    ChangeRequestId changeDomain(ChangeKind kind, const std::string &domain,
                                 std::function<void(const ChangeAnswer &)> answered);

    /// The operator no longer waits for the answer.
    void abandonDomainChange(ChangeRequestId call);

    /// The newest declared document; nothing while it is uncertain which one that is.
    std::optional<DeclaredDocument> readDocument() const;

    /// Releases the groups once their jobs have ended, and then stops the event loop.
    void shutDown();

    TimePoint now() const;

private:
    struct PendingAnnouncement
    {
        std::set<std::string> unacknowledgedBy;
        /// Entry VM that has to acknowledge it even if it is unreachable, since it may still start tasks.
        std::string holder;
        std::function<void(bool)> acknowledge;
        TimePoint deadline;
    };

    /// A call of an operator to evacuate or restore a failure domain.
    struct DomainCall
    {
        ChangeKind kind = ChangeKind::EvacuateDomain;
        std::string domain;
        std::function<void(const ChangeAnswer &)> answered;
        TimePoint deadline;
        /// Newest proposal for it.
        ChangeRequestId proposal = 0;
    };

    void proposeDomainChange(ChangeRequestId call);
    void domainChangeAnswered(ChangeRequestId call, const ChangeAnswer &answer);
    void expireDomainCalls();
    void fillHeartbeat(citronpitch::wire::fleet::Heartbeat &heartbeat);
    void received(const std::string &vm, const citronpitch::wire::fleet::Message &message);
    void announcementReceived(const std::string &vm, const citronpitch::wire::fleet::Announcement &message);
    void announcementsReceived(const std::string &vm,
                               const citronpitch::wire::fleet::AnnouncementBatch &batch);
    /// Sends the announcements that are due to the other control VMs.
    void relayAnnouncements();
    /// Sends the announcements that are due to the entry VMs that hold groups.
    void relayToHolders();
    /// The entry VM that holds the group of @p announcement; null if none does.
    const GroupHolder *entryHolderOf(const FleetAnnouncement &announcement) const;
    void sendToOtherControlVms(citronpitch::wire::fleet::Message &message);
    void announcementAcknowledged(const std::string &vm, std::uint64_t request);
    void peerChanged(const PeerChange &change);
    void configurationChanged(const Configuration &configuration);
    void changeAnswered(const AnswerChange &answer);
    void ticked();
    void assignGroups();
    void planPartitions();
    void updateOverload(const std::string &vm, const citronpitch::wire::fleet::Heartbeat &heartbeat);
    void expireAnnouncements();
    void requestRegistry(const std::string &vm);
    void sendRegistry(const std::string &vm, const citronpitch::wire::fleet::RegistryRequest &request);
    void collect(Metrics &metrics) const;

    std::function<void(Metrics &)> m_collectListeners;
    ActiveDeclaration m_activeDeclaration;
    FleetSettings m_settings;
    UpstreamRegistry m_registry;
    AnnouncementRelay m_relay;
    /// Announcements for the entry VMs that hold groups.
    AnnouncementRelay m_holderRelay;
    PartitionPlanner m_partitionPlanner;
    PartitionAssigner m_partitionAssigner;
    std::vector<DomainPartition> m_partitions;
    /// Holders of the groups of partitioned domains, by group.
    std::map<std::string, GroupHolder> m_entryHolders;
    /// Entry VMs that accept no jobs for groups that they hold.
    std::set<std::string> m_overloadedVms;
    /// By control VM: when its registry may be requested again.
    std::map<std::string, TimePoint> m_nextRegistryRequestAt;
    FleetMember m_member;
    MetricsPage m_metricsPage;
    HeldGroups m_groups;
    ShutdownSequence m_shutdown;
    std::map<std::uint64_t, PendingAnnouncement> m_pendingAnnouncements;
    std::map<ChangeRequestId, std::function<void(const ChangeAnswer &)>> m_pendingChanges;
    std::map<ChangeRequestId, DomainCall> m_domainCalls;
    std::vector<DomainEvacuation> m_evacuations;
    std::map<std::string, TimePoint> m_aliveSince;
    TimePoint m_nextAssignment;
    TimePoint m_nextPartitionPlan;
    std::uint64_t m_nextRequest = 1;
};

} // namespace Citronpitch
