#include "daemon/configurationservice.h"

#include "daemon/callerapi.h"
#include "daemon/configurationapi.h"
#include "log/eventlog.h"
#include "store/randomnumber.h"

#include <algorithm>
#include <charconv>

namespace Citronpitch {

namespace leaf = boost::leaf;

namespace {

constexpr std::string_view resourcePath = "/v1/configuration";
constexpr std::size_t defaultHistoryEntries = 100;
/// Age of the last proof that the active configuration is the newest, up to which it counts as current. A VM
/// without a vote gets a proof every second.
constexpr Duration maximumConfirmedAge = std::chrono::seconds(3);

ConfigurationNodeOptions configurationNodeOptions(const Settings &settings)
{
    ConfigurationNodeOptions options;
    options.self = settings.name;
    for (const auto &it : settings.vms)
        options.members.push_back({it.identity.name, it.isVoter});
    options.newStorageId = randomNonZero();
    options.seed = randomNonZero();
    options.initial = settings.initialConfiguration;
    return options;
}

std::size_t historyLimit(const HttpRequest &request)
{
    const auto *text = request.findQuery("limit");
    std::size_t limit = defaultHistoryEntries;
    if (text != nullptr)
        std::from_chars(text->data(), text->data() + text->size(), limit);
    return std::min(limit, maximumHistoryEntries);
}

} // namespace

ConfigurationService::ConfigurationService(boost::asio::io_context &io, const Settings &settings,
                                           ConfigurationHooks hooks)
    : m_hooks(std::move(hooks))
    , m_store(
          io, settings.dataFolder,
          [this](std::uint64_t token) {
              m_node.synced(m_hooks.now(), token);
              executeActions();
          },
          [this](const StepError &error) {
              storeFailed(error);
              executeActions();
          })
    , m_node(m_hooks.now(), configurationNodeOptions(settings), m_store.takeRecovered())
    , m_isOnlyVm(settings.vms.size() <= 1)
{
    if (m_store.summary() && m_store.summary()->failure)
        storeFailed(*m_store.summary()->failure);
}

void ConfigurationService::start()
{
    m_hooks.activate(m_node.activeConfiguration());
    executeActions();
}

void ConfigurationService::receive(const std::string &vm, const std::string &bytes)
{
    m_node.receive(m_hooks.now(), vm, bytes);
    executeActions();
}

void ConfigurationService::tick()
{
    m_node.tick(m_hooks.now());
    executeActions();
    logLeaderChange();
}

bool ConfigurationService::handlesPath(std::string_view path)
{
    return path == resourcePath || (path.starts_with(resourcePath) && path[resourcePath.size()] == '/');
}

DisconnectHandler ConfigurationService::handle(const HttpRequest &request, const HttpResponder &respond)
{
    const auto path = request.path.substr(resourcePath.size());
    const bool isGet = request.method == "GET";
    if (path == "/changes" && request.method == "POST")
        return change(request, respond);
    if (path.empty() && isGet)
        respond({200, configurationJson(m_node, m_hooks.now()), {}});
    else if (path == "/history" && isGet)
        respond({200, historyJson(m_node, historyLimit(request)), {}});
    else if (path == "/voters" && isGet)
        respond({200, votersJson(m_node, m_hooks.now()), {}});
    else
        respond(errorResponse(404, "no resource " + request.method + " " + request.path));
    return nullptr;
}

bool ConfigurationService::isCurrent() const
{
    if (m_isOnlyVm)
        return true;
    const auto age = m_node.confirmedAge(m_hooks.now());
    return age && *age <= maximumConfirmedAge;
}

const ConfigurationNode &ConfigurationService::node() const
{
    return m_node;
}

DisconnectHandler ConfigurationService::change(const HttpRequest &request, const HttpResponder &respond)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<DisconnectHandler> {
            BOOST_LEAF_ASSIGN(const auto wanted, parseChange(request.body, m_hooks.now()));
            const auto number = m_nextRequest++;
            m_pendingChanges.emplace(number, respond);
            m_node.propose(m_hooks.now(), number, wanted);
            executeActions();
            return DisconnectHandler([this, number] { m_pendingChanges.erase(number); });
        },
        [&](const StepError &error) -> DisconnectHandler {
            respond(errorResponse(400, error.text()));
            return nullptr;
        },
        [&]() -> DisconnectHandler {
            respond(errorResponse(500, "internal error"));
            return nullptr;
        });
}

void ConfigurationService::executeActions()
{
    for (const auto &it : m_node.takeActions())
        std::visit([this](const auto &action) { execute(action); }, it);
}

void ConfigurationService::execute(const AppendRecords &action)
{
    m_store.write(action);
}

void ConfigurationService::execute(const ReplaceRecords &action)
{
    m_store.write(action);
}

void ConfigurationService::execute(const SendConfigurationMessage &action)
{
    m_hooks.send(action.vm, action.bytes);
}

void ConfigurationService::execute(const ActivateConfiguration &action)
{
    m_hooks.activate(action.configuration);
}

void ConfigurationService::execute(const AnswerChange &action)
{
    const auto it = m_pendingChanges.find(action.request);
    if (it == m_pendingChanges.end())
        return;
    const auto respond = std::move(it->second);
    m_pendingChanges.erase(it);
    respond(changeResponse(action.answer));
}

void ConfigurationService::storeFailed(const StepError &error)
{
    logEvent(Event::ConfigurationStorageFailed, {{"error", error.text()}});
    m_node.storageFailed();
}

void ConfigurationService::logLeaderChange()
{
    if (m_loggedLeader == m_node.leader())
        return;
    m_loggedLeader = m_node.leader();
    logEvent(Event::ConfigurationLeader,
             {{"leader", m_loggedLeader}, {"term", std::to_string(m_node.term())}});
}

} // namespace Citronpitch
