#include "cli/changerunner.h"
#include "cli/replyjson.h"
#include "cli/texttable.h"

#include <iostream>

namespace Citronpitch {

namespace leaf = boost::leaf;
using Json = nlohmann::json;

namespace {

leaf::result<ExitCode> setTeam(const Invocation &invocation)
{
    if (!invocation.options.quotaTasks)
        return usageError("team set", "--quota is missing");
    return runChange(invocation, "team set", [&](const Configuration &inForce) -> leaf::result<WantedChange> {
        const TeamDeclaration wanted{invocation.arguments.front(), *invocation.options.quotaTasks};
        auto after = inForce;
        std::erase_if(after.teams, [&](const auto &it) { return it.name == wanted.name; });
        after.teams.push_back(wanted);
        return WantedChange{{{"type", "setTeam"}, {"team", toJson(wanted)}}, differences(inForce, after)};
    });
}

leaf::result<ExitCode> removeTeam(const Invocation &invocation)
{
    return runChange(
        invocation, "team remove", [&](const Configuration &inForce) -> leaf::result<WantedChange> {
            const auto &name = invocation.arguments.front();
            if (inForce.findTeam(name) == nullptr)
                return leaf::new_error(CliError{{"team remove", "", "no team named " + name + " is declared"},
                                                "nothing was changed",
                                                ExitCode::Refused});
            auto after = inForce;
            std::erase_if(after.teams, [&](const auto &it) { return it.name == name; });
            return WantedChange{{{"type", "removeTeam"}, {"team", {{"name", name}}}},
                                differences(inForce, after)};
        });
}

leaf::result<ExitCode> listTeams(const Invocation &invocation)
{
    BOOST_LEAF_AUTO(client, ConfigurationClient::create(invocation.options, "team list"));
    BOOST_LEAF_AUTO(configuration, client.fetch());
    Json list = Json::array();
    TextTable table({"team", "quota"});
    for (const auto &it : configuration.teams) {
        list.push_back(toJson(it));
        table.add({it.name, std::to_string(it.quotaTasks) + " tasks"});
    }
    if (invocation.options.isGiven(CliOption::Json))
        printJson({{"version", configuration.version}, {"teams", list}});
    else
        std::cout << "version " << configuration.version << "\n" << table.text();
    return ExitCode::Done;
}

} // namespace

std::vector<Command> teamCommands()
{
    const std::vector<CliOption> reading{CliOption::Vm, CliOption::Timeout, CliOption::TokenFile};
    auto setting = changeOptions();
    setting.insert(setting.begin(), CliOption::Quota);
    return {
        {"team set", {"NAME"}, "Add a team or change its quota.", setting, setTeam},
        {"team remove", {"NAME"}, "Remove a team.", changeOptions(), removeTeam},
        {"team list", {}, "List the teams and their quotas.", reading, listTeams},
    };
}

} // namespace Citronpitch
