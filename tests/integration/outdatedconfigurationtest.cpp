#include "support/platformfleet.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <csignal>
#include <filesystem>
#include <string>
#include <thread>
#include <vector>

using namespace Citronpitch;
using Json = nlohmann::json;

namespace {

/// Time after its acknowledgement within which a change is in force on every VM in contact.
constexpr auto applicationTime = std::chrono::milliseconds(2500);

/// Runs three control VMs and one entry VM, whose links can be cut.
class OutdatedConfigurationTest : public testing::Test
{
protected:
    OutdatedConfigurationTest()
        : folder(std::filesystem::temp_directory_path()
                 / ("citronpitch-outdated-" + std::to_string(getpid())))
        , fleet({std::string(CITRONPITCH_PROGRAMS) + "/citronpitch-platform",
                 folder,
                 {"a", "b", "a"},
                 {"a"},
                 {"a"},
                 true})
    {
        fleet.startExecutors();
    }

    ~OutdatedConfigurationTest() override
    {
        std::filesystem::remove_all(folder);
    }

    /// Replaces the configuration by one with a route to each of @p paths, @p padding unused routes, and
    /// @p services besides the usual one.
    bool replace(std::uint64_t version, const std::vector<std::string> &paths, std::size_t padding = 0,
                 const std::vector<std::string> &services = {})
    {
        auto configuration = platformConfiguration(version);
        for (const auto &it : services) {
            configuration["Services"].push_back(configuration["Services"][0]);
            configuration["Services"].back()["Name"] = it;
        }
        auto &routes = configuration["Routes"];
        const auto addRoute = [&](const std::string &path) {
            auto route = routes[0];
            route["Name"] = "route" + std::to_string(routes.size());
            route["PathPrefix"] = path;
            routes.push_back(route);
        };
        for (const auto &it : paths)
            addRoute(it);
        for (std::size_t i = 0; i < padding; ++i)
            addRoute("/unused" + std::to_string(i) + "/");
        const auto body = configuration.dump();
        return waitFor([&] {
            return callOnce(fleet.control(0), {"POST", "/config/replace", {}, body}).status == 200;
        });
    }

    /// Response of the entry VM to a question for the jobs that wait in the queue at @p path.
    HttpResponse ask(const std::string &path)
    {
        return callOnce(fleet.callers(entry), {"GET", path, {{"Host", "host.example"}}, {}});
    }

    bool isServed(const std::string &path)
    {
        return waitFor([&] { return ask(path).status == 200; });
    }

    /// Cuts or restores the links on which the others send to @p vm.
    void setCutOff(std::size_t vm, bool isCutOff)
    {
        auto &faults = fleet.linkProxy(vm).faults();
        faults.swallowToServer = isCutOff;
        faults.swallowToClient = isCutOff;
        if (!isCutOff)
            fleet.linkProxy(vm).closeAll();
    }

    /// Status of an announcement to control VM @p control by which an executor is of service @p service.
    int announce(std::size_t control, const std::string &service)
    {
        const Json body{{"Service", service}, {"Address", "127.0.0.1:9"},
                        {"Zone", "a"},        {"State", "ready"},
                        {"Seq", ++sequence},  {"born", 1'800'000'000'000},
                        {"ClockMs", 1},       {"Capacity", {{"Cpu", 1}, {"MemMb", 1}}}};
        return callOnce(fleet.control(control), {"POST", "/instances/moving/heartbeat", {}, body.dump()})
            .status;
    }

    static constexpr std::size_t entry = 3;
    std::filesystem::path folder;
    PlatformFleet fleet;
    unsigned sequence = 0;
};

} // namespace

// Guards against an entry VM that answers by each earlier version while it catches up after its start.
TEST_F(OutdatedConfigurationTest, restartedEntryVmDeniesNoRouteThatWasAddedBeforeItsStart)
{
    constexpr std::uint64_t versions = 30;
    constexpr std::size_t padding = 800;
    constexpr std::chrono::microseconds linkDelay = std::chrono::milliseconds(50);
    for (std::uint64_t version = 1; version < versions; ++version)
        ASSERT_TRUE(replace(version, {}, padding));
    ASSERT_TRUE(replace(versions, {"/added/"}, padding));
    ASSERT_TRUE(isServed("/added/"));
    fleet.linkProxy(entry).faults().delayMicroseconds = linkDelay.count();
    fleet.process(entry).signal(SIGKILL);
    fleet.process(entry).wait();
    fleet.start(entry, false);
    int denials = 0;
    ASSERT_TRUE(waitFor([&] {
        const auto status = ask("/added/").status;
        denials += status == 404 ? 1 : 0;
        return status == 200;
    }));
    EXPECT_EQ(denials, 0);
}

// Guards against a route that is denied by a VM that may have missed the change that added it.
TEST_F(OutdatedConfigurationTest, entryVmThatIsCutOffDeniesNoRoute)
{
    ASSERT_TRUE(replace(1, {}));
    ASSERT_TRUE(isServed("/jobs/"));
    ASSERT_TRUE(waitFor([&] { return ask("/added/").status == 404; }));
    setCutOff(entry, true);
    ASSERT_TRUE(replace(2, {"/added/"}));
    std::this_thread::sleep_for(applicationTime);
    const auto response = ask("/added/");
    EXPECT_EQ(response.status, 503) << response.body;
    EXPECT_THAT(response.headers, testing::Contains(testing::Field(&HttpHeader::name, "Retry-After")));
    EXPECT_EQ(ask("/jobs/").status, 200) << "the routes that it knows are still served";
    setCutOff(entry, false);
    EXPECT_TRUE(isServed("/added/"));
    EXPECT_TRUE(waitFor([&] { return ask("/absent/").status == 404; }));
}

// Guards against the rejection of an upstream whose pool was declared by a change that the VM has missed.
TEST_F(OutdatedConfigurationTest, controlVmThatIsCutOffRejectsNoUpstreamOfANewPool)
{
    constexpr std::size_t cutOff = 2;
    ASSERT_TRUE(replace(1, {}));
    ASSERT_TRUE(waitFor([&] {
        return callOnce(fleet.control(cutOff), {"GET", "/config/read", {}, {}}).status == 200;
    }));
    ASSERT_TRUE(waitFor([&] { return announce(cutOff, "pool") == 200; }));
    ASSERT_TRUE(waitFor([&] { return announce(cutOff, "added") == 400; }));
    setCutOff(cutOff, true);
    ASSERT_TRUE(replace(2, {}, 0, {"added"}));
    std::this_thread::sleep_for(applicationTime);
    EXPECT_EQ(announce(cutOff, "added"), 503);
    setCutOff(cutOff, false);
    EXPECT_TRUE(waitFor([&] { return announce(cutOff, "added") == 200; }));
}
