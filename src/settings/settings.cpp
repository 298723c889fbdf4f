#include "settings/settings.h"

#include <nlohmann/json.hpp>

#include <fstream>
#include <sstream>

namespace Citronpitch {

namespace leaf = boost::leaf;
using Json = nlohmann::json;

namespace {

Duration milliseconds(const Json &from, const char *key, std::int64_t fallback)
{
    return std::chrono::milliseconds(from.value(key, fallback));
}

Endpoint parseEndpoint(const Json &from)
{
    return {from.at("address").get<std::string>(), from.at("port").get<std::uint16_t>()};
}

VmSettings parseVm(const Json &from)
{
    VmSettings vm;
    vm.identity.name = from.at("name").get<std::string>();
    vm.identity.failureDomain = from.at("failureDomain").get<std::string>();
    vm.peers = parseEndpoint(from.at("peers"));
    return vm;
}

CallerLimits parseLimits(const Json &from)
{
    CallerLimits limits;
    limits.maximumBodyBytes = from.value("maximumBodyBytes", std::uint64_t{8} << 20);
    limits.maximumBodyBytesInAll = from.value("maximumBodyBytesInAll", std::uint64_t{256} << 20);
    limits.maximumHeaderBytes = from.value("maximumHeaderBytes", 16384U);
    limits.maximumConnections = from.value("maximumConnections", 10000U);
    limits.maximumConnectionsPerAddress = from.value("maximumConnectionsPerAddress", 4000U);
    limits.idleTimeout = milliseconds(from, "idleTimeoutMs", 60000);
    limits.readTimeout = milliseconds(from, "readTimeoutMs", 10000);
    return limits;
}

ClassDeclaration parseClass(const Json &from)
{
    ClassDeclaration declaration;
    declaration.name = from.at("name").get<std::string>();
    declaration.targetShare = from.value("targetSharePpm", 990000U);
    declaration.targetTime = milliseconds(from, "targetTimeMs", 1000);
    return declaration;
}

Configuration parseConfiguration(const Json &from)
{
    Configuration configuration;
    for (const auto &it : from.value("classes", Json::array()))
        configuration.classes.push_back(parseClass(it));
    for (const auto &it : from.value("teams", Json::array()))
        configuration.teams.push_back({it.at("name").get<std::string>(), it.value("quotaTasks", 0U)});
    return configuration;
}

PlacementPolicy parsePlacement(const Json &from)
{
    const auto name = from.value("placement", std::string("target"));
    const auto policy = valueIn(placementPolicyNames, name);
    if (!policy)
        throw Json::other_error::create(501, "placement: there is no policy \"" + name + "\"", &from);
    return *policy;
}

Settings parseAll(const Json &from)
{
    Settings settings;
    settings.name = from.at("name").get<std::string>();
    settings.failureDomain = from.at("failureDomain").get<std::string>();
    settings.dataFolder = from.value("dataFolder", std::string());
    settings.callers = parseEndpoint(from.at("callers"));
    settings.control = parseEndpoint(from.at("control"));
    settings.peers = parseEndpoint(from.at("peers"));
    for (const auto &it : from.at("vms"))
        settings.vms.push_back(parseVm(it));
    settings.limits = parseLimits(from.value("limits", Json::object()));
    settings.heartbeatPeriod = milliseconds(from, "heartbeatMs", 250);
    settings.suspicionTime = milliseconds(from, "suspicionMs", 1500);
    settings.upstreamLease = milliseconds(from, "upstreamLeaseMs", 2000);
    settings.answerRetention = milliseconds(from, "answerRetentionMs", 3600000);
    settings.defaultDeadline = milliseconds(from, "defaultDeadlineMs", 30000);
    settings.drainTimeout = milliseconds(from, "drainTimeoutMs", 30000);
    settings.placement = parsePlacement(from);
    settings.initialConfiguration = parseConfiguration(from.value("initialConfiguration", Json::object()));
    return settings;
}

} // namespace

leaf::result<Settings> parseSettings(const std::string &text, const std::string &fileName)
{
    try {
        return parseAll(Json::parse(text, nullptr, true, true));
    } catch (const Json::exception &e) {
        return leaf::new_error(StepError{"settings", fileName, e.what()});
    }
}

leaf::result<Settings> loadSettings(const std::string &path)
{
    std::ifstream file(path);
    if (!file)
        return leaf::new_error(StepError{"settings", path, "the file can't be read"});
    std::ostringstream text;
    text << file.rdbuf();
    return parseSettings(text.str(), path);
}

} // namespace Citronpitch
