#pragma once

#include "citronpitch/configurationnode.h"
#include "net/httptypes.h"
#include "settings/settings.h"
#include "store/configurationstore.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace Citronpitch {

/// Callbacks of a ConfigurationService into its process.
struct ConfigurationHooks
{
    std::function<TimePoint()> now;
    /// Sends a message to the ConfigurationService of another entry VM; may drop it.
    std::function<void(const std::string &vm, const std::string &bytes)> send;
    /// Activates a configuration in the process.
    std::function<void(const Configuration &)> activate;
};

/**
 * @brief Runs the ConfigurationNode of an entry VM: executes its actions, stores its journal and serves the
 * operators' HTTP resources.
 *
 * Used by Daemon on its event loop.
 */
class ConfigurationService
{
public:
    /// Throws std::runtime_error if the journal is damaged or can't be opened.
    ConfigurationService(boost::asio::io_context &io, const Settings &settings, ConfigurationHooks hooks);

    /// Activates the recovered configuration, or the initial one.
    void start();

    /// Handles a message that the ConfigurationService of @p vm sent.
    void receive(const std::string &vm, const std::string &bytes);

    /// Runs the timers of the node and logs a change of the leader. To be called periodically.
    void tick();

    /// Returns whether handle() is responsible for @p path.
    static bool handlesPath(std::string_view path);

    /// Handles the operators' requests to /v1/configuration and below.
    DisconnectHandler handle(const HttpRequest &request, const HttpResponder &respond);

    /// Whether no other VM can have accepted a newer configuration than the active one until shortly before.
    bool isCurrent() const;

    const ConfigurationNode &node() const;

private:
    DisconnectHandler change(const HttpRequest &request, const HttpResponder &respond);
    void executeActions();
    void execute(const AppendRecords &action);
    void execute(const ReplaceRecords &action);
    void execute(const SendConfigurationMessage &action);
    void execute(const ActivateConfiguration &action);
    void execute(const AnswerChange &action);
    void storeFailed(const StepError &error);
    void logLeaderChange();

    ConfigurationHooks m_hooks;
    ConfigurationStore m_store;
    ConfigurationNode m_node;
    bool m_isOnlyVm = false;
    std::map<ChangeRequestId, HttpResponder> m_pendingChanges;
    ChangeRequestId m_nextRequest = 1;
    std::string m_loggedLeader;
};

} // namespace Citronpitch
