#include "log/metrics.h"
#include "support/clirun.h"
#include "support/deployment.h"
#include "support/submissions.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>

using namespace Citronpitch;
using Json = nlohmann::json;

namespace {

const std::string programs = CITRONPITCH_PROGRAMS;
const std::string sourceFolder = CITRONPITCH_SOURCES;

/// Command in a documentation page and its documented exit code.
struct DocumentedCommand
{
    std::vector<std::string> words;
    int exitCode = 0;
};

/// Returns the commands in the code blocks of page @p name that run @p program.
std::vector<DocumentedCommand> commandsOf(const std::string &name, const std::string &program)
{
    std::vector<DocumentedCommand> list;
    std::ifstream page(sourceFolder + "/" + name);
    for (std::string line; std::getline(page, line);) {
        if (!line.starts_with("    " + program + " "))
            continue;
        DocumentedCommand command;
        const auto comment = line.find('#');
        std::smatch match;
        if (std::regex_search(line, match, std::regex("exits with ([0-9])")))
            command.exitCode = std::stoi(match[1]);
        std::istringstream words(line.substr(0, comment));
        for (std::string it; words >> it;)
            command.words.push_back(it.starts_with("examples/") ? sourceFolder + "/" + it : it);
        command.words.erase(command.words.begin());
        list.push_back(command);
    }
    return list;
}

Json jsonOf(const Endpoint &endpoint)
{
    return {{"address", endpoint.address}, {"port", endpoint.port}};
}

Json exampleOf(const std::string &name)
{
    std::ifstream file(sourceFolder + "/examples/first/" + name);
    return Json::parse(file, nullptr, true, true);
}

} // namespace

/// Runs the first example of the README on free ports, and the commands of the pages against it.
class DocsTest : public ::testing::Test
{
protected:
    void SetUp() override
    {
        folder =
            programs + "/integration/docs-" + ::testing::UnitTest::GetInstance()->current_test_info()->name();
        std::filesystem::remove_all(folder);
        std::filesystem::create_directories(folder);
        callers = freeEndpoint();
        control = freeEndpoint();
        const auto peers = freeEndpoint();
        const auto upstream = freeEndpoint();
        auto vm = exampleOf("vm.json");
        vm["dataFolder"] = folder + "/data";
        vm["callers"] = jsonOf(callers);
        vm["control"] = jsonOf(control);
        vm["peers"] = jsonOf(peers);
        vm["vms"][0]["peers"] = jsonOf(peers);
        std::ofstream(folder + "/vm.json") << vm.dump();
        auto stand = exampleOf("upstream.json");
        stand["listen"] = jsonOf(upstream);
        stand["entryVms"][0] = jsonOf(control);
        std::ofstream(folder + "/upstream.json") << stand.dump();
        ChildProcess initialization(programs + "/citronpitchd",
                                    {"--settings", folder + "/vm.json", "--initialize"}, folder + "/vm.log");
        ASSERT_EQ(initialization.wait(), 0);
        processes.emplace_back(programs + "/citronpitchd",
                               std::vector<std::string>{"--settings", folder + "/vm.json"},
                               folder + "/vm.log");
        processes.emplace_back(programs + "/citronpitch-fakeupstream",
                               std::vector<std::string>{folder + "/upstream.json"}, folder + "/upstream.log");
        ASSERT_TRUE(isReady());
    }

    /// Runs a command of a page with the address of the example as --vm.
    CliRun run(const DocumentedCommand &command) const
    {
        auto words = command.words;
        static const std::set<std::string> local{"settings", "keys"};
        static const std::set<std::string> ofCallers{"submit", "answer", "cancel"};
        const auto &endpoint = ofCallers.contains(words.front()) ? callers : control;
        if (!local.contains(words.front())) {
            words.emplace_back("--vm");
            words.push_back(endpoint.address + ":" + std::to_string(endpoint.port));
        }
        return runCli(programs, words);
    }

    void runAll(const std::vector<DocumentedCommand> &commands) const
    {
        EXPECT_FALSE(commands.empty());
        for (const auto &it : commands) {
            const auto result = run(it);
            std::string text;
            for (const auto &word : it.words)
                text += word + " ";
            EXPECT_EQ(result.exitCode, it.exitCode) << text << "\n" << result.output;
        }
    }

    bool isReady() const
    {
        return eventually([this] {
            const auto result = run({{"upstreams", "--json", "--timeout-ms", "500"}});
            return result.exitCode == 0 && !result.json().at("upstreams").empty();
        });
    }

    std::string folder;
    Endpoint callers;
    Endpoint control;
    std::vector<ChildProcess> processes;
};

// Each command of the README must run with its documented exit code.
TEST_F(DocsTest, readmeCommandsRun)
{
    runAll(commandsOf("README.md", "build/citronpitch"));
}

// Each command of docs/OPERATIONS.md must run with its documented exit code; the job and the class that the
// commands refer to are created first.
TEST_F(DocsTest, operationsCommandsRun)
{
    runAll({{{"submit", sourceFolder + "/examples/first/job.json", "--key", "order-1"}},
            {{"class", "create", "approval", "--target-ms", "600"}}});
    runAll(commandsOf("docs/OPERATIONS.md", "build/citronpitch"));
}

// The daemon's commands of the README that only print must succeed.
TEST(DocsPagesTest, readmeDaemonCommandsRun)
{
    int printed = 0;
    for (const auto &it : commandsOf("README.md", "build/citronpitchd")) {
        EXPECT_EQ(it.words.at(0), "--settings");
        // Commands that create or use the data folder are covered by DocsTest, on free ports.
        if (it.words.size() == 2 || it.words.back() == "--initialize")
            continue;
        ChildProcess process(programs + "/citronpitchd", it.words, programs + "/integration/print.log");
        EXPECT_EQ(process.wait(), 0);
        ++printed;
    }
    EXPECT_GT(printed, 0);
}

// A link from a page to a file that was moved or removed must be found.
TEST(DocsPagesTest, linkedFilesExist)
{
    for (const std::string page : {"README.md", "docs/OPERATIONS.md", "docs/CONTRIBUTING.md",
                                   "docs/GLOSSARY.md", "docs/SETTINGS.md", "docs/FLEET.md"}) {
        std::ostringstream text;
        text << std::ifstream(sourceFolder + "/" + page).rdbuf();
        const auto content = text.str();
        const std::regex link(R"(\]\(([A-Za-z./]+)\))");
        for (auto it = std::sregex_iterator(content.begin(), content.end(), link);
             it != std::sregex_iterator(); ++it) {
            const auto folder = std::filesystem::path(sourceFolder + "/" + page).parent_path();
            EXPECT_TRUE(std::filesystem::exists(folder / it->str(1))) << page << ": " << it->str(1);
        }
    }
}

// docs/OPERATIONS.md must have a row with the current labels and description of each metric.
TEST(DocsPagesTest, everyMetricIsDocumented)
{
    std::ostringstream text;
    text << std::ifstream(sourceFolder + "/docs/OPERATIONS.md").rdbuf();
    for (const auto &it : metricCatalogue()) {
        const auto row = "| `" + std::string(it.name) + "` | " + std::string(it.labels) + " | "
            + std::string(it.description) + " |";
        EXPECT_NE(text.str().find(row), std::string::npos) << row;
    }
}

// docs/FLEET.md must name each key that src/fleet/fleetsettings.cpp reads.
TEST(DocsPagesTest, everyFleetSettingIsDocumented)
{
    const auto textOf = [](const std::string &path) {
        std::ostringstream text;
        text << std::ifstream(sourceFolder + path).rdbuf();
        return text.str();
    };
    const auto page = textOf("/docs/FLEET.md");
    const auto source = textOf("/src/fleet/fleetsettings.cpp");
    const std::regex key(R"re((?:fields, |fields\.\w+\()"(\w+)")re");
    int keys = 0;
    for (auto it = std::sregex_iterator(source.begin(), source.end(), key); it != std::sregex_iterator();
         ++it) {
        EXPECT_NE(page.find("`" + it->str(1) + "`"), std::string::npos) << it->str(1);
        ++keys;
    }
    EXPECT_GT(keys, 15);
}
