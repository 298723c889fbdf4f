#include "cli/command.h"
#include "cli/replyjson.h"
#include "cli/texttable.h"

#include <iostream>

namespace Citronpitch {

namespace leaf = boost::leaf;
using Json = nlohmann::json;

namespace {

const std::vector<CliOption> readOptions{CliOption::Vm, CliOption::Timeout, CliOption::TokenFile};

leaf::result<Json> fetch(const Invocation &invocation, const std::string &step, const std::string &target)
{
    BOOST_LEAF_AUTO(client, VmClient::create(invocation.options, VmPort::Control, step));
    ClientRequest request;
    request.target = target;
    BOOST_LEAF_AUTO(reply, client.ask(request));
    return successBody(reply, step);
}

leaf::result<ExitCode> showStatus(const Invocation &invocation)
{
    BOOST_LEAF_AUTO(status, fetch(invocation, "status", "/v1/status"));
    if (invocation.options.isGiven(CliOption::Json)) {
        printJson(status);
        return ExitCode::Done;
    }
    std::cout << "entry VM " << cell(status, "name") << ", failure domain " << cell(status, "failureDomain")
              << ", configuration version " << cell(status, "configurationVersion") << ", "
              << cell(status, "queuedTasks") << " tasks waiting\n";
    for (const auto *it : {"configuration", "configurationAgeMs", "leader"}) {
        if (status.contains(it))
            std::cout << it << ": " << cell(status, it) << "\n";
    }
    TextTable table({"entry VM", "failure domain", "state", "configuration", "free slots", "waiting"});
    for (const auto &it : status.value("vms", Json::array()))
        table.add({cell(it, "name"), cell(it, "failureDomain"), cell(it, "state"),
                   cell(it, "configurationVersion"), cell(it, "freeSlots"), cell(it, "queuedTasks")});
    std::cout << table.text();
    return ExitCode::Done;
}

leaf::result<ExitCode> showUpstreams(const Invocation &invocation)
{
    BOOST_LEAF_AUTO(body, fetch(invocation, "upstreams", "/v1/upstreams"));
    if (invocation.options.isGiven(CliOption::Json)) {
        printJson(body);
        return ExitCode::Done;
    }
    TextTable table({"upstream", "address", "rack", "slots", "own", "busy", "state"});
    for (const auto &it : body.value("upstreams", Json::array())) {
        const auto state = it.value("leaving", false) ? "leaving"
            : it.value("expired", false)              ? "expired"
                                                      : "announced";
        table.add({cell(it, "name"), cell(it, "address") + ":" + cell(it, "port"), cell(it, "rack"),
                   cell(it, "slots"), cell(it, "ownSlots"), cell(it, "busySlots"), state});
    }
    std::cout << table.text();
    return ExitCode::Done;
}

void printExplanation(const Json &explanation)
{
    std::cout << "home: " << cell(explanation, "home") << "\n"
              << "state: " << cell(explanation, "state") << "\n"
              << cell(explanation, "why") << "\n";
    if (!explanation.contains("tasks"))
        return;
    TextTable table({"task", "state", "upstream", "may have started"});
    std::size_t n = 0;
    for (const auto &it : explanation["tasks"])
        table.add({std::to_string(n++), cell(it, "state"), cell(it, "upstream"),
                   it.value("hasStarted", false) ? "yes" : "no"});
    std::cout << table.text();
}

/// Asks the VMs in order until one of them is home to the key.
leaf::result<ExitCode> explain(const Invocation &invocation)
{
    const auto &options = invocation.options;
    if (options.team.empty())
        return usageError("explain", "--team is missing");
    BOOST_LEAF_AUTO(client, VmClient::create(options, VmPort::Control, "explain"));
    ClientRequest request;
    request.target = "/v1/explanations/" + percentEncode(invocation.arguments.front())
        + "?team=" + percentEncode(options.team);
    Json explanation;
    std::string asked;
    for (const auto &it : client.vms()) {
        asked = it.text();
        auto reply = client.askOne(it, request);
        if (!reply)
            continue;
        BOOST_LEAF_ASSIGN(explanation, successBody(*reply, "explain"));
        if (explanation.value("isHome", false))
            break;
    }
    if (explanation.is_null())
        return leaf::new_error(CliError{{"explain", asked, "no answer"}, "ask again", ExitCode::NoAnswer});
    if (!explanation.value("isHome", false))
        return leaf::new_error(
            CliError{{"explain", asked, "VM " + cell(explanation, "home") + " is home to the key"},
                     "give its control address with --vm",
                     ExitCode::NoAnswer});
    if (options.isGiven(CliOption::Json))
        printJson(explanation);
    else
        printExplanation(explanation);
    return ExitCode::Done;
}

} // namespace

std::vector<Command> stateCommands()
{
    auto explainOptions = readOptions;
    explainOptions.push_back(CliOption::Team);
    return {
        {"status",
         {},
         "State of an entry VM and what it knows of the others.\n"
         "--vm takes control addresses, port 7100 where none is given.",
         readOptions,
         showStatus},
        {"upstreams", {}, "Upstreams that an entry VM knows.", readOptions, showUpstreams},
        {"explain",
         {"KEY"},
         "Where the tasks of a job were placed, and why it waits.\n"
         "--vm takes control addresses; the home of the key must be among them.",
         explainOptions,
         explain},
    };
}

} // namespace Citronpitch
