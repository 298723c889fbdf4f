#include "daemon/configurationapi.h"

#include "settings/jsonobjectreader.h"

#include <algorithm>

namespace Citronpitch {

namespace leaf = boost::leaf;
using Json = nlohmann::json;

namespace {

constexpr std::uint64_t maximumSharePpm = 1'000'000;
constexpr std::uint64_t maximumTargetMs = 86'400'000;
constexpr std::uint64_t maximumQuotaTasks = 100'000'000;
constexpr std::size_t maximumIdBytes = 200;

leaf::result<ClassDeclaration> parseClass(const Json &from, const std::string &path)
{
    const JsonObjectReader fields(from, "change", path);
    BOOST_LEAF_CHECK(fields.rejectUnknownFields({"name", "targetSharePpm", "targetTimeMs", "retired"}));
    ClassDeclaration declaration;
    BOOST_LEAF_ASSIGN(declaration.name, fields.requiredText("name"));
    BOOST_LEAF_ASSIGN(const auto share, fields.optionalNumber("targetSharePpm", 990'000, 0, maximumSharePpm));
    BOOST_LEAF_ASSIGN(const auto time, fields.optionalNumber("targetTimeMs", 1000, 1, maximumTargetMs));
    BOOST_LEAF_ASSIGN(declaration.retired, fields.flag("retired"));
    declaration.targetShare = static_cast<std::uint32_t>(share);
    declaration.targetTime = std::chrono::milliseconds(time);
    return declaration;
}

leaf::result<TeamDeclaration> parseTeam(const Json &from, const std::string &path)
{
    const JsonObjectReader fields(from, "change", path);
    BOOST_LEAF_CHECK(fields.rejectUnknownFields({"name", "quotaTasks"}));
    TeamDeclaration declaration;
    BOOST_LEAF_ASSIGN(declaration.name, fields.requiredText("name"));
    BOOST_LEAF_ASSIGN(const auto quota, fields.optionalNumber("quotaTasks", 0, 0, maximumQuotaTasks));
    declaration.quotaTasks = static_cast<std::uint32_t>(quota);
    return declaration;
}

leaf::result<void> parseLists(const JsonObjectReader &fields, ConfigurationChange &change)
{
    BOOST_LEAF_CHECK(fields.rejectUnknownFields({"type", "classes", "teams"}));
    const auto *classes = fields.find("classes");
    const auto *teams = fields.find("teams");
    if (classes == nullptr || !classes->is_array() || teams == nullptr || !teams->is_array())
        return fields.error("fields \"classes\" and \"teams\" must be lists");
    for (const auto &it : *classes) {
        const auto path = "change.classes[" + std::to_string(change.classes.size()) + "]";
        BOOST_LEAF_ASSIGN(auto declaration, parseClass(it, path));
        change.classes.push_back(std::move(declaration));
    }
    for (const auto &it : *teams) {
        const auto path = "change.teams[" + std::to_string(change.teams.size()) + "]";
        BOOST_LEAF_ASSIGN(auto declaration, parseTeam(it, path));
        change.teams.push_back(std::move(declaration));
    }
    return {};
}

leaf::result<void> parseContent(const Json &from, ConfigurationChange &change)
{
    const JsonObjectReader fields(from, "change", "change");
    BOOST_LEAF_CHECK(fields.rejectUnknownFields({"type", "class", "team", "domain", "classes", "teams"}));
    BOOST_LEAF_ASSIGN(const auto type, fields.requiredText("type"));
    const auto kind = enumValue(changeKindNames, type);
    const bool isOperatorChange = kind && *kind != ChangeKind::ReplaceDocument
        && *kind != ChangeKind::SetHolder && *kind != ChangeKind::SetPartition;
    if (!isOperatorChange)
        return fields.error("field \"type\": unknown change type \"" + type + "\"");
    change.kind = *kind;
    if (*kind == ChangeKind::Apply)
        return parseLists(fields, change);
    if (isDomainChange(*kind)) {
        BOOST_LEAF_CHECK(fields.rejectUnknownFields({"type", "domain"}));
        BOOST_LEAF_ASSIGN(change.domain, fields.requiredText("domain"));
        return {};
    }
    const bool isOfTeam = *kind == ChangeKind::SetTeam || *kind == ChangeKind::RemoveTeam;
    const char *name = isOfTeam ? "team" : "class";
    BOOST_LEAF_CHECK(fields.rejectUnknownFields({"type", name}));
    const auto *subject = fields.find(name);
    if (subject == nullptr)
        return fields.error(std::string("field \"") + name + "\" is missing");
    const auto path = std::string("change.") + name;
    if (isOfTeam) {
        BOOST_LEAF_ASSIGN(auto declaration, parseTeam(*subject, path));
        change.teams.push_back(std::move(declaration));
        return {};
    }
    BOOST_LEAF_ASSIGN(auto declaration, parseClass(*subject, path));
    change.classes.push_back(std::move(declaration));
    return {};
}

int statusOf(ChangeOutcome outcome)
{
    switch (outcome) {
    case ChangeOutcome::Accepted:
        return 200;
    case ChangeOutcome::Superseded:
    case ChangeOutcome::IdConflict:
        return 409;
    case ChangeOutcome::Invalid:
        return 422;
    default:
        return 503;
    }
}

std::string dump(const Json &json)
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace

leaf::result<ConfigurationChange> parseChange(const std::string &body, TimePoint now)
{
    BOOST_LEAF_ASSIGN(const auto json, parseJson(body, "change"));
    const JsonObjectReader fields(json, "change", "body");
    BOOST_LEAF_CHECK(fields.rejectUnknownFields({"id", "author", "basedOn", "change"}));
    ConfigurationChange change;
    BOOST_LEAF_ASSIGN(change.id, fields.requiredText("id"));
    BOOST_LEAF_ASSIGN(change.author, fields.requiredText("author"));
    BOOST_LEAF_ASSIGN(change.basedOn,
                      fields.requiredNumber("basedOn", 0, std::numeric_limits<std::int64_t>::max()));
    if (change.id.size() > maximumIdBytes || change.author.size() > maximumIdBytes)
        return fields.error("\"id\" and \"author\" have at most " + std::to_string(maximumIdBytes)
                            + " bytes");
    const auto *content = fields.find("change");
    if (content == nullptr)
        return fields.error("field \"change\" is missing");
    BOOST_LEAF_CHECK(parseContent(*content, change));
    change.proposedAt = now;
    return change;
}

HttpResponse changeResponse(const ChangeAnswer &answer)
{
    Json body{{"id", answer.id},
              {"outcome", enumName(changeOutcomeNames, answer.outcome)},
              {"version", answer.version}};
    if (!answer.winnerId.empty())
        body["winner"] = {{"id", answer.winnerId}, {"author", answer.winnerAuthor}};
    if (!answer.detail.empty())
        body["detail"] = answer.detail;
    if (answer.outcome == ChangeOutcome::NoLeader)
        body["detail"] = "no leader is known; the change was not submitted";
    if (answer.outcome == ChangeOutcome::Unknown)
        body["detail"] = "no answer came in time; resend the change with the same id";
    HttpResponse response{statusOf(answer.outcome), dump(body), {}};
    if (response.status == 503)
        response.headers.push_back({"Retry-After", "1"});
    return response;
}

std::string configurationJson(const ConfigurationNode &node, TimePoint now)
{
    const auto &shown = node.activeConfiguration();
    Json classes = Json::array();
    for (const auto &it : shown.classes)
        classes.push_back({{"name", it.name},
                           {"targetSharePpm", it.targetShare},
                           {"targetTimeMs", it.targetTime.count() / 1000},
                           {"retired", it.retired}});
    Json teams = Json::array();
    for (const auto &it : shown.teams)
        teams.push_back({{"name", it.name}, {"quotaTasks", it.quotaTasks}});
    Json evacuations = Json::array();
    for (const auto &it : shown.evacuations)
        evacuations.push_back({{"domain", it.domain}, {"since", it.since}});
    Json body{{"version", shown.version},
              {"ageMs", nullptr},
              {"classes", classes},
              {"teams", teams},
              {"evacuations", evacuations}};
    if (const auto age = node.configurationAge(now))
        body["ageMs"] = age->count() / 1000;
    body["leader"] = node.leader().empty() ? Json() : Json(node.leader());
    return dump(body);
}

std::string historyJson(const ConfigurationNode &node, std::size_t limit)
{
    const auto &history = node.state().history();
    Json changes = Json::array();
    for (auto it = history.rbegin(); it != history.rend() && changes.size() < limit; ++it) {
        if (it->version > node.activeConfiguration().version)
            continue;
        Json change{{"version", it->version},
                    {"id", it->id},
                    {"author", it->author},
                    {"acceptedAt", microsecondsOf(it->acceptedAt) / 1000},
                    {"type", enumName(changeKindNames, it->kind)}};
        if (!it->subject.empty())
            change["subject"] = it->subject;
        changes.push_back(std::move(change));
    }
    return dump({{"changes", changes}});
}

std::string votersJson(const ConfigurationNode &node, TimePoint now)
{
    Json voters = Json::array();
    for (const auto &it : node.log().voters()) {
        Json voter{{"name", it.name}, {"storage", std::to_string(it.storageId)}};
        const auto progress = node.progress().find(it.name);
        if (progress != node.progress().end()) {
            voter["matchIndex"] = progress->second.matchIndex;
            voter["silentMs"] = (now - progress->second.lastReplyAt).count() / 1000;
        }
        voters.push_back(std::move(voter));
    }
    Json body{{"role", enumName(configurationRoleNames, node.role())},
              {"term", node.term()},
              {"storage", node.hasStorageFailed() ? "failed" : "working"},
              {"lastIndex", node.log().lastIndex()},
              {"commitIndex", node.commitIndex()},
              {"voters", voters}};
    body["leader"] = node.leader().empty() ? Json() : Json(node.leader());
    return dump(body);
}

} // namespace Citronpitch
