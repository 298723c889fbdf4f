#include "cli/changerunner.h"
#include "cli/replyjson.h"
#include "cli/texttable.h"

#include <ctime>
#include <iostream>

namespace Citronpitch {

namespace leaf = boost::leaf;
using Json = nlohmann::json;

namespace {

WantedChange applyChange(const Configuration &inForce, const Configuration &wanted)
{
    Json classes = Json::array();
    for (const auto &it : wanted.classes)
        classes.push_back(toJson(it));
    Json teams = Json::array();
    for (const auto &it : wanted.teams)
        teams.push_back(toJson(it));
    return {{{"type", "apply"}, {"classes", classes}, {"teams", teams}}, differences(inForce, wanted)};
}

leaf::result<ExitCode> apply(const Invocation &invocation)
{
    BOOST_LEAF_AUTO(wanted, readDeclarations(invocation.arguments.front()));
    return runChange(invocation, "apply", [&](const Configuration &inForce) -> leaf::result<WantedChange> {
        return applyChange(inForce, wanted);
    });
}

leaf::result<ExitCode> diff(const Invocation &invocation)
{
    BOOST_LEAF_AUTO(wanted, readDeclarations(invocation.arguments.front()));
    BOOST_LEAF_AUTO(client, ConfigurationClient::create(invocation.options, "diff"));
    BOOST_LEAF_AUTO(inForce, client.fetch());
    const auto list = differences(inForce, wanted);
    if (invocation.options.isGiven(CliOption::Json)) {
        printJson({{"version", inForce.version}, {"differences", toJson(list)}});
    } else {
        std::cout << list.size() << " differences to version " << inForce.version << "\n";
        for (const auto &it : list)
            std::cout << it.text() << "\n";
    }
    return list.empty() ? ExitCode::Done : ExitCode::Differs;
}

std::string timeText(std::int64_t milliseconds)
{
    const std::time_t time = milliseconds / 1000;
    std::tm parts{};
    gmtime_r(&time, &parts);
    std::array<char, 32> buf{};
    const auto n = std::strftime(buf.data(), buf.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
    return std::string(buf.data(), n);
}

leaf::result<ExitCode> showHistory(const Invocation &invocation)
{
    BOOST_LEAF_AUTO(client, ConfigurationClient::create(invocation.options, "history"));
    BOOST_LEAF_AUTO(body, client.get("/history"));
    if (invocation.options.isGiven(CliOption::Json)) {
        printJson(body);
        return ExitCode::Done;
    }
    TextTable table({"version", "accepted", "author", "change", "of", "change id"});
    for (const auto &it : body.value("changes", Json::array()))
        table.add({cell(it, "version"), timeText(it.value("acceptedAt", std::int64_t{0})), cell(it, "author"),
                   cell(it, "type"), cell(it, "subject"), cell(it, "id")});
    std::cout << table.text();
    return ExitCode::Done;
}

} // namespace

std::vector<Command> declarationCommands()
{
    const std::vector<CliOption> reading{CliOption::Vm, CliOption::Timeout, CliOption::TokenFile};
    return {
        {"apply",
         {"FILE"},
         "Show what the declarations in FILE change, and make them the ones in force.\n"
         "FILE is JSON with comments: \"classes\" with name, targetTimeMs and targetSharePpm, and \"teams\" "
         "with\n"
         "name and quotaTasks. Classes that it lacks are retired, teams that it lacks are removed.\n"
         "All is changed at once, and only if no other change came between; applying again changes nothing.",
         changeOptions(),
         apply},
        {"diff", {"FILE"}, "Show what the declarations in FILE would change.", reading, diff},
        {"history", {}, "List the accepted changes, newest first.", reading, showHistory},
    };
}

} // namespace Citronpitch
