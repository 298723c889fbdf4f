#pragma once

#include "citronpitch/configurationnode.h"
#include "citronpitch/eventlooplag.h"
#include "citronpitch/peerdirectory.h"
#include "fleet/bootclock.h"
#include "fleet/fleetsettings.h"
#include "fleet/lastingfaultreport.h"
#include "log/metrics.h"
#include "net/peerlinks.h"
#include "store/configurationstore.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <thread>

namespace citronpitch::wire::fleet {
class Heartbeat;
class Message;
} // namespace citronpitch::wire::fleet

namespace Citronpitch {

/// Callbacks of a FleetMember into the VM that it belongs to.
struct FleetMemberHooks
{
    /// Adds the fields of a heartbeat that depend on the role of this VM.
    std::function<void(citronpitch::wire::fleet::Heartbeat &)> fillHeartbeat;
    /// A message of @p vm arrived; called for heartbeats too.
    std::function<void(const std::string &vm, const citronpitch::wire::fleet::Message &)> received;
    std::function<void(const PeerChange &)> peerChanged;
    /// A configuration has become active.
    std::function<void(const Configuration &)> configurationChanged;
    /// The change of an operator was accepted or refused.
    std::function<void(const AnswerChange &)> changeAnswered;
    std::function<void()> ticked;
};

/**
 * @brief Membership of one VM in a fleet: its links, the reachable VMs, and the replicated configuration.
 *
 * Used by FleetEntry and FleetControl on their event loop.
 */
class FleetMember
{
public:
    /// Throws std::exception if a listener can't be opened, or the journal is damaged or can't be read.
    FleetMember(boost::asio::io_context &io, const FleetSettings &settings, FleetMemberHooks hooks);
    ~FleetMember();
    FleetMember(const FleetMember &) = delete;
    FleetMember &operator=(const FleetMember &) = delete;

    void start();

    /// Sends @p message to @p vm. Returns false if it was certainly not delivered, because there is no
    /// connection; otherwise delivery is likely but not certain.
    bool send(const std::string &vm, citronpitch::wire::fleet::Message &message);

    /// Sends a heartbeat to all PeerDirectory::heartbeatTargets() immediately.
    void sendHeartbeats();

    /// Proposes a change of an operator; its answer is reported by hooks.changeAnswered.
    void propose(ChangeRequestId request, const ConfigurationChange &change);

    /// Resends the change of @p request no more; it is not answered.
    void withdraw(ChangeRequestId request);
    /// Sets the VMs that are asked for heartbeats in addition to the control VMs, and connects to them.
    void subscribe(const std::set<std::string> &vms);

    /// Divides a failure domain into other groups. Call on the leader only.
    void setPartition(const DomainPartition &wanted);

    /// Assigns a group to a holder. Call on the leader only.
    void assignHolder(const GroupHolder &wanted);

    /// Sets the gauges of the other VMs and of the configuration.
    void collect(Metrics &metrics) const;

    TimePoint now() const;

    /// How long the message that hooks.received is called for was on its way, and waited here, beyond the
    /// usual time.
    Duration messageAge() const;

    /// Lag of the event loop.
    const EventLoopLag &lag() const;
    const FleetPeer &self() const;
    const PeerDirectory &directory() const;
    const ConfigurationNode &configuration() const;

    /// Whether it is certain that the active configuration was the newest within the last second. Answers
    /// that a missed change would make wrong require it.
    bool isConfigurationCurrent() const;

private:
    /// Restores the configuration from the journal and begins to open it; throws std::exception if it is
    /// damaged.
    void openConfiguration();
    std::unique_ptr<ConfigurationStore> newStore();
    /// Opens the journal on a thread of its own, at the start or after a write to it failed.
    void openStore();
    void storeOpened(std::unique_ptr<ConfigurationStore> store);
    void storeFailed(const std::string &error);
    /// A job or announcement that waits until more urgent messages were handled.
    struct DeferredMessage
    {
        TimePoint receivedAt;
        Duration age{};
        std::shared_ptr<citronpitch::wire::fleet::Message> message;
        std::size_t bytes = 0;
    };

    void received(std::string_view bytes);
    void handleOrDefer(const citronpitch::wire::fleet::Message &message, std::size_t bytes);
    void startTurn();
    void handleDeferred();
    void handle(const citronpitch::wire::fleet::Message &message, std::size_t bytes);
    void heartbeatReceived(const citronpitch::wire::fleet::Message &message);
    void sendHeartbeats(const std::vector<std::string> &vms);
    void updateLinks();
    void updateMembers();
    void reportChanges();
    void scheduleTick();
    void tick();
    void executeActions();
    void execute(const AppendRecords &action);
    void execute(const ReplaceRecords &action);
    void execute(const SendConfigurationMessage &action);
    void execute(const ActivateConfiguration &action);
    void execute(const AnswerChange &action);
    void logRecovery() const;
    void logLeaderChange();
    void logMissingLeader();
    void logOutdatedConfiguration();
    void logEvacuations();

    boost::asio::io_context &m_io;
    FleetSettings m_settings;
    FleetMemberHooks m_hooks;
    BootClock m_clock;
    FleetPeer m_self;
    std::uint16_t m_peerPort;
    PeerDirectory m_directory;
    std::unique_ptr<ConfigurationStore> m_store;
    std::thread m_opener;
    bool m_isOpening = false;
    std::unique_ptr<ConfigurationNode> m_node;
    PeerLinks m_links;
    EventLoopLag m_lag;
    boost::asio::steady_timer m_timer;
    std::deque<DeferredMessage> m_deferred;
    std::size_t m_deferredBytes = 0;
    /// Jobs and announcements handled in this turn of the event loop.
    int m_handledInTurn = 0;
    bool m_isTurnStarted = false;
    Duration m_messageAge{};
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
    std::set<std::string> m_linked;
    /// Links that came up since the last heartbeat on them.
    std::set<std::string> m_newLinks;
    /// PeerDirectory::version() for which the links are up to date.
    std::uint64_t m_linkedVersion = 0;
    std::vector<ConfigurationMember> m_members;
    TimePoint m_nextHeartbeat;
    TimePoint m_reopenAt;
    std::string m_loggedLeader;
    LastingFaultReport m_missingLeaderReport;
    LastingFaultReport m_outdatedReport;
    std::vector<DomainEvacuation> m_loggedEvacuations;
    bool m_isExecuting = false;
};

} // namespace Citronpitch
