#include "support/deployment.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

using namespace Citronpitch;
using Json = nlohmann::json;

namespace {

const std::string programs = CITRONPITCH_PROGRAMS;

std::string fileText(const std::string &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

DeploymentPlan singleVmPlan(const std::string &name)
{
    DeploymentPlan plan;
    plan.programs = programs;
    plan.folder = programs + "/integration/" + name;
    plan.vms = {{"a1", "a"}};
    plan.vmSettings = R"({"initialConfiguration": {"classes": [{"name": "casework"}]}})";
    return plan;
}

/// Waits up to 10 s until @p logFile contains @p text.
bool waitForLog(const std::string &logFile, const std::string &text)
{
    for (int i = 0; i < 500; ++i) {
        if (fileText(logFile).find(text) != std::string::npos)
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return false;
}

int submissionStatus(const Endpoint &callers, std::size_t bodyBytes)
{
    ClientRequest request;
    request.method = "POST";
    request.target = "/v1/jobs";
    request.body = std::string(bodyBytes, ' ');
    request.timeout = std::chrono::seconds(10);
    return call(callers, request).response.status;
}

} // namespace

// With invalid settings the daemon must report all errors and exit before it creates its data folder.
TEST(DaemonSettingsTest, invalidSettingsExitWithCode2)
{
    const auto folder = programs + "/integration/badsettings";
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
    const auto path = folder + "/a1.json";
    std::ofstream(path) << R"({"name": "a1", "dataFolder": ")" << folder
                        << R"(/data", "failureDomian": "a"})";
    ChildProcess daemon(programs + "/citronpitchd", {"--settings", path}, folder + "/log");
    EXPECT_EQ(daemon.wait(), 2);
    const auto log = fileText(folder + "/log");
    EXPECT_NE(log.find("line 1: failureDomian: found an unknown key"), std::string::npos) << log;
    EXPECT_NE(log.find("callers: found nothing"), std::string::npos) << log;
    EXPECT_FALSE(std::filesystem::exists(folder + "/data"));
}

// SIGHUP must apply the keys that can change at run time and name those that need a restart. A file with
// errors must leave the active settings unchanged.
TEST(DaemonSettingsTest, sighupReloadsSettings)
{
    const auto plan = singleVmPlan("reload");
    Deployment deployment(plan);
    deployment.start();
    ASSERT_TRUE(deployment.waitUntilReady(std::chrono::seconds(20)));
    constexpr std::size_t bodyBytes = 4000;
    EXPECT_EQ(submissionStatus(deployment.callers("a1"), bodyBytes), 400);

    const auto path = plan.folder + "/a1.json";
    auto settings = Json::parse(fileText(path));
    settings["limits"]["maximumBodyBytes"] = 2000;
    settings["heartbeatMs"] = 300;
    std::ofstream(path) << settings.dump();
    deployment.vm("a1").signal(SIGHUP);
    EXPECT_TRUE(
        waitForLog(plan.folder + "/a1.log", "E106 setting change requires a restart key=heartbeatMs"));
    EXPECT_TRUE(waitForLog(plan.folder + "/a1.log", "E105 setting changed key=limits.maximumBodyBytes"));
    EXPECT_EQ(submissionStatus(deployment.callers("a1"), bodyBytes), 413);

    settings["limits"]["maximumBodyBytes"] = 1;
    std::ofstream(path) << settings.dump();
    deployment.vm("a1").signal(SIGHUP);
    EXPECT_TRUE(waitForLog(plan.folder + "/a1.log", "E107 settings file rejected"));
    EXPECT_EQ(submissionStatus(deployment.callers("a1"), bodyBytes), 413);
    EXPECT_TRUE(deployment.stop());
}
