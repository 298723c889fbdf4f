#pragma once

#include "citronpitch/groupdispatcher.h"
#include "citronpitch/holderassignment.h"
#include "fleet/activedeclaration.h"
#include "fleet/fleetmember.h"
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
} // namespace citronpitch::wire::fleet

namespace Citronpitch {

/// What a FleetControl needs of the process around it.
struct FleetControlHooks
{
    ParseDocument parse;
    /// Sends an order; calls back once, never before it returns.
    std::function<void(const RunOrder &order, std::function<void(const OrderResult &)> ended)> sendOrder;
    /// Name of a task on its upstream.
    std::function<std::string(const std::string &key, std::uint32_t task)> nameTask;
};

/**
 * @brief A control VM of a fleet: votes, takes the announcements of upstreams, and dispatches for the groups
 * that it holds.
 */
class FleetControl
{
public:
    FleetControl(boost::asio::io_context &io, const FleetSettings &settings, FleetControlHooks hooks);
    ~FleetControl();

    void start();

    /**
     * An upstream announced itself here; @p acknowledge is told once whether that may be acknowledged.
     *
     * That an upstream is leaving is acknowledged only when every control VM in reach knows it.
     */
    void announce(FleetAnnouncement announcement, std::function<void(bool)> acknowledge);

    /// The upstream @p name has left in its life @p incarnation; zero: in the one that is known.
    void upstreamLeft(const std::string &name, std::uint64_t incarnation,
                      std::function<void(bool)> acknowledge);

    /// An operator replaces the declared document by @p text, which says @p declaration.
    void replaceDocument(const WorkDeclaration &declaration, const std::string &text,
                         std::function<void(const ChangeAnswer &)> answered);

    /// The newest declared document; nothing while it is not certain which one that is.
    std::optional<DeclaredDocument> readDocument() const;

    /// Gives its groups away once their jobs have ended, and stops the event loop.
    void shutDown();

    TimePoint now() const;

private:
    /// A group that this VM is to hold, while the holder before may still have jobs in flight.
    struct Takeover
    {
        std::uint64_t fence = 0;
        std::string previousHolder;
        TimePoint deadline;
    };

    struct PendingAnnouncement
    {
        std::set<std::string> unacknowledgedBy;
        std::function<void(bool)> acknowledge;
        TimePoint deadline;
    };

    bool areGroupsIdle() const;
    void fillHeartbeat(citronpitch::wire::fleet::Heartbeat &heartbeat);
    void received(const std::string &vm, const citronpitch::wire::fleet::Message &message);
    void heartbeatReceived(const std::string &vm, const citronpitch::wire::fleet::Heartbeat &heartbeat);
    void announcementReceived(const std::string &vm, const citronpitch::wire::fleet::Announcement &message);
    void announcementAcknowledged(const std::string &vm, std::uint64_t request);
    void jobReceived(const std::string &vm, const citronpitch::wire::fleet::Message &message);
    void peerChanged(const PeerChange &change);
    void configurationChanged(const Configuration &configuration);
    void changeAnswered(const AnswerChange &answer);
    void ticked();
    void updateGroups(const Configuration &configuration);
    void completeTakeovers();
    void takeOverGroup(const std::string &group, std::uint64_t fence);
    void removeReleasedGroups();
    void assignGroups();
    void expireAnnouncements();
    void announceToGroup(const RegisteredUpstream &upstream);
    void sendRegistry(const std::string &vm);
    void executeActions();
    void execute(const std::string &group, const RunOrder &order);
    void execute(const std::string &group, const FinishedJob &finished);
    void recordOrder(const std::string &group, const RunOrder &order, const OrderResult &result,
                     TimePoint sentAt);
    void collect(Metrics &metrics) const;

    FleetControlHooks m_hooks;
    ActiveDeclaration m_activeDeclaration;
    FleetSettings m_settings;
    UpstreamRegistry m_registry;
    FleetMember m_member;
    MetricsPage m_metricsPage;
    ShutdownSequence m_shutdown;
    std::vector<ClassDeclaration> m_classes;
    std::map<std::string, std::unique_ptr<GroupDispatcher>> m_groups;
    std::map<std::string, Takeover> m_takeovers;
    /// Fences that other VMs say they dispatch under, by group and VM.
    std::map<std::string, std::map<std::string, std::uint64_t>> m_reportedFences;
    std::map<std::uint64_t, PendingAnnouncement> m_pendingAnnouncements;
    std::map<ChangeRequestId, std::function<void(const ChangeAnswer &)>> m_pendingChanges;
    std::map<std::string, TimePoint> m_aliveSince;
    std::vector<GroupHolder> m_holders;
    TimePoint m_nextAssignment;
    std::uint64_t m_nextRequest = 1;
    bool m_isExecuting = false;
};

} // namespace Citronpitch
