#include "support/clirun.h"
#include "support/deployment.h"
#include "support/submissions.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <sys/stat.h>

using namespace Citronpitch;
using Json = nlohmann::json;

namespace {

const std::string programs = CITRONPITCH_PROGRAMS;
const std::string sourceFolder = CITRONPITCH_SOURCES;

CliRun cli(const std::vector<std::string> &arguments)
{
    return runCli(programs, arguments);
}

std::string textOf(const Endpoint &endpoint)
{
    return endpoint.address + ":" + std::to_string(endpoint.port);
}

} // namespace

/// The commands against a deployment of three entry VMs.
class CliTest : public ::testing::Test
{
protected:
    void start(const std::string &name)
    {
        DeploymentPlan plan;
        plan.programs = programs;
        plan.folder = programs + "/integration/" + name;
        plan.vms = {{"a1", "a"}, {"a2", "a"}, {"b1", "b"}};
        plan.upstreams = {{"ua", "a", 2}, {"ub", "b", 2}};
        plan.vmSettings = R"({"initialConfiguration": {"classes": [{"name": "casework"}]}})";
        folder = plan.folder;
        deployment = std::make_unique<Deployment>(plan);
        deployment->start();
        ASSERT_TRUE(deployment->waitUntilReady(std::chrono::seconds(20)));
    }

    std::string jobFile(const std::string &name, int tasks, int milliseconds, int status = 200) const
    {
        Json list = Json::array();
        for (int i = 0; i < tasks; ++i) {
            const Json payload{
                {"id", name + "/" + std::to_string(i)}, {"ms", milliseconds}, {"status", status}};
            list.push_back({{"payload", payload.dump()}});
        }
        const auto path = folder + "/" + name + ".job.json";
        std::ofstream(path) << Json{{"team", "t"}, {"class", "casework"}, {"tasks", list}}.dump();
        return path;
    }

    std::string callers(const std::string &vm) const
    {
        return textOf(deployment->callers(vm));
    }

    std::string control(const std::string &vm) const
    {
        return textOf(deployment->control(vm));
    }

    std::string folder;
    std::unique_ptr<Deployment> deployment;
};

TEST_F(CliTest, submittedJobIsAnsweredAndItsKeyRunsNothingAgain)
{
    start("clisubmit");
    const auto file = jobFile("order", 3, 20);
    const auto first = cli({"submit", file, "--key", "order-1", "--vm", callers("a1"), "--json"});
    EXPECT_EQ(first.exitCode, 0) << first.output;
    EXPECT_EQ(first.json().value("outcome", ""), "complete");
    const auto second = cli({"submit", file, "--key", "order-1", "--vm", callers("b1"), "--json"});
    EXPECT_EQ(second.json(), first.json());
    const auto answer = cli({"answer", "order-1", "--team", "t", "--vm", callers("a2"), "--json"});
    EXPECT_EQ(answer.exitCode, 0);
    EXPECT_EQ(answer.json(), first.json());
    EXPECT_EQ(deployment->records().started, 3U);
}

TEST_F(CliTest, vmsAreTriedInOrder)
{
    start("cliorder");
    const auto nobody = textOf(freeEndpoint());
    const auto run =
        cli({"submit", jobFile("order", 1, 10), "--vm", nobody, "--vm", callers("a1"), "--json"});
    EXPECT_EQ(run.exitCode, 0) << run.output;
    const auto alone = cli({"status", "--vm", nobody, "--timeout-ms", "300"});
    EXPECT_EQ(alone.exitCode, 3);
    EXPECT_NE(alone.output.find("status: " + nobody + ": no answer"), std::string::npos) << alone.output;
    EXPECT_NE(alone.output.find("run the same command again"), std::string::npos);
}

TEST_F(CliTest, exitCodesTellOutcomesApart)
{
    start("clicodes");
    EXPECT_EQ(cli({"submit", jobFile("failing", 1, 10, 500), "--vm", callers("a1")}).exitCode, 1);
    EXPECT_EQ(cli({"submit", folder + "/missing.json", "--vm", callers("a1")}).exitCode, 2);
    const auto refused = folder + "/refused.json";
    std::ofstream(refused) << R"({"team": "t", "class": "other", "tasks": [{"payload": "{}"}]})";
    auto refusal = cli({"submit", refused, "--vm", callers("a1")});
    // Until the VMs have elected a leader, none can know whether the class is declared.
    const auto electedBy = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (refusal.output.find("configuration-outdated") != std::string::npos
           && std::chrono::steady_clock::now() < electedBy) {
        EXPECT_EQ(refusal.exitCode, 4) << refusal.output;
        refusal = cli({"submit", refused, "--vm", callers("a1")});
    }
    EXPECT_EQ(refusal.exitCode, 4) << refusal.output;
    EXPECT_NE(refusal.output.find("unknown-class"), std::string::npos);
    const auto never = cli({"answer", "never-seen", "--team", "t", "--vm", callers("a1")});
    EXPECT_EQ(never.exitCode, 3) << never.output;
    const auto pending =
        cli({"submit", jobFile("slow", 1, 3000), "--key", "slow-1", "--no-wait", "--vm", callers("a1")});
    EXPECT_EQ(pending.exitCode, 7) << pending.output;
    // Before its claim is synced a job can still be cancelled as not run.
    ASSERT_TRUE(eventually([&] { return deployment->records().starts["slow/0"] == 1; }));
    const auto cancelled = cli({"cancel", "slow-1", "--team", "t", "--vm", callers("b1"), "--json"});
    EXPECT_EQ(cancelled.exitCode, 1) << cancelled.output;
    EXPECT_EQ(cancelled.json().value("reason", ""), "cancelled");
}

TEST_F(CliTest, explanationNamesUpstreamsOfRunningTasksAndWhyOthersWait)
{
    start("cliexplain");
    const auto file = jobFile("long", 8, 2000);
    ASSERT_EQ(cli({"submit", file, "--key", "long-1", "--no-wait", "--vm", callers("a1")}).exitCode, 7);
    // The job is taken before its claim is synced, and starts only after that.
    Json explanation;
    std::string output;
    ASSERT_TRUE(eventually([&] {
        const auto run = cli({"explain", "long-1", "--team", "t", "--vm", control("a1"), "--vm",
                              control("a2"), "--vm", control("b1"), "--json"});
        EXPECT_EQ(run.exitCode, 0) << run.output;
        output = run.output;
        explanation = run.json();
        const auto &tasks = explanation.at("tasks");
        return std::any_of(tasks.begin(), tasks.end(),
                           [](const auto &it) { return it.at("state") == "running"; });
    }));
    EXPECT_EQ(explanation.value("state", ""), "pending");
    EXPECT_NE(explanation.value("why", "").find("tasks wait here"), std::string::npos) << output;
    std::map<std::string, int> stages;
    for (const auto &it : explanation.at("tasks")) {
        ++stages[it.at("state")];
        EXPECT_EQ(it.at("state") == "running", !it.at("upstream").get<std::string>().empty());
    }
    EXPECT_GT(stages["running"], 0);
    EXPECT_GT(stages["waiting"], 0);
    const auto unknown = cli({"explain", "never-seen", "--team", "t", "--vm", control("a1"), "--vm",
                              control("a2"), "--vm", control("b1")});
    EXPECT_EQ(unknown.exitCode, 0);
    EXPECT_NE(unknown.output.find("not known"), std::string::npos);
}

TEST_F(CliTest, statusAndUpstreamsAreTables)
{
    start("clistatus");
    const auto status = cli({"status", "--vm", control("a1")});
    EXPECT_EQ(status.exitCode, 0);
    EXPECT_NE(status.output.find("b1"), std::string::npos) << status.output;
    EXPECT_NE(status.output.find("alive"), std::string::npos);
    const auto upstreams = cli({"upstreams", "--vm", control("a1")});
    EXPECT_NE(upstreams.output.find("ua"), std::string::npos) << upstreams.output;
}

TEST(CliLocalTest, everyCommandHasHelp)
{
    const auto help = cli({"--help"});
    ASSERT_EQ(help.exitCode, 0);
    std::istringstream lines(help.output);
    int n = 0;
    for (std::string it; std::getline(lines, it);) {
        if (!it.starts_with("  ") || it.starts_with("  0") || !std::isalpha(it[2]))
            continue;
        const auto end = it.find_first_of("[ABCDEFGHIJKLMNOPQRSTUVWXYZ", 2);
        std::istringstream words(it.substr(0, std::min(end, it.find("  ", 2))));
        std::vector<std::string> arguments;
        for (std::string word; words >> word;)
            arguments.push_back(word);
        arguments.emplace_back("--help");
        const auto run = cli(arguments);
        EXPECT_EQ(run.exitCode, 0) << it;
        EXPECT_TRUE(run.output.starts_with("usage: citronpitch " + arguments.front())) << run.output;
        ++n;
    }
    EXPECT_GE(n, 8);
}

TEST(CliLocalTest, wrongUsageEndsWithTwoAndSaysWhatToDo)
{
    for (const auto &it : std::vector<std::vector<std::string>>{{"submitt"},
                                                                {},
                                                                {"status", "extra"},
                                                                {"status", "--team", "t"},
                                                                {"status", "--vm", "127.0.0.1:0"},
                                                                {"answer", "key"},
                                                                {"--unknown"}}) {
        const auto run = cli(it);
        EXPECT_EQ(run.exitCode, 2) << run.output;
        EXPECT_NE(run.output.find("--help"), std::string::npos) << run.output;
    }
}

TEST(CliLocalTest, settingsCheckListsEveryError)
{
    EXPECT_EQ(cli({"settings", "check", sourceFolder + "/examples/clydeside.json"}).exitCode, 0);
    EXPECT_EQ(cli({"settings", "check", sourceFolder + "/examples/pasteleria.json"}).exitCode, 0);
    const auto path = programs + "/integration/badcheck.json";
    std::ofstream(path) << "{\n\"heartbeatMs\": 0\n}";
    const auto run = cli({"settings", "check", path, "--json"});
    EXPECT_EQ(run.exitCode, 2);
    EXPECT_EQ(run.json().at("errors").size(), 7U) << run.output;
    EXPECT_EQ(cli({"settings", "check", "/nowhere"}).exitCode, 2);
}

TEST(CliLocalTest, keysAreMadeForTheOwnerAloneAndNeverOverwritten)
{
    const auto folder = programs + "/integration/keys";
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
    const auto run = cli({"keys", "a1", "--output", folder, "--json"});
    ASSERT_EQ(run.exitCode, 0) << run.output;
    EXPECT_EQ(run.json().value("publicKey", "").size(), 40U);
    struct stat status
    {
    };
    ASSERT_EQ(::stat((folder + "/a1.key").c_str(), &status), 0);
    EXPECT_EQ(status.st_mode & 0777U, 0600U);
    EXPECT_EQ(cli({"keys", "a1", "--output", folder}).exitCode, 1);
}
