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

/// What a ConfigurationService needs of the process around it.
struct ConfigurationHooks
{
    std::function<TimePoint()> now;
    /// Sends bytes for the ConfigurationService of another entry VM.
    std::function<void(const std::string &vm, const std::string &bytes)> send;
    /// A configuration is in force from now on.
    std::function<void(const Configuration &)> show;
};

/**
 * @brief The replicated configuration of one entry VM's process: ConfigurationNode with its journal, its
 * messages and the operators' HTTP resources.
 *
 * Used by Daemon on its event loop.
 */
class ConfigurationService
{
public:
    /// Throws std::runtime_error where the journal is damaged or can't be opened.
    ConfigurationService(boost::asio::io_context &io, const Settings &settings, ConfigurationHooks hooks);

    /// Shows the configuration that was in force before, or the initial one.
    void start();

    void receive(const std::string &vm, const std::string &bytes);
    void tick();

    /// Whether handle() serves @p path.
    static bool handlesPath(std::string_view path);

    /// Serves the operators' resources below /v1/configuration.
    DisconnectHandler handle(const HttpRequest &request, const HttpResponder &respond);

    const ConfigurationNode &node() const;

private:
    DisconnectHandler change(const HttpRequest &request, const HttpResponder &respond);
    void execute();
    void execute(const AppendRecords &action);
    void execute(const ReplaceRecords &action);
    void execute(const SendConfigurationMessage &action);
    void execute(const ActivateConfiguration &action);
    void execute(const AnswerChange &action);
    void logLeaderChange();

    ConfigurationHooks m_hooks;
    ConfigurationStore m_store;
    ConfigurationNode m_node;
    std::map<ChangeRequestId, HttpResponder> m_pendingChanges;
    ChangeRequestId m_nextRequest = 1;
    std::string m_loggedLeader;
};

} // namespace Citronpitch
