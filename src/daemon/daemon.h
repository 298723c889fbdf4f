#pragma once

#include "citronpitch/entryvm.h"
#include "daemon/configurationservice.h"
#include "daemon/statechangelogger.h"
#include "net/httpserver.h"
#include "net/peerlinks.h"
#include "net/upstreamclient.h"
#include "settings/settings.h"
#include "store/claimstore.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <random>

namespace Citronpitch {

/**
 * @brief Process of one entry VM: feeds sockets, files and timers into EntryVm and executes its actions.
 *
 * Single-threaded; runs on one event loop. Used by main().
 */
class Daemon
{
public:
    /// Binds all listeners, recovers the claims and activates the configuration. @p settingsFile is reloaded
    /// on SIGHUP.
    Daemon(const Settings &settings, std::string settingsFile, std::unique_ptr<ClaimStore> claims);

    /// Runs the event loop until a graceful shutdown is complete. Returns false if a defect of the program
    /// ended it.
    bool run();

private:
    DisconnectHandler handleCaller(const HttpRequest &request, HttpResponder respond);
    DisconnectHandler submit(const HttpRequest &request, HttpResponder respond);
    DisconnectHandler handleControl(const HttpRequest &request, const HttpResponder &respond);
    void explain(const HttpRequest &request, const HttpResponder &respond);
    void announce(const HttpRequest &request, const HttpResponder &respond);
    void issueKeys(const HttpResponder &respond);
    void handlePeerMessage(std::string_view bytes);
    void executeActions();
    void execute(const StartTask &action);
    void execute(const StopTask &action);
    void execute(const AnswerCaller &action);
    void execute(const SendPeerMessage &action);
    void execute(const AppendClaimRecord &action);
    void recoverClaims();
    void storageFailed(const StepError &error);
    void scheduleTick();
    void tick();
    void logStateChanges();
    void waitForSignal();
    void drain();
    void reload();
    void sendConfiguration(const std::string &vm, const std::string &bytes);
    std::string newKey();
    TimePoint now() const;

    Settings m_settings;
    std::string m_settingsFile;
    std::chrono::steady_clock::time_point m_steadyStart;
    TimePoint m_wallStart;
    boost::asio::io_context m_io;
    boost::asio::signal_set m_signals;
    std::unique_ptr<ClaimStore> m_claims;
    std::uint64_t m_incarnation;
    EntryVm m_vm;
    UpstreamClient m_upstreams;
    PeerLinks m_links;
    ConfigurationService m_configuration;
    HttpServer m_callerServer;
    HttpServer m_controlServer;
    boost::asio::steady_timer m_tickTimer;
    std::map<CallerId, HttpResponder> m_pendingCallers;
    StateChangeLogger m_stateChangeLogger;
    TimePoint m_nextStateCheck;
    std::mt19937_64 m_random;
    CallerId m_nextCaller = 1;
    TimePoint m_drainDeadline;
    TimePoint m_acceptUntil;
    bool m_isExecuting = false;
    bool m_isDraining = false;
    bool m_hasStoppedListening = false;
};

} // namespace Citronpitch
