#include "cli/configurationclient.h"

#include "cli/declarations.h"
#include "cli/newid.h"
#include "cli/replyjson.h"

#include <cstdlib>
#include <thread>

namespace Citronpitch {

namespace leaf = boost::leaf;
using Json = nlohmann::json;

namespace {

constexpr auto pollPeriod = std::chrono::milliseconds(100);
constexpr int conflictStatus = 409;
constexpr int unavailableStatus = 503;

/// Changes of the history that are searched for an earlier change with the same id.
constexpr int searchedHistory = 1000;

std::string authorOf(const CliOptions &options)
{
    if (!options.author.empty())
        return options.author;
    const char *user = std::getenv("USER");
    return user != nullptr && *user != '\0' ? user : "citronpitch";
}

std::string resendAdvice(const SentChange &sent)
{
    return "it may have been accepted; run the same command again with --change-id " + sent.id
        + " --based-on " + std::to_string(sent.basedOn);
}

} // namespace

leaf::result<ConfigurationClient> ConfigurationClient::create(const CliOptions &options, std::string step)
{
    BOOST_LEAF_AUTO(client, VmClient::create(options, VmPort::Control, step));
    return ConfigurationClient(options, std::move(step), std::move(client));
}

ConfigurationClient::ConfigurationClient(const CliOptions &options, std::string step, VmClient client)
    : m_options(options)
    , m_step(std::move(step))
    , m_client(std::move(client))
    , m_changeId(options.changeId.empty() ? newId() : options.changeId)
{
}

leaf::result<Json> ConfigurationClient::get(const std::string &path) const
{
    ClientRequest request;
    request.target = "/v1/configuration" + path;
    BOOST_LEAF_AUTO(reply, m_client.ask(request));
    return successBody(reply, m_step);
}

leaf::result<Configuration> ConfigurationClient::fetch() const
{
    BOOST_LEAF_AUTO(body, get(""));
    return configurationOf(body);
}

leaf::result<SentChange> ConfigurationClient::findEarlier() const
{
    if (m_options.changeId.empty())
        return SentChange();
    BOOST_LEAF_AUTO(history, get("/history?limit=" + std::to_string(searchedHistory)));
    for (const auto &it : history.value("changes", Json::array())) {
        if (cell(it, "id") != m_changeId)
            continue;
        const auto version = it.value("version", std::uint64_t{0});
        return SentChange{m_changeId, version - 1, version};
    }
    return SentChange();
}

leaf::result<SentChange> ConfigurationClient::send(const Configuration &base, const Json &content) const
{
    const SentChange sent{m_changeId, m_options.basedOn.value_or(base.version), 0};
    ClientRequest request;
    request.method = "POST";
    request.target = "/v1/configuration/changes";
    request.body =
        Json{{"id", sent.id}, {"author", authorOf(m_options)}, {"basedOn", sent.basedOn}, {"change", content}}
            .dump(-1, ' ', false, Json::error_handler_t::replace);
    const auto hasOutcome = [](const VmReply &reply) { return reply.response.status != unavailableStatus; };
    BOOST_LEAF_AUTO(reply, m_client.askUntil(request, hasOutcome, resendAdvice(sent)));
    return accepted(reply, sent);
}

leaf::result<SentChange> ConfigurationClient::accepted(const VmReply &reply, const SentChange &sent) const
{
    BOOST_LEAF_AUTO(body, anyBody(reply, m_step));
    const auto status = reply.response.status;
    if (status == 200)
        return SentChange{sent.id, sent.basedOn, body.value("version", std::uint64_t{0})};
    auto detail = body.contains("detail") ? cell(body, "detail") : cell(body, "error");
    if (status == conflictStatus) {
        if (body.contains("winner"))
            detail +=
                " (change " + cell(body["winner"], "id") + " of " + cell(body["winner"], "author") + ")";
        return leaf::new_error(
            CliError{{m_step, reply.peer, detail},
                     "look at citronpitch history and at what is in force, then decide anew",
                     ExitCode::Conflict});
    }
    if (status == unavailableStatus)
        return leaf::new_error(
            CliError{{m_step, reply.peer, detail}, resendAdvice(sent), ExitCode::NoAnswer});
    return leaf::new_error(CliError{{m_step, reply.peer, detail}, "nothing was changed", ExitCode::Refused});
}

leaf::result<VersionSpread> ConfigurationClient::spreadOf(std::uint64_t version) const
{
    ClientRequest request;
    request.target = "/v1/status";
    BOOST_LEAF_AUTO(reply, m_client.ask(request));
    BOOST_LEAF_AUTO(status, successBody(reply, m_step));
    VersionSpread spread;
    const auto sort = [&](const Json &vm, bool isReachable) {
        const bool isInForce = vm.value("configurationVersion", std::uint64_t{0}) >= version;
        auto &list = !isReachable ? spread.outOfReach : isInForce ? spread.inForce : spread.behind;
        list.push_back(cell(vm, "name"));
    };
    sort(status, true);
    for (const auto &it : status.value("vms", Json::array()))
        sort(it, cell(it, "state") == "alive");
    return spread;
}

leaf::result<VersionSpread> ConfigurationClient::waitFor(std::uint64_t version) const
{
    const auto deadline = std::chrono::steady_clock::now() + m_options.timeout;
    for (;;) {
        BOOST_LEAF_AUTO(spread, spreadOf(version));
        if (spread.behind.empty() || std::chrono::steady_clock::now() >= deadline)
            return spread;
        std::this_thread::sleep_for(pollPeriod);
    }
}

} // namespace Citronpitch
