#pragma once

#include "citronpitch/jobrouter.h"
#include "fleet/activedeclaration.h"
#include "fleet/fleetmember.h"
#include "fleet/heldgroups.h"
#include "fleet/metricspage.h"
#include "fleet/shutdownsequence.h"
#include "fleet/upstreamregistry.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace citronpitch::wire::fleet {
class Announcement;
class AnnouncementBatch;
} // namespace citronpitch::wire::fleet

namespace Citronpitch {

/// Callbacks of a FleetEntry into the process that runs it.
struct FleetEntryHooks
{
    ParseDocument parse;
    /// Sends an order; calls back exactly once, and not before it returns.
    std::function<void(const RunOrder &order, std::function<void(const OrderResult &)> ended)> sendOrder;
    /// Returns the name under which a task runs on its upstream.
    std::function<std::string(const std::string &key, std::uint32_t task)> nameTask;
    /// Adds the metrics of the owner's listeners at a scrape; may be empty.
    std::function<void(Metrics &)> collect;
};

/// Receives the only answer to a caller's job.
using JobAnswered = std::function<void(const Answer &)>;

/**
 * @brief Runs an entry VM of a fleet: accepts callers' jobs, routes them to the holders of groups, and
 * dispatches for the groups of a partitioned failure domain that it holds itself.
 */
class FleetEntry
{
public:
    FleetEntry(boost::asio::io_context &io, const FleetSettings &settings, FleetEntryHooks hooks);

    void start();

    /// Runs @p job and calls @p answered once. Returns the number with which cancel() withdraws the caller.
    CallerId submit(RoutedJob job, JobAnswered answered);

    /// Withdraws @p caller, which no longer waits for its answer.
    void cancel(CallerId caller);

    /// Logs that job @p key of @p peer was refused without submit(), since @p field asks for what is not
    /// supported.
    static void unsupportedJobRefused(const std::string &peer, const std::string &key,
                                      const std::string &field);

    /// The active declaration; null until this incarnation has known for certain that one is the newest.
    const WorkDeclaration *declaration() const;

    /// Whether a queue that declaration() does not have does not exist: it was the newest within the last
    /// second. Otherwise it may have been added meanwhile.
    bool isDeclarationCurrent() const;

    /// Logs that the active declaration has no queue for a request of @p peer to @p path at @p host.
    void routeNotFound(const std::string &peer, const std::string &host, const std::string &path) const;

    /// Whether callers' jobs can be served.
    bool isReady() const;

    /// Reports not ready, serves @p callers until load balancers have noticed, then closes it and stops the
    /// event loop.
    void shutDown(HttpServer &callers);

    TimePoint now() const;

private:
    void fillHeartbeat(citronpitch::wire::fleet::Heartbeat &heartbeat) const;
    void received(const std::string &vm, const citronpitch::wire::fleet::Message &message);
    void peerChanged(const PeerChange &change);
    void configurationChanged(const Configuration &configuration);
    void ticked();
    void executeActions();
    void announcementReceived(const std::string &vm, const citronpitch::wire::fleet::Announcement &message);
    void announcementsReceived(const citronpitch::wire::fleet::AnnouncementBatch &batch);
    /// Requests the upstreams of groups that this VM holds and that no control VM has answered for.
    void requestRegistry();
    /// Connects to the holders of the groups that jobs are routed to.
    void updateSubscriptions();
    /// Reports the loads of the own groups to the router.
    void reportOwnLoads();
    void ownJobReserved(std::uint64_t number);
    void ownJobFinished(const FinishedJob &finished);
    void execute(const SendJob &action);
    void execute(const SendStart &action);
    void execute(const SendCancel &action);
    void execute(const AnswerCaller &action);

    /// A caller without an answer so far.
    struct WaitingCaller
    {
        JobAnswered answered;
        std::string key;
        std::string className;
        TimePoint arrivedAt;
    };

    void answer(const WaitingCaller &caller, const Answer &answer);
    void collect(Metrics &metrics) const;

    boost::asio::io_context &m_io;
    FleetSettings m_settings;
    std::function<void(Metrics &)> m_collectListeners;
    ActiveDeclaration m_activeDeclaration;
    JobRouter m_router;
    /// Upstreams of the groups that this VM holds.
    UpstreamRegistry m_registry;
    FleetMember m_member;
    MetricsPage m_metricsPage;
    HeldGroups m_groups;
    ShutdownSequence m_shutdown;
    /// Own groups and their fencing tokens.
    std::map<std::string, std::uint64_t> m_ownGroups;
    /// Own groups whose upstreams no control VM has sent yet.
    std::set<std::string> m_unansweredGroups;
    std::size_t m_registryRequests = 0;
    TimePoint m_nextRegistryRequestAt;
    /// Holders of the groups that jobs are routed to, and those that this VM is connected to.
    std::set<std::string> m_wantedHolders;
    std::set<std::string> m_subscriptions;
    TimePoint m_nextLoadReportAt;
    /// Whether the router knows this VM as a holder.
    bool m_isOwnHolder = false;
    /// Whether the active declaration has been the newest for certain in this incarnation.
    bool m_hasBeenCurrent = false;
    bool m_isExecuting = false;
    std::map<CallerId, WaitingCaller> m_callers;
    CallerId m_nextCaller = 1;
};

} // namespace Citronpitch
