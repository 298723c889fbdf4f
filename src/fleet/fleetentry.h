#pragma once

#include "citronpitch/jobrelay.h"
#include "citronpitch/workdeclaration.h"
#include "fleet/fleetmember.h"
#include "fleet/metricspage.h"

#include <functional>
#include <map>
#include <optional>

namespace Citronpitch {

/// Reads the text of a declared document; nothing where it can't be read.
using ParseDocument = std::function<std::optional<WorkDeclaration>(const DeclaredDocument &)>;

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
    CallerId submit(HeldJob job, JobAnswered answered);

    /// Nobody waits for the answer to @p caller any more.
    void leave(CallerId caller);

    /// The declaration in force; null before the first.
    const WorkDeclaration *declaration() const;

    /// Whether callers' jobs can be served.
    bool isReady() const;

    /// Takes no new callers; those that wait are served.
    void drain();
    bool isDraining() const;
    std::size_t waitingCallers() const;

    TimePoint now() const;

private:
    void describe(citronpitch::wire::fleet::Heartbeat &heartbeat) const;
    void received(const std::string &vm, const citronpitch::wire::fleet::Message &message);
    void peerChanged(const PeerChange &change);
    void shown(const Configuration &configuration);
    void ticked();
    void carryOut();

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

    ParseDocument m_parse;
    JobRelay m_relay;
    FleetMember m_member;
    MetricsPage m_page;
    std::optional<WorkDeclaration> m_declaration;
    std::map<CallerId, WaitingCaller> m_callers;
    CallerId m_nextCaller = 1;
    bool m_isDraining = false;
};

} // namespace Citronpitch
