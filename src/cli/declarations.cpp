#include "cli/declarations.h"

#include "settings/settingsvalidator.h"

#include <fstream>
#include <sstream>

namespace Citronpitch {

namespace leaf = boost::leaf;
using Json = nlohmann::json;

namespace {

constexpr std::uint32_t ppmPerPercent = 10'000;
constexpr std::uint32_t defaultSharePpm = 990'000;
constexpr std::int64_t defaultTargetMs = 1000;

std::string percentText(std::uint32_t ppm)
{
    auto text = std::to_string(ppm / ppmPerPercent);
    auto fraction = std::to_string(ppmPerPercent + ppm % ppmPerPercent).substr(1);
    fraction.erase(fraction.find_last_not_of('0') + 1);
    return text + (fraction.empty() ? "" : "." + fraction) + "%";
}

std::string quotaText(const TeamDeclaration &declaration)
{
    return std::to_string(declaration.quotaTasks) + " tasks";
}

DifferenceKind targetDifference(const ClassDeclaration &before, const ClassDeclaration &after)
{
    const bool isStricter = after.targetTime <= before.targetTime && after.targetShare >= before.targetShare;
    const bool isLooser = after.targetTime >= before.targetTime && after.targetShare <= before.targetShare;
    if (isStricter)
        return DifferenceKind::RaiseTarget;
    return isLooser ? DifferenceKind::LowerTarget : DifferenceKind::ChangeTarget;
}

void compareClasses(const Configuration &inForce, const Configuration &wanted, std::vector<Difference> &list)
{
    for (const auto &it : wanted.classes) {
        const auto *before = inForce.findClass(it.name);
        if (before == nullptr || before->retired)
            list.push_back({DifferenceKind::CreateClass, it.name, "", targetText(it)});
        else if (before->targetTime != it.targetTime || before->targetShare != it.targetShare)
            list.push_back({targetDifference(*before, it), it.name, targetText(*before), targetText(it)});
    }
    for (const auto &it : inForce.classes) {
        if (!it.retired && wanted.findClass(it.name) == nullptr)
            list.push_back({DifferenceKind::RetireClass, it.name, targetText(it), ""});
    }
}

void compareTeams(const Configuration &inForce, const Configuration &wanted, std::vector<Difference> &list)
{
    for (const auto &it : wanted.teams) {
        const auto *before = inForce.findTeam(it.name);
        if (before == nullptr)
            list.push_back({DifferenceKind::AddTeam, it.name, "", quotaText(it)});
        else if (before->quotaTasks != it.quotaTasks)
            list.push_back({DifferenceKind::ChangeQuota, it.name, quotaText(*before), quotaText(it)});
    }
    for (const auto &it : inForce.teams) {
        if (wanted.findTeam(it.name) == nullptr)
            list.push_back({DifferenceKind::RemoveTeam, it.name, quotaText(it), ""});
    }
}

ClassDeclaration classOf(const Json &from)
{
    ClassDeclaration declaration;
    declaration.name = from.value("name", "");
    declaration.targetShare = from.value("targetSharePpm", defaultSharePpm);
    declaration.targetTime = std::chrono::milliseconds(from.value("targetTimeMs", defaultTargetMs));
    declaration.retired = from.value("retired", false);
    return declaration;
}

} // namespace

std::string Difference::text() const
{
    auto line = std::string(enumName(differenceKindNames, kind)) + " " + subject + ": ";
    if (before.empty())
        return line + after;
    return line + before + (after.empty() ? "" : " -> " + after);
}

std::vector<Difference> differences(const Configuration &inForce, const Configuration &wanted)
{
    std::vector<Difference> list;
    compareClasses(inForce, wanted, list);
    compareTeams(inForce, wanted, list);
    return list;
}

leaf::result<Configuration> readDeclarations(const std::string &path)
{
    std::ifstream file(path);
    if (!file)
        return leaf::new_error(CliError{
            {"declarations", path, "the file can't be read"}, "nothing was changed", ExitCode::Usage});
    std::ostringstream text;
    text << file.rdbuf();
    const SettingsValidator check(text.str(), SettingsScope::Declarations);
    if (check.errors().empty())
        return configurationOf(check.completeSettings());
    std::string detail;
    for (const auto &it : check.errors())
        detail += (detail.empty() ? "" : "\n  ") + it.text();
    return leaf::new_error(CliError{{"declarations", path, detail}, "nothing was changed", ExitCode::Usage});
}

Configuration configurationOf(const Json &body)
{
    Configuration configuration;
    configuration.version = body.value("version", std::uint64_t{0});
    for (const auto &it : body.value("classes", Json::array()))
        configuration.classes.push_back(classOf(it));
    for (const auto &it : body.value("teams", Json::array()))
        configuration.teams.push_back({it.value("name", ""), it.value("quotaTasks", 0U)});
    for (const auto &it : body.value("evacuations", Json::array()))
        configuration.evacuations.push_back({it.value("domain", ""), it.value("since", std::uint64_t{0})});
    return configuration;
}

Json toJson(const ClassDeclaration &declaration)
{
    return {{"name", declaration.name},
            {"targetSharePpm", declaration.targetShare},
            {"targetTimeMs", declaration.targetTime.count() / 1000}};
}

Json toJson(const TeamDeclaration &declaration)
{
    return {{"name", declaration.name}, {"quotaTasks", declaration.quotaTasks}};
}

std::string targetText(const ClassDeclaration &declaration)
{
    return percentText(declaration.targetShare) + " within "
        + std::to_string(declaration.targetTime.count() / 1000) + " ms";
}

} // namespace Citronpitch
