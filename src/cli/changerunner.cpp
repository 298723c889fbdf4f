#include "cli/changerunner.h"

#include "cli/replyjson.h"

#include <iostream>

namespace Citronpitch {

namespace leaf = boost::leaf;
using Json = nlohmann::json;

namespace {

/// What a command that changes the configuration tells at its end.
struct ChangeReport
{
    std::vector<Difference> differences;
    SentChange sent;
    /// Whether the change had been accepted before this command was run.
    bool isEarlier = false;
    bool isSent = false;
    bool hasWaited = false;
    VersionSpread spread;

    ExitCode code() const
    {
        return hasWaited && !spread.behind.empty() ? ExitCode::NotInForce : ExitCode::Done;
    }
};

std::string listed(const std::vector<std::string> &names)
{
    std::string text;
    for (const auto &it : names)
        text += (text.empty() ? "" : ", ") + it;
    return text;
}

void printText(const ChangeReport &report)
{
    if (!report.isSent && !report.isEarlier) {
        std::cout << (report.differences.empty() ? "nothing to change\n" : "nothing was changed\n");
        return;
    }
    std::cout << "change " << report.sent.id << (report.isEarlier ? " had been" : " is")
              << " accepted as version " << report.sent.version << "\n";
    if (!report.hasWaited)
        return;
    std::cout << "in force on: " << listed(report.spread.inForce) << "\n";
    if (!report.spread.behind.empty())
        std::cout << "not yet in force on: " << listed(report.spread.behind) << "\n";
    if (!report.spread.outOfReach.empty())
        std::cout << "out of reach, where it takes effect when they are back: "
                  << listed(report.spread.outOfReach) << "\n";
}

void printDocument(const ChangeReport &report)
{
    Json document{{"differences", toJson(report.differences)}, {"isChanged", report.isSent}};
    if (report.isSent || report.isEarlier) {
        document["changeId"] = report.sent.id;
        document["basedOn"] = report.sent.basedOn;
        document["version"] = report.sent.version;
    }
    if (report.hasWaited) {
        document["inForce"] = report.spread.inForce;
        document["notInForce"] = report.spread.behind;
        document["outOfReach"] = report.spread.outOfReach;
    }
    printJson(document);
}

} // namespace

std::vector<CliOption> changeOptions()
{
    return {CliOption::DryRun, CliOption::Wait, CliOption::ChangeId, CliOption::BasedOn,
            CliOption::Author, CliOption::Vm,   CliOption::Timeout,  CliOption::TokenFile};
}

Json toJson(const std::vector<Difference> &differences)
{
    Json list = Json::array();
    for (const auto &it : differences)
        list.push_back({{"kind", enumName(differenceKindNames, it.kind)},
                        {"subject", it.subject},
                        {"before", it.before},
                        {"after", it.after}});
    return list;
}

leaf::result<ExitCode> runChange(const Invocation &invocation, const std::string &step,
                                 const ChangePlan &plan)
{
    const auto &options = invocation.options;
    const bool isJson = options.isGiven(CliOption::Json);
    BOOST_LEAF_AUTO(client, ConfigurationClient::create(options, step));
    ChangeReport report;
    BOOST_LEAF_ASSIGN(report.sent, client.findEarlier());
    report.isEarlier = report.sent.version != 0;
    if (!report.isEarlier) {
        BOOST_LEAF_AUTO(inForce, client.fetch());
        BOOST_LEAF_AUTO(wanted, plan(inForce));
        report.differences = wanted.differences;
        for (const auto &it : report.differences) {
            if (!isJson)
                std::cout << it.text() << "\n";
        }
        report.isSent = !report.differences.empty() && !options.isGiven(CliOption::DryRun);
        if (report.isSent) {
            BOOST_LEAF_ASSIGN(report.sent, client.send(inForce, wanted.content));
        } else {
            report.sent.version = inForce.version;
        }
    }
    report.hasWaited = options.isGiven(CliOption::Wait) && !options.isGiven(CliOption::DryRun);
    if (report.hasWaited) {
        BOOST_LEAF_ASSIGN(report.spread, client.waitFor(report.sent.version));
    }
    if (isJson)
        printDocument(report);
    else
        printText(report);
    return report.code();
}

} // namespace Citronpitch
