#include "cli/changerunner.h"
#include "cli/replyjson.h"
#include "cli/texttable.h"

#include <algorithm>
#include <iostream>

namespace Citronpitch {

namespace leaf = boost::leaf;
using Json = nlohmann::json;

namespace {

leaf::error_id refusal(const std::string &step, const std::string &detail)
{
    return leaf::new_error(CliError{{step, "", detail}, "nothing was changed", ExitCode::Refused});
}

/// The change @p type of one class to @p wanted, with its differences to what is in force.
WantedChange classChange(const Configuration &inForce, const ClassDeclaration &wanted, const char *type)
{
    auto after = inForce;
    std::erase_if(after.classes, [&](const auto &it) { return it.name == wanted.name; });
    if (!wanted.retired)
        after.classes.push_back(wanted);
    return {{{"type", type}, {"class", toJson(wanted)}}, differences(inForce, after)};
}

void takeTarget(const CliOptions &options, ClassDeclaration &declaration)
{
    declaration.targetTime = options.targetTime.value_or(declaration.targetTime);
    declaration.targetShare = options.targetShare.value_or(declaration.targetShare);
}

leaf::result<ExitCode> createClass(const Invocation &invocation)
{
    constexpr std::uint32_t defaultSharePpm = 990'000;
    const auto &options = invocation.options;
    if (!options.targetTime)
        return usageError("class create", "--target-ms is missing");
    return runChange(invocation, "class create",
                     [&](const Configuration &inForce) -> leaf::result<WantedChange> {
                         ClassDeclaration wanted{invocation.arguments.front(), defaultSharePpm, {}, false};
                         takeTarget(options, wanted);
                         const auto *before = inForce.findClass(wanted.name);
                         if (before != nullptr && !before->retired && *before != wanted)
                             return refusal("class create",
                                            "class " + wanted.name + " is there with " + targetText(*before));
                         return classChange(inForce, wanted, "createClass");
                     });
}

/// Moves the target of a class; @p isRaise tells the wanted direction.
leaf::result<ExitCode> moveTarget(const Invocation &invocation, bool isRaise)
{
    const std::string step = isRaise ? "class raise" : "class lower";
    const auto &options = invocation.options;
    if (!options.targetTime && !options.targetShare)
        return usageError(step, "--target-ms or --share-ppm is missing");
    return runChange(invocation, step, [&](const Configuration &inForce) -> leaf::result<WantedChange> {
        const auto &name = invocation.arguments.front();
        const auto *before = inForce.findClass(name);
        if (before == nullptr || before->retired)
            return refusal(step, "no class named " + name + " is in force");
        auto wanted = *before;
        takeTarget(options, wanted);
        auto change = classChange(inForce, wanted, isRaise ? "raiseTarget" : "lowerTarget");
        const auto expected = isRaise ? DifferenceKind::RaiseTarget : DifferenceKind::LowerTarget;
        for (const auto &it : change.differences) {
            if (it.kind != expected)
                return refusal(step, "the target would go another way: " + it.text());
        }
        return change;
    });
}

leaf::result<ExitCode> retireClass(const Invocation &invocation)
{
    return runChange(invocation, "class retire",
                     [&](const Configuration &inForce) -> leaf::result<WantedChange> {
                         const auto &name = invocation.arguments.front();
                         const auto *before = inForce.findClass(name);
                         if (before == nullptr)
                             return refusal("class retire", "no class named " + name + " is declared");
                         auto wanted = *before;
                         wanted.retired = true;
                         return classChange(inForce, wanted, "retireClass");
                     });
}

Json shownJson(const ClassDeclaration &declaration)
{
    auto json = toJson(declaration);
    json["retired"] = declaration.retired;
    return json;
}

leaf::result<ExitCode> listClasses(const Invocation &invocation)
{
    BOOST_LEAF_AUTO(client, ConfigurationClient::create(invocation.options, "class list"));
    BOOST_LEAF_AUTO(configuration, client.fetch());
    Json list = Json::array();
    TextTable table({"class", "target", "state"});
    for (const auto &it : configuration.classes) {
        list.push_back(shownJson(it));
        table.add({it.name, targetText(it), it.retired ? "retired" : "in force"});
    }
    if (invocation.options.isGiven(CliOption::Json))
        printJson({{"version", configuration.version}, {"classes", list}});
    else
        std::cout << "version " << configuration.version << "\n" << table.text();
    return ExitCode::Done;
}

leaf::result<ExitCode> showClass(const Invocation &invocation)
{
    const auto &name = invocation.arguments.front();
    BOOST_LEAF_AUTO(client, ConfigurationClient::create(invocation.options, "class show"));
    BOOST_LEAF_AUTO(configuration, client.fetch());
    const auto *declaration = configuration.findClass(name);
    if (declaration == nullptr)
        return refusal("class show", "no class named " + name + " is declared");
    if (invocation.options.isGiven(CliOption::Json))
        printJson(shownJson(*declaration));
    else
        std::cout << name << ": " << targetText(*declaration) << (declaration->retired ? ", retired" : "")
                  << "\n";
    return ExitCode::Done;
}

} // namespace

std::vector<Command> classCommands()
{
    const std::vector<CliOption> reading{CliOption::Vm, CliOption::Timeout, CliOption::TokenFile};
    auto targeting = changeOptions();
    targeting.insert(targeting.begin(), {CliOption::TargetMs, CliOption::SharePpm});
    return {
        {"class create",
         {"NAME"},
         "Create a class, or take a retired one back, with a target.",
         targeting,
         createClass},
        {"class raise",
         {"NAME"},
         "Make the target of a class stricter.",
         targeting,
         [](const Invocation &invocation) { return moveTarget(invocation, true); }},
        {"class lower",
         {"NAME"},
         "Make the target of a class less strict.",
         targeting,
         [](const Invocation &invocation) { return moveTarget(invocation, false); }},
        {"class retire",
         {"NAME"},
         "Retire a class: it takes no new jobs, those in flight finish.",
         changeOptions(),
         retireClass},
        {"class list", {}, "List the classes and their targets.", reading, listClasses},
        {"class show", {"NAME"}, "Show one class.", reading, showClass},
    };
}

} // namespace Citronpitch
