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

constexpr std::string_view resource = "/v1/configuration";
constexpr std::size_t defaultHistory = 100;

ConfigurationNodeOptions optionsOf(const Settings &settings)
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

std::size_t limitOf(const HttpRequest &request)
{
    const auto *text = request.findQuery("limit");
    std::size_t limit = defaultHistory;
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
              carryOut();
          },
          [this](const StepError &error) {
              logEvent(Event::ConfigurationStorageFailed, {{"error", error.text()}});
              m_node.storageFailed();
              carryOut();
          })
    , m_node(m_hooks.now(), optionsOf(settings), m_store.takeRecovered())
{
}

void ConfigurationService::start()
{
    m_hooks.show(m_node.activeConfiguration());
    carryOut();
}

void ConfigurationService::receive(const std::string &vm, const std::string &bytes)
{
    m_node.receive(m_hooks.now(), vm, bytes);
    carryOut();
}

void ConfigurationService::tick()
{
    m_node.tick(m_hooks.now());
    carryOut();
    noteLeader();
}

bool ConfigurationService::serves(std::string_view path)
{
    return path == resource || (path.starts_with(resource) && path[resource.size()] == '/');
}

HttpGone ConfigurationService::handle(const HttpRequest &request, const HttpResponder &respond)
{
    const auto path = request.path.substr(resource.size());
    const bool isGet = request.method == "GET";
    if (path == "/changes" && request.method == "POST")
        return change(request, respond);
    if (path.empty() && isGet)
        respond({200, configurationText(m_node, m_hooks.now()), {}});
    else if (path == "/history" && isGet)
        respond({200, historyText(m_node, limitOf(request)), {}});
    else if (path == "/voters" && isGet)
        respond({200, votersText(m_node, m_hooks.now()), {}});
    else
        respond(errorResponse(404, "no resource " + request.method + " " + request.path));
    return nullptr;
}

const ConfigurationNode &ConfigurationService::node() const
{
    return m_node;
}

HttpGone ConfigurationService::change(const HttpRequest &request, const HttpResponder &respond)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<HttpGone> {
            BOOST_LEAF_ASSIGN(const auto wanted, parseChange(request.body, m_hooks.now()));
            const auto number = m_nextRequest++;
            m_operators.emplace(number, respond);
            m_node.propose(m_hooks.now(), number, wanted);
            carryOut();
            return HttpGone([this, number] { m_operators.erase(number); });
        },
        [&](const StepError &error) -> HttpGone {
            respond(errorResponse(400, error.text()));
            return nullptr;
        },
        [&]() -> HttpGone {
            respond(errorResponse(500, "internal error"));
            return nullptr;
        });
}

void ConfigurationService::carryOut()
{
    for (const auto &it : m_node.takeActions())
        std::visit([this](const auto &action) { carryOut(action); }, it);
}

void ConfigurationService::carryOut(const AppendRecords &action)
{
    m_store.write(action);
}

void ConfigurationService::carryOut(const ReplaceRecords &action)
{
    m_store.write(action);
}

void ConfigurationService::carryOut(const SendConfigurationMessage &action)
{
    m_hooks.send(action.vm, action.bytes);
}

void ConfigurationService::carryOut(const ActivateConfiguration &action)
{
    m_hooks.show(action.configuration);
}

void ConfigurationService::carryOut(const AnswerChange &action)
{
    const auto it = m_operators.find(action.request);
    if (it == m_operators.end())
        return;
    const auto respond = std::move(it->second);
    m_operators.erase(it);
    respond(changeResponse(action.answer));
}

void ConfigurationService::noteLeader()
{
    if (m_notedLeader == m_node.leader())
        return;
    m_notedLeader = m_node.leader();
    logEvent(Event::ConfigurationLeader,
             {{"leader", m_notedLeader}, {"term", std::to_string(m_node.term())}});
}

} // namespace Citronpitch
