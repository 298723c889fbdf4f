#include "cli/changerunner.h"
#include "cli/replyjson.h"
#include "cli/texttable.h"

#include <iostream>

namespace Citronpitch {

namespace leaf = boost::leaf;
using Json = nlohmann::json;

namespace {

/// Evacuates or restores a failure domain; one that already is in that state needs no change.
leaf::result<ExitCode> changeDomain(const Invocation &invocation, bool isStart)
{
    const std::string step = isStart ? "domain evacuate" : "domain restore";
    return runChange(invocation, step, [&](const Configuration &inForce) -> leaf::result<WantedChange> {
        const auto &name = invocation.arguments.front();
        const bool isEvacuated = inForce.findEvacuation(name) != nullptr;
        WantedChange change{{{"type", isStart ? "evacuateDomain" : "restoreDomain"}, {"domain", name}}, {}};
        if (isEvacuated != isStart)
            change.differences.push_back(
                {isStart ? DifferenceKind::EvacuateDomain : DifferenceKind::RestoreDomain, name,
                 isStart ? "in use" : "evacuated", isStart ? "evacuated" : "in use"});
        return change;
    });
}

leaf::result<ExitCode> listDomains(const Invocation &invocation)
{
    BOOST_LEAF_AUTO(client, ConfigurationClient::create(invocation.options, "domain list"));
    BOOST_LEAF_AUTO(configuration, client.fetch());
    Json list = Json::array();
    TextTable table({"evacuated domain", "since version"});
    for (const auto &it : configuration.evacuations) {
        list.push_back({{"domain", it.domain}, {"since", it.since}});
        table.add({it.domain, std::to_string(it.since)});
    }
    if (invocation.options.isGiven(CliOption::Json))
        printJson({{"version", configuration.version}, {"evacuations", list}});
    else
        std::cout << "version " << configuration.version << "\n" << table.text();
    return ExitCode::Done;
}

} // namespace

std::vector<Command> domainCommands()
{
    const std::vector<CliOption> reading{CliOption::Vm, CliOption::Timeout, CliOption::TokenFile};
    return {
        {"domain evacuate",
         {"NAME"},
         "Start nothing more on the upstreams of a failure domain.",
         changeOptions(),
         [](const Invocation &invocation) { return changeDomain(invocation, true); }},
        {"domain restore",
         {"NAME"},
         "End the evacuation of a failure domain.",
         changeOptions(),
         [](const Invocation &invocation) { return changeDomain(invocation, false); }},
        {"domain list", {}, "List the evacuated failure domains.", reading, listDomains},
    };
}

} // namespace Citronpitch
