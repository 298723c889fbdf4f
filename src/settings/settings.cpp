#include "settings/settings.h"

#include "settings/jsontext.h"
#include "settings/settingsvalidator.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <sstream>

namespace Citronpitch {

namespace leaf = boost::leaf;
using Json = nlohmann::json;

namespace {

// The functions below expect that SettingsValidator has added all defaults.

Duration milliseconds(const Json &from, const char *key)
{
    return std::chrono::milliseconds(from.at(key).get<std::int64_t>());
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
    vm.identity.hasDataFolder = from.at("disk").get<bool>();
    vm.peers = parseEndpoint(from.at("peers"));
    vm.isVoter = from.at("voter").get<bool>();
    return vm;
}

HttpLimits parseLimits(const Json &from)
{
    HttpLimits limits;
    limits.maximumBodyBytes = from.at("maximumBodyBytes").get<std::uint64_t>();
    limits.maximumBodyBytesInAll = from.at("maximumBodyBytesInAll").get<std::uint64_t>();
    limits.maximumIncompleteBytes = from.at("maximumIncompleteBytes").get<std::uint64_t>();
    limits.maximumHeaderBytes = from.at("maximumHeaderBytes").get<std::uint32_t>();
    limits.maximumConnections = from.at("maximumConnections").get<std::uint32_t>();
    limits.maximumConnectionsPerAddress = from.at("maximumConnectionsPerAddress").get<std::uint32_t>();
    limits.idleTimeout = milliseconds(from, "idleTimeoutMs");
    limits.readTimeout = milliseconds(from, "readTimeoutMs");
    return limits;
}

LogSettings parseLog(const Json &from)
{
    LogSettings log;
    log.format = enumValue(logFormatNames, from.at("format").get<std::string>()).value_or(log.format);
    log.level = enumValue(eventSeverityNames, from.at("level").get<std::string>()).value_or(log.level);
    log.repeatLimit = from.at("repeatLimit").get<std::uint32_t>();
    log.repeatWindow = milliseconds(from, "repeatWindowMs");
    return log;
}

ClassDeclaration parseClass(const Json &from)
{
    ClassDeclaration declaration;
    declaration.name = from.at("name").get<std::string>();
    declaration.targetShare = from.at("targetSharePpm").get<std::uint32_t>();
    declaration.targetTime = milliseconds(from, "targetTimeMs");
    return declaration;
}

Configuration parseConfiguration(const Json &from)
{
    Configuration configuration;
    for (const auto &it : from.at("classes"))
        configuration.classes.push_back(parseClass(it));
    for (const auto &it : from.at("teams"))
        configuration.teams.push_back(
            {it.at("name").get<std::string>(), it.at("quotaTasks").get<std::uint32_t>()});
    return configuration;
}

PlacementPolicy parsePlacement(const Json &from)
{
    const auto policy = enumValue(placementPolicyNames, from.at("placement").get<std::string>());
    return policy.value_or(PlacementPolicy::Target);
}

Settings parseCompleteSettings(const Json &from)
{
    Settings settings;
    settings.name = from.at("name").get<std::string>();
    settings.failureDomain = from.at("failureDomain").get<std::string>();
    settings.dataFolder = from.at("dataFolder").get<std::string>();
    settings.callers = parseEndpoint(from.at("callers"));
    settings.control = parseEndpoint(from.at("control"));
    settings.peers = parseEndpoint(from.at("peers"));
    for (const auto &it : from.at("vms"))
        settings.vms.push_back(parseVm(it));
    settings.limits = parseLimits(from.at("limits"));
    settings.heartbeatInterval = milliseconds(from, "heartbeatMs");
    settings.suspicionTimeout = milliseconds(from, "suspicionMs");
    settings.upstreamLease = milliseconds(from, "upstreamLeaseMs");
    settings.answerRetention = milliseconds(from, "answerRetentionMs");
    settings.keyAge = milliseconds(from, "keyAgeMs");
    settings.clockSkew = milliseconds(from, "clockSkewMs");
    settings.defaultDeadline = milliseconds(from, "defaultDeadlineMs");
    settings.drainTimeout = milliseconds(from, "drainTimeoutMs");
    settings.placement = parsePlacement(from);
    settings.log = parseLog(from.at("log"));
    settings.initialConfiguration = parseConfiguration(from.at("initialConfiguration"));
    settings.completeJson = from.dump(2, ' ', false, Json::error_handler_t::replace);
    return settings;
}

Json::json_pointer pointerTo(std::string_view key)
{
    std::string text = "/" + std::string(key);
    std::replace(text.begin(), text.end(), '.', '/');
    return Json::json_pointer(text);
}

leaf::error_id settingsError(const std::string &fileName, const std::vector<SettingsError> &errors)
{
    std::string detail;
    for (const auto &it : errors)
        detail += (detail.empty() ? "" : "\n  ") + it.text();
    return leaf::new_error(StepError{"settings", fileName, detail}, SettingsErrors{errors});
}

} // namespace

leaf::result<Settings> parseSettings(const std::string &text, const std::string &fileName)
{
    const SettingsValidator check(text);
    if (!check.errors().empty())
        return settingsError(fileName, check.errors());
    return parseCompleteSettings(check.completeSettings());
}

SettingsReloadResult applyReloadableSettings(const Settings &running, const Settings &loaded)
{
    // Both texts were printed by parseSettings().
    auto document = std::get<Json>(readJson(running.completeJson));
    const auto reloaded = std::get<Json>(readJson(loaded.completeJson));
    SettingsReloadResult reloadResult;
    for (const auto &it : settingSpecs()) {
        const bool isComparable =
            it.kind != SettingKind::Object && it.key.find("[]") == std::string_view::npos;
        const auto pointer = pointerTo(it.key);
        if (!isComparable || document.at(pointer) == reloaded.at(pointer))
            continue;
        const bool isApplied = it.reload == SettingReload::Signal;
        if (isApplied)
            document.at(pointer) = reloaded.at(pointer);
        (isApplied ? reloadResult.applied : reloadResult.needsRestart).emplace_back(it.key);
    }
    reloadResult.settings = parseCompleteSettings(document);
    return reloadResult;
}

leaf::result<Settings> loadSettings(const std::string &path)
{
    std::ifstream file(path);
    if (!file)
        return settingsError(path, {{1, "", "no readable file", "a settings file"}});
    std::ostringstream text;
    text << file.rdbuf();
    return parseSettings(text.str(), path);
}

} // namespace Citronpitch
