#include "cli/command.h"
#include "cli/declarations.h"
#include "cli/replyjson.h"

#include "reports/servicelevelreport.h"

#include <fstream>
#include <iostream>

namespace Citronpitch {

namespace leaf = boost::leaf;
using Json = nlohmann::json;

namespace {

std::vector<ServiceLevelBucket> bucketsOf(const Json &from)
{
    std::vector<ServiceLevelBucket> list;
    for (const auto &it : from)
        list.push_back(
            {it.at(0).get<std::int64_t>(), it.at(1).get<std::uint64_t>(), it.at(2).get<std::uint64_t>()});
    return list;
}

ClassServiceLevelCounts classBurnOf(const Json &from)
{
    ClassServiceLevelCounts burn{from.at("name").get<std::string>(),
                                 bucketsOf(from.at("minutes")),
                                 bucketsOf(from.at("quarters")),
                                 {}};
    for (const auto &it : from.at("upstreams"))
        burn.upstreams.push_back({it.at("name").get<std::string>(), it.at("missed").get<std::uint64_t>()});
    return burn;
}

/// Reads the body of GET /v1/burn; throws where a field is missing.
VmServiceLevelCounts vmBurnOf(const Json &from)
{
    VmServiceLevelCounts burn;
    burn.vm = from.at("vm").get<std::string>();
    burn.failureDomain = from.at("failureDomain").get<std::string>();
    burn.now = timePointOf(from.at("now").get<std::int64_t>() * 1000);
    burn.declarations = configurationOf({{"classes", from.at("declarations")}}).classes;
    for (const auto &it : from.at("classes"))
        burn.classes.push_back(classBurnOf(it));
    return burn;
}

/// What VM @p vm serves; nothing where it does not answer or the answer can't be read.
std::optional<VmServiceLevelCounts> fetch(const VmClient &client, const Endpoint &vm)
{
    ClientRequest request;
    request.target = "/v1/burn";
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<VmServiceLevelCounts>> {
            BOOST_LEAF_AUTO(reply, client.askOne(vm, request));
            BOOST_LEAF_AUTO(body, successBody(reply, "report burn"));
            return std::optional<VmServiceLevelCounts>(vmBurnOf(body));
        },
        [](const CliError &error) -> std::optional<VmServiceLevelCounts> {
            std::cerr << "citronpitch: " << error.error.text() << "\n";
            return std::nullopt;
        },
        []() -> std::optional<VmServiceLevelCounts> { return std::nullopt; });
}

leaf::result<void> writeHtml(const std::string &path, const ServiceLevelReport &report)
{
    std::ofstream file(path);
    file << serviceLevelReportHtml(report);
    file.flush();
    if (file)
        return {};
    return leaf::new_error(
        CliError{{"report burn", path, "the page can't be written"}, "", ExitCode::Failed});
}

leaf::result<ExitCode> reportBurn(const Invocation &invocation)
{
    const auto &options = invocation.options;
    BOOST_LEAF_AUTO(client, VmClient::create(options, VmPort::Control, "report burn"));
    std::vector<VmServiceLevelCounts> vms;
    std::vector<std::string> silent;
    for (const auto &it : client.vms()) {
        auto burn = fetch(client, it);
        if (burn)
            vms.push_back(std::move(*burn));
        else
            silent.push_back(it.text());
    }
    if (vms.empty())
        return leaf::new_error(CliError{{"report burn", "", "no entry VM answered"},
                                        "give the control addresses of all entry VMs with --vm",
                                        ExitCode::NoAnswer});
    const auto report = makeServiceLevelReport(vms, silent);
    if (!options.htmlFile.empty())
        BOOST_LEAF_CHECK(writeHtml(options.htmlFile, report));
    std::cout << (options.isGiven(CliOption::Json) ? serviceLevelReportJson(report) + "\n"
                                                   : serviceLevelReportText(report));
    return ExitCode::Done;
}

} // namespace

std::vector<Command> reportCommands()
{
    return {
        {"report burn",
         {},
         "Service-level burn of each class, merged over the entry VMs given with --vm.\n"
         "Each entry VM knows the jobs whose keys are at home with it, so give all of them.",
         {CliOption::Html, CliOption::Vm, CliOption::Timeout, CliOption::TokenFile},
         reportBurn},
    };
}

} // namespace Citronpitch
