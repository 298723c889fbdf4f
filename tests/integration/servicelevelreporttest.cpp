#include "reports/servicelevelreport.h"
#include "support/clirun.h"
#include "support/deployment.h"

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

using namespace Citronpitch;
using Json = nlohmann::json;

namespace {

const std::string programs = CITRONPITCH_PROGRAMS;
const TimePoint now = timePointOf(1'800'000'000'000'000);
constexpr std::int64_t minuteNow = 30'000'000;
constexpr std::int64_t quarterNow = 2'000'000;

VmServiceLevelCounts serviceLevelCountsOf(const std::string &vm, const std::string &failureDomain,
                                          std::uint64_t answered, std::uint64_t missed)
{
    VmServiceLevelCounts counts{
        vm, failureDomain, now, {{"casework", 990000, std::chrono::milliseconds(300)}}, {}};
    counts.classes = {{"casework",
                       {{minuteNow, answered, missed}},
                       {{quarterNow - 100, 1000, 0}, {quarterNow, answered, missed}},
                       {{"u-" + failureDomain, missed}}}};
    return counts;
}

std::string textOf(const Endpoint &endpoint)
{
    return endpoint.address + ":" + std::to_string(endpoint.port);
}

} // namespace

// Guards against burn rates that are averaged over entry VMs: jobs must be summed before the rate is
// computed.
TEST(ServiceLevelReportTest, mergesWindowsOverEntryVms)
{
    const auto report = makeServiceLevelReport(
        {serviceLevelCountsOf("a1", "a", 600, 6), serviceLevelCountsOf("b1", "b", 400, 34)}, {"c1"});
    ASSERT_EQ(report.classes.size(), 1U);
    const auto &it = report.classes[0];
    ASSERT_EQ(it.windows.size(), 4U);
    EXPECT_EQ(it.windows[0].answered, 1000U);
    EXPECT_NEAR(it.windows[0].burnRate, 4.0, 1e-6) << "4% missed, 1% is allowed";
    EXPECT_NEAR(it.windows[1].burnRate, 4.0, 1e-6);
    EXPECT_EQ(it.windows[2].answered, 1000U);
    EXPECT_EQ(it.windows[3].answered, 3000U);
    EXPECT_NEAR(it.budgetLeft, 1 - 4.0 / 3, 1e-6);
    EXPECT_EQ(it.exhaustedAt, now) << "the budget is exhausted already";
    ASSERT_EQ(it.failureDomains.size(), 2U);
    EXPECT_EQ(it.failureDomains[0].name, "b");
    EXPECT_EQ(it.failureDomains[0].missed, 34U);
    EXPECT_EQ(it.upstreams[0].name, "u-b");
    EXPECT_EQ(report.unresponsiveVms, std::vector<std::string>{"c1"});
}

// Guards against a wrong exhaustion time: the rate of the last hour applies to the budget left of three days.
TEST(ServiceLevelReportTest, derivesExhaustionTimeFromLastHour)
{
    // 2% missed in the last hour and 10 of 1500 in three days: burn rates 2 and 2/3.
    const auto report = makeServiceLevelReport({serviceLevelCountsOf("a1", "a", 500, 10)}, {});
    const auto &it = report.classes[0];
    EXPECT_NEAR(it.windows[1].burnRate, 2.0, 1e-6);
    EXPECT_NEAR(it.budgetLeft, 1.0 / 3, 1e-6);
    ASSERT_TRUE(it.exhaustedAt);
    EXPECT_NEAR(static_cast<double>((*it.exhaustedAt - now).count()) / 3.6e9, 12.0, 1e-3);
    const auto good = makeServiceLevelReport({serviceLevelCountsOf("a1", "a", 500, 5)}, {});
    EXPECT_FALSE(good.classes[0].exhaustedAt) << "at burn rate 1 the budget lasts exactly for its period";
}

// Guards against script injection through names of upstreams or VMs, and against pages that need a network.
TEST(ServiceLevelReportTest, htmlPageIsSelfContainedAndEscaped)
{
    auto counts = serviceLevelCountsOf("a1", "a", 100, 50);
    counts.classes[0].upstreams = {{"<script>alert(1)</script>", 50}};
    const auto page = serviceLevelReportHtml(makeServiceLevelReport({counts}, {"<b>"}));
    EXPECT_EQ(page.find("<script"), std::string::npos);
    EXPECT_EQ(page.find("<b>"), std::string::npos);
    EXPECT_NE(page.find("&lt;script&gt;"), std::string::npos);
    EXPECT_EQ(page.find("http"), std::string::npos) << "the page loads no external resources";
    EXPECT_EQ(page.find("src="), std::string::npos);
    std::size_t plots = 0;
    for (auto it = page.find("<svg"); it != std::string::npos; it = page.find("<svg", it + 1))
        ++plots;
    EXPECT_EQ(plots, 2U);
    EXPECT_NE(page.find("<rect"), std::string::npos);
}

// Guards against jobs that are counted more than once, and against a VM that is missing from the report
// without notice.
TEST(ServiceLevelReportTest, commandMergesEntryVmsAndListsUnresponsiveOnes)
{
    DeploymentPlan plan;
    plan.programs = programs;
    plan.folder = programs + "/integration/burnreport";
    plan.vms = {{"a1", "a"}, {"b1", "b"}};
    plan.upstreams = {{"ua", "a"}, {"ub", "b"}};
    plan.vmSettings =
        R"({"initialConfiguration": {"classes": [{"name": "casework", "targetTimeMs": 5000}]}})";
    Deployment deployment(plan);
    deployment.start();
    ASSERT_TRUE(deployment.waitUntilReady(std::chrono::seconds(20)));
    constexpr int jobs = 12;
    for (int i = 0; i < jobs; ++i) {
        // Each job is submitted twice, because a resubmission must not be counted again. The last three fail.
        const int status = i < jobs - 3 ? 200 : 500;
        const auto id = "job-" + std::to_string(i);
        const auto file = plan.folder + "/" + id + ".json";
        const Json payload{{"id", id}, {"ms", 1}, {"status", status}};
        const Json job{{"team", "t"}, {"class", "casework"}, {"tasks", {{{"payload", payload.dump()}}}}};
        std::ofstream(file) << job.dump();
        for (const auto *vm : {"a1", "b1"})
            runCli(programs, {"submit", file, "--key", id, "--vm", textOf(deployment.callers(vm))});
    }
    const auto nobody = textOf(freeEndpoint());
    const auto page = plan.folder + "/burn.html";
    const auto run = runCli(programs,
                            {"report", "burn", "--vm", textOf(deployment.control("a1")), "--vm",
                             textOf(deployment.control("b1")), "--vm", nobody, "--json", "--html", page});
    ASSERT_EQ(run.exitCode, 0) << run.output;
    const auto report = run.json();
    EXPECT_EQ(report.at("silentVms"), Json::array({nobody}));
    const auto &it = report.at("classes").at(0);
    EXPECT_EQ(it.at("windows").at(3).at("answered"), jobs) << run.output;
    EXPECT_EQ(it.at("windows").at(3).at("missed"), 3);
    std::uint64_t blamed = 0;
    for (const auto &cost : it.at("upstreams"))
        blamed += cost.at("missed").get<std::uint64_t>();
    EXPECT_EQ(blamed, 3U);
    std::ostringstream html;
    html << std::ifstream(page).rdbuf();
    EXPECT_TRUE(html.str().starts_with("<!DOCTYPE html>"));
    const auto text = runCli(programs, {"report", "burn", "--vm", textOf(deployment.control("a1"))});
    EXPECT_NE(text.output.find("budget left"), std::string::npos) << text.output;
    EXPECT_EQ(runCli(programs, {"report", "burn", "--vm", nobody}).exitCode, 3);
}
