#include "fleet/fleetsettings.h"

#include "citronpitch/partitionplanner.h"

#include "settings/jsonobjectreader.h"

#include <charconv>
#include <fstream>
#include <sstream>

namespace Citronpitch {

namespace leaf = boost::leaf;
using Json = nlohmann::json;

namespace {

constexpr std::uint64_t maximumPort = 65535;
constexpr std::uint64_t maximumTimeMs = 3'600'000;
constexpr std::uint64_t defaultDrainMs = 5'500;
constexpr std::uint64_t defaultLeaseMs = 1'000;
constexpr std::uint64_t defaultAnnouncementMs = 1'500;
constexpr std::uint64_t defaultRetryMs = 1'300;
/// Far above any deployment, as each tolerated loss needs two more voters.
constexpr std::uint64_t maximumToleratedLosses = 1000;
constexpr std::uint64_t maximumUpstreams = 1'000'000;
/// With fewer, the range of sizes within which a partition is kept would be empty.
constexpr std::uint64_t minimumUpstreamsPerGroup = 3;

leaf::result<Endpoint> parseEndpoint(const JsonObjectReader &fields, const char *name,
                                     const std::string &text)
{
    const auto colon = text.rfind(':');
    const auto problem = [&] {
        return fields.error(std::string("key \"") + name + "\": \"" + text
                            + "\" is not of the form ADDRESS:PORT");
    };
    if (colon == std::string::npos || colon == 0)
        return problem();
    unsigned port = 0;
    const auto *end = text.data() + text.size();
    const auto [rest, ec] = std::from_chars(text.data() + colon + 1, end, port);
    if (ec != std::errc() || rest != end || port == 0 || port > maximumPort)
        return problem();
    return Endpoint{text.substr(0, colon), static_cast<std::uint16_t>(port)};
}

leaf::result<std::optional<Endpoint>> parseListener(const JsonObjectReader &fields, const char *name)
{
    BOOST_LEAF_ASSIGN(const auto text, fields.optionalText(name));
    if (text.empty())
        return std::optional<Endpoint>();
    BOOST_LEAF_ASSIGN(auto endpoint, parseEndpoint(fields, name, text));
    return std::optional<Endpoint>(std::move(endpoint));
}

leaf::result<std::vector<std::string>> parseTexts(const JsonObjectReader &fields, const char *name)
{
    std::vector<std::string> texts;
    const auto *list = fields.find(name);
    if (list == nullptr || !list->is_array())
        return fields.error(std::string("key \"") + name + "\" must be a list of texts");
    for (const auto &it : *list) {
        if (!it.is_string())
            return fields.error(std::string("key \"") + name + "\" must be a list of texts");
        texts.push_back(it.get<std::string>());
    }
    return texts;
}

leaf::result<Duration> parseMilliseconds(const JsonObjectReader &fields, const char *name,
                                         std::uint64_t fallback)
{
    BOOST_LEAF_ASSIGN(const auto n, fields.optionalNumber(name, fallback, 1, maximumTimeMs));
    return std::chrono::milliseconds(n);
}

leaf::result<void> parseAddresses(const JsonObjectReader &fields, FleetSettings &settings)
{
    BOOST_LEAF_ASSIGN(settings.peers.address, fields.requiredText("address"));
    BOOST_LEAF_ASSIGN(const auto port, fields.requiredNumber("peerPort", 1, maximumPort));
    settings.peers.port = static_cast<std::uint16_t>(port);
    BOOST_LEAF_ASSIGN(const auto listener, parseListener(fields, "peerListener"));
    settings.peerListener = listener.value_or(settings.peers);
    BOOST_LEAF_ASSIGN(settings.callers, parseListener(fields, "callers"));
    BOOST_LEAF_ASSIGN(settings.readiness, parseListener(fields, "readiness"));
    BOOST_LEAF_ASSIGN(settings.control, parseListener(fields, "control"));
    BOOST_LEAF_ASSIGN(settings.metrics, parseListener(fields, "metrics"));
    BOOST_LEAF_ASSIGN(const auto seeds, parseTexts(fields, "seeds"));
    for (const auto &it : seeds) {
        BOOST_LEAF_ASSIGN(const auto seed, parseEndpoint(fields, "seeds", it));
        settings.seeds.push_back(seed.address);
    }
    return {};
}

} // namespace

leaf::result<FleetSettings> parseFleetSettings(const std::string &text)
{
    BOOST_LEAF_ASSIGN(const auto json, parseJson(text, "settings", JsonComments::Ignored));
    const JsonObjectReader fields(json, "settings", "");
    FleetSettings settings;
    BOOST_LEAF_ASSIGN(settings.vm, fields.requiredText("vm"));
    BOOST_LEAF_ASSIGN(const auto role, fields.requiredText("role"));
    const auto known = enumValue(vmRoleNames, role);
    if (!known)
        return fields.error("key \"role\": there is no role \"" + role + "\"");
    settings.role = *known;
    BOOST_LEAF_ASSIGN(settings.domain, fields.requiredText("failureDomain"));
    BOOST_LEAF_ASSIGN(settings.domains, parseTexts(fields, "failureDomains"));
    BOOST_LEAF_CHECK(parseAddresses(fields, settings));
    BOOST_LEAF_ASSIGN(settings.isFirstStart, fields.flag("firstStart"));
    BOOST_LEAF_ASSIGN(settings.toleratedLosses,
                      fields.optionalNumber("toleratedLosses", 1, 0, maximumToleratedLosses));
    BOOST_LEAF_ASSIGN(settings.dataFolder, fields.optionalText("dataFolder"));
    BOOST_LEAF_ASSIGN(settings.drainTimeout, parseMilliseconds(fields, "drainTimeoutMs", defaultDrainMs));
    BOOST_LEAF_ASSIGN(settings.maximumLease, parseMilliseconds(fields, "longestLeaseMs", defaultLeaseMs));
    BOOST_LEAF_ASSIGN(settings.announcementInterval,
                      parseMilliseconds(fields, "announcementMs", defaultAnnouncementMs));
    BOOST_LEAF_ASSIGN(settings.callerRetryTime, parseMilliseconds(fields, "callerRetryMs", defaultRetryMs));
    const PartitionPolicy policy;
    BOOST_LEAF_ASSIGN(
        const auto above,
        fields.optionalNumber("partitionAboveUpstreams", policy.partitionAbove, 1, maximumUpstreams));
    settings.partitionAboveUpstreams = static_cast<std::uint32_t>(above);
    BOOST_LEAF_ASSIGN(const auto perGroup,
                      fields.optionalNumber("upstreamsPerGroup", policy.upstreamsPerGroup,
                                            minimumUpstreamsPerGroup, maximumUpstreams));
    settings.upstreamsPerGroup = static_cast<std::uint32_t>(perGroup);
    if (fields.find("evacuationMs") != nullptr) {
        BOOST_LEAF_ASSIGN(settings.evacuationTime, parseMilliseconds(fields, "evacuationMs", 0));
    }
    BOOST_LEAF_ASSIGN(const auto level, fields.optionalText("logLevel"));
    if (!level.empty()) {
        const auto severity = enumValue(eventSeverityNames, level);
        if (!severity)
            return fields.error("key \"logLevel\": there is no level \"" + level + "\"");
        settings.log.level = *severity;
    }
    const bool isComplete = settings.role == VmRole::Entry ? settings.callers && settings.readiness
                                                           : settings.control.has_value();
    if (!isComplete)
        return fields.error("a VM with role \"" + role + "\" lacks a listener");
    return settings;
}

leaf::result<FleetSettings> loadFleetSettings(const std::string &path)
{
    std::ifstream file(path);
    if (!file)
        return leaf::new_error(StepError{"settings", path, "the file can't be read"});
    std::ostringstream text;
    text << file.rdbuf();
    return parseFleetSettings(text.str());
}

} // namespace Citronpitch
