#pragma once

#include "citronpitch/jobrouter.h"
#include "fleet/activedeclaration.h"
#include "fleet/fleetmember.h"
#include "fleet/metricspage.h"
#include "fleet/shutdownsequence.h"

#include <functional>
#include <map>

namespace Citronpitch {

/// Told the one answer to a caller's job.
using JobAnswered = std::function<void(const Answer &)>;

/**
 * @brief An entry VM of a fleet: takes callers' jobs and passes them to the VMs that dispatch.
 */
class FleetEntry
{
public:
    FleetEntry(boost::asio::io_context &io, const FleetSettings &settings, ParseDocument parse);

    void start();

    /// Runs @p job and calls @p answered once. Returns the number by which the caller can leave.
    CallerId submit(RoutedJob job, JobAnswered answered);

    /// Nobody waits for the answer to @p caller any more.
    void cancel(CallerId caller);

    /// The declaration in force; null before the first.
    const WorkDeclaration *declaration() const;

    /// Whether callers' jobs can be served.
    bool isReady() const;

    /// Is no longer ready, serves whoever still comes to @p callers, closes it, and stops the event loop.
    void shutDown(HttpServer &callers);

    TimePoint now() const;

private:
    void fillHeartbeat(citronpitch::wire::fleet::Heartbeat &heartbeat) const;
    void received(const std::string &vm, const citronpitch::wire::fleet::Message &message);
    void peerChanged(const PeerChange &change);
    void configurationChanged(const Configuration &configuration);
    void ticked();
    void executeActions();

    /// A caller that waits for its answer.
    struct WaitingCaller
    {
        JobAnswered answered;
        std::string key;
        std::string className;
        TimePoint arrivedAt;
    };

    void answer(const WaitingCaller &caller, const Answer &answer);
    void collect(Metrics &metrics) const;

    ActiveDeclaration m_activeDeclaration;
    JobRouter m_router;
    FleetMember m_member;
    MetricsPage m_metricsPage;
    ShutdownSequence m_shutdown;
    Duration m_drainTimeout;
    std::map<CallerId, WaitingCaller> m_callers;
    CallerId m_nextCaller = 1;
};

} // namespace Citronpitch
