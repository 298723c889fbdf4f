#include "settings/settingsvalidator.h"

#include "settings/jsontext.h"
#include "settings/nearestname.h"

#include <arpa/inet.h>

#include <algorithm>
#include <cctype>
#include <map>

namespace Citronpitch {

using Json = nlohmann::json;

namespace {

constexpr std::size_t maximumShownBytes = 60;

std::string abbreviated(const Json &value)
{
    auto text = value.dump(-1, ' ', false, Json::error_handler_t::replace);
    if (text.size() > maximumShownBytes)
        text = text.substr(0, maximumShownBytes) + "...";
    return text;
}

bool isName(const std::string &text, std::uint64_t longest)
{
    const auto isAllowed = [](unsigned char c) {
        return std::isalnum(c) != 0 || c == '.' || c == '-' || c == '_';
    };
    return !text.empty() && text.size() <= longest && std::all_of(text.begin(), text.end(), isAllowed);
}

bool isAddress(const std::string &text)
{
    in6_addr buf{};
    return inet_pton(AF_INET, text.c_str(), &buf) == 1 || inet_pton(AF_INET6, text.c_str(), &buf) == 1;
}

bool isChoice(std::string_view text, std::string_view choices)
{
    while (!choices.empty()) {
        const auto end = std::min(choices.find('|'), choices.size());
        if (choices.substr(0, end) == text)
            return true;
        choices.remove_prefix(std::min(end + 1, choices.size()));
    }
    return false;
}

/// Returns whether a scalar value is allowed.
bool isAllowed(const Json &value, const SettingSpec &spec)
{
    switch (spec.kind) {
    case SettingKind::Number:
        return value.is_number_unsigned() && value.get<std::uint64_t>() >= spec.minimum
            && value.get<std::uint64_t>() <= spec.maximum;
    case SettingKind::Boolean:
        return value.is_boolean();
    default:
        break;
    }
    if (!value.is_string())
        return false;
    const auto text = value.get<std::string>();
    switch (spec.kind) {
    case SettingKind::Name:
        return isName(text, spec.maximum);
    case SettingKind::Address:
        return isAddress(text);
    case SettingKind::Choice:
        return isChoice(text, spec.choices);
    default:
        return text.size() >= spec.minimum && text.size() <= spec.maximum;
    }
}

int lineOfByte(std::string_view text, std::size_t byte)
{
    const auto end = text.begin() + static_cast<std::ptrdiff_t>(std::min(byte, text.size()));
    return 1 + static_cast<int>(std::count(text.begin(), end, '\n'));
}

std::string joinedPath(std::string_view parent, std::string_view name)
{
    return parent.empty() ? std::string(name) : std::string(parent) + "." + std::string(name);
}

} // namespace

SettingsValidator::SettingsValidator(std::string_view text, SettingsScope part)
    // The index has a path for each level, which takes quadratic time in the depth.
    : m_lines(findExcessiveDepth(text, JsonComments::Ignored) ? std::string_view() : text)
{
    auto parsed = readJson(text, JsonComments::Ignored);
    if (auto *error = std::get_if<JsonTextError>(&parsed)) {
        const auto byte = error->byte > 0 ? error->byte - 1 : 0;
        m_errors.push_back({lineOfByte(text, byte), "", std::move(error->reason), "JSON with comments"});
        return;
    }
    m_document = std::move(std::get<Json>(parsed));
    if (!m_document.is_object()) {
        addError("", abbreviated(m_document), "an object");
        return;
    }
    for (const auto &it : m_lines.duplicateKeys())
        m_errors.push_back({it.line, it.path, "the key a second time", "each key once"});
    const bool isWhole = part == SettingsScope::Whole;
    checkObject(m_document, isWhole ? "" : "initialConfiguration", "");
    if (m_errors.empty() && isWhole)
        checkConsistency();
    if (m_errors.empty() && !isWhole) {
        checkUniqueNames("classes");
        checkUniqueNames("teams");
    }
    std::stable_sort(m_errors.begin(), m_errors.end(),
                     [](const auto &a, const auto &b) { return a.line < b.line; });
}

const std::vector<SettingsError> &SettingsValidator::errors() const
{
    return m_errors;
}

const Json &SettingsValidator::completeSettings() const
{
    return m_document;
}

void SettingsValidator::checkObject(Json &object, std::string_view specPath, const std::string &path)
{
    if (!object.is_object()) {
        addError(path, abbreviated(object), "an object");
        return;
    }
    checkUnknownKeys(object, specPath, path);
    for (const auto *it : childSettingSpecs(specPath)) {
        const std::string name(it->name());
        const auto keyPath = joinedPath(path, name);
        if (!object.contains(name)) {
            if (it->isRequired()) {
                addError(keyPath, "nothing", it->allowedValues());
                continue;
            }
            object[name] = std::get<Json>(readJson(it->defaultValue));
        }
        checkValue(object[name], *it, keyPath);
    }
}

void SettingsValidator::checkUnknownKeys(const Json &object, std::string_view specPath,
                                         const std::string &path)
{
    std::vector<std::string_view> known;
    for (const auto *it : childSettingSpecs(specPath))
        known.push_back(it->name());
    for (const auto &[name, value] : object.items()) {
        if (std::find(known.begin(), known.end(), name) == known.end())
            addError(joinedPath(path, name), "an unknown key",
                     "a known key, of which the nearest is \"" + nearestName(name, known) + "\"");
    }
}

void SettingsValidator::checkValue(Json &value, const SettingSpec &spec, const std::string &path)
{
    if (spec.kind == SettingKind::Object) {
        checkObject(value, spec.key, path);
        return;
    }
    if (spec.kind == SettingKind::List) {
        checkList(value, spec, path);
        return;
    }
    if (!isAllowed(value, spec))
        addError(path, abbreviated(value), spec.allowedValues());
}

void SettingsValidator::checkList(Json &list, const SettingSpec &spec, const std::string &path)
{
    if (!list.is_array()) {
        addError(path, abbreviated(list), spec.allowedValues());
        return;
    }
    if (list.size() < spec.minimum || list.size() > spec.maximum)
        addError(path, std::to_string(list.size()) + " entries", spec.allowedValues());
    const auto entrySpec = std::string(spec.key) + "[]";
    for (std::size_t i = 0; i < list.size(); ++i)
        checkObject(list[i], entrySpec, path + "[" + std::to_string(i) + "]");
}

void SettingsValidator::checkConsistency()
{
    checkVms();
    checkListenerAddresses();
    checkUniqueNames("vms");
    checkUniqueNames("initialConfiguration.classes");
    checkUniqueNames("initialConfiguration.teams");
    checkTimes();
}

void SettingsValidator::checkVms()
{
    const auto name = textAt("/name");
    const auto &vms = m_document["vms"];
    const auto it = std::find_if(vms.begin(), vms.end(), [&](const Json &vm) { return vm["name"] == name; });
    if (it == vms.end()) {
        addError("name", abbreviated(m_document["name"]), "the name of one of \"vms\"");
        return;
    }
    const auto index = std::to_string(it - vms.begin());
    if ((*it)["failureDomain"] != m_document["failureDomain"])
        addError("failureDomain", abbreviated(m_document["failureDomain"]),
                 "the same as vms[" + index + "].failureDomain, " + abbreviated((*it)["failureDomain"]));
}

void SettingsValidator::checkListenerAddresses()
{
    std::map<std::string, std::string> owners;
    for (const auto *it : {"callers", "control", "peers"}) {
        const auto [other, isNew] = owners.emplace(m_document[it].dump(), it);
        if (!isNew)
            addError(it, abbreviated(m_document[it]),
                     "another address or port than \"" + other->second + "\" has");
    }
}

void SettingsValidator::checkUniqueNames(std::string_view listPath)
{
    std::string pointer = "/" + std::string(listPath);
    std::replace(pointer.begin(), pointer.end(), '.', '/');
    std::map<std::string, std::size_t> owners;
    const auto &list = m_document.at(Json::json_pointer(pointer));
    for (std::size_t i = 0; i < list.size(); ++i) {
        const auto [other, isNew] = owners.emplace(list[i]["name"].get<std::string>(), i);
        if (!isNew)
            addError(std::string(listPath) + "[" + std::to_string(i) + "].name", abbreviated(list[i]["name"]),
                     "another name than entry " + std::to_string(other->second) + " has");
    }
}

void SettingsValidator::checkTimes()
{
    const auto heartbeat = m_document["heartbeatMs"].get<std::uint64_t>();
    if (m_document["suspicionMs"].get<std::uint64_t>() < 2 * heartbeat)
        addError("suspicionMs", abbreviated(m_document["suspicionMs"]),
                 "at least twice \"heartbeatMs\", " + std::to_string(2 * heartbeat) + " ms");
}

void SettingsValidator::addError(const std::string &path, std::string found, std::string allowed)
{
    m_errors.push_back({m_lines.lineOf(path), path, std::move(found), std::move(allowed)});
}

std::string SettingsValidator::textAt(const char *pointer) const
{
    return m_document.at(Json::json_pointer(pointer)).get<std::string>();
}

} // namespace Citronpitch
