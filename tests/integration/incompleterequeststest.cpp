#include "support/deployment.h"
#include "support/endlesssenders.h"
#include "support/platformfleet.h"
#include "support/procstatus.h"
#include "support/submissions.h"

#include <gtest/gtest.h>

#include <csignal>
#include <filesystem>

using namespace Citronpitch;
using Json = nlohmann::json;

namespace {

/// Clients of one crowd, and what a VM may use: the memory and the descriptors of its machine.
constexpr std::size_t crowd = 8;
constexpr std::size_t entryBytes = std::size_t{260} << 20;
constexpr std::size_t controlBytes = std::size_t{256} << 20;
/// Memory of the smallest entry VMs in the grown deployments.
constexpr std::size_t smallestEntryBytes = std::size_t{120} << 20;
constexpr std::size_t maximumDescriptors = 4096;

/// Three control VMs, an entry VM and an executor, which clients outside of the limits send requests to.
class IncompleteRequestsTest : public testing::Test
{
protected:
    explicit IncompleteRequestsTest(const std::vector<std::string> &domains = {"a"})
        : folder(std::filesystem::temp_directory_path()
                 / ("citronpitch-incomplete-" + std::to_string(getpid())))
        , fleet({std::string(CITRONPITCH_PROGRAMS) + "/citronpitch-platform",
                 folder,
                 domains.size() == 3 ? domains : std::vector<std::string>{"a", "a", "a"},
                 {"a"},
                 domains,
                 false,
                 Json::object()})
    {
        fleet.startExecutors();
    }

    ~IncompleteRequestsTest() override
    {
        std::filesystem::remove_all(folder);
    }

    bool isOrdinaryJobServed()
    {
        return waitFor([&] {
            return callOnce(fleet.callers(entry), platformSubmission("0123456789abcdef", platformJob(2)))
                       .status
                == 200;
        });
    }

    bool isConfigurationRead()
    {
        return waitFor([&] {
            return callOnce(fleet.control(control), {"GET", "/config/read"}).status == 200;
        });
    }

    void configure()
    {
        const auto body = platformConfiguration(1).dump();
        ASSERT_TRUE(waitFor([&] {
            return callOnce(fleet.control(control), {"POST", "/config/replace", {}, body}).status == 200;
        }));
        ASSERT_TRUE(waitFor([&] {
            return callOnce(fleet.readiness(entry), {"GET", "/ready"}).status == 200;
        }));
    }

    void becomeReady()
    {
        configure();
        ASSERT_TRUE(isOrdinaryJobServed());
    }

    /// Sends each kind of endless request to @p endpoint of @p vm.
    void checkListener(std::size_t vm, const Endpoint &endpoint)
    {
        becomeReady();
        auto &process = fleet.process(vm);
        for (const auto &it : endlessRequests()) {
            SCOPED_TRACE(it.name);
            sendEndlessly(endpoint, it, crowd);
            ASSERT_FALSE(process.hasEnded());
            EXPECT_LT(peakResidentBytes(process.id()), fleet.isControl(vm) ? controlBytes : entryBytes);
            EXPECT_LT(openDescriptors(process.id()), maximumDescriptors);
            EXPECT_TRUE(isOrdinaryJobServed());
            EXPECT_TRUE(isConfigurationRead());
        }
    }

    static constexpr std::size_t control = 0;
    static constexpr std::size_t entry = 3;
    std::filesystem::path folder;
    PlatformFleet fleet;
};

/// Three failure domains, so that jobs wait in three groups.
class IncompleteJobRequestsTest : public IncompleteRequestsTest
{
protected:
    IncompleteJobRequestsTest()
        : IncompleteRequestsTest({"a", "b", "c"})
    {
    }
};

/// A daemon with a caller port and a control port.
class IncompleteDaemonRequestsTest : public testing::Test
{
protected:
    IncompleteDaemonRequestsTest()
    {
        DeploymentPlan plan;
        plan.programs = CITRONPITCH_PROGRAMS;
        plan.folder = std::string(CITRONPITCH_PROGRAMS) + "/integration/incomplete-"
            + testing::UnitTest::GetInstance()->current_test_info()->name();
        plan.vms = {{"a1", "a"}};
        plan.upstreams = {{"ua", "a"}};
        plan.vmSettings = R"({"initialConfiguration": {"classes": [{"name": "casework"}]}})";
        deployment = std::make_unique<Deployment>(plan);
    }

    void checkListener(const Endpoint &endpoint)
    {
        ClientRequest job{"POST", "/v1/jobs", {{"Idempotency-Key", "key"}}, {}};
        job.body = R"({"team": "t", "class": "casework", "tasks": [{"payload": {"id": "x", "ms": 1}}]})";
        auto &process = deployment->vm("a1");
        for (const auto &it : endlessRequests()) {
            SCOPED_TRACE(it.name);
            sendEndlessly(endpoint, it, crowd);
            ASSERT_FALSE(process.hasEnded());
            EXPECT_LT(peakResidentBytes(process.id()), entryBytes);
            EXPECT_LT(openDescriptors(process.id()), maximumDescriptors);
            EXPECT_TRUE(waitFor([&] { return call(deployment->callers("a1"), job).response.status == 200; }));
        }
    }

    std::unique_ptr<Deployment> deployment;
};

} // namespace

// Clients that sent trailers without end behind a chunked body ended a process for want of memory. The other
// parts of a request, and the other listeners, must not have the same fault.
TEST_F(IncompleteRequestsTest, callersPortStaysWithinTheMachine)
{
    checkListener(entry, fleet.callers(entry));
}

// The limits of one connection, times the connections that are allowed, exceeded the memory of the machine:
// here by fields without a text, which take many times their bytes.
TEST_F(IncompleteRequestsTest, manyLargeHeadersStayWithinTheMachine)
{
    constexpr std::size_t connections = 1000;
    becomeReady();
    EndlessInput input{"fields", "POST /p/0123456789abcdef HTTP/1.1\r\nContent-Length: 100\r\n", ""};
    for (int i = 0; i < 4000; ++i)
        input.beginning += "a:\r\n";
    input.beginning += "\r\n";
    input.maximumTime = std::chrono::seconds(2);
    sendEndlessly(fleet.callers(entry), input, connections);
    auto &process = fleet.process(entry);
    ASSERT_FALSE(process.hasEnded());
    EXPECT_LT(peakResidentBytes(process.id()), entryBytes);
    EXPECT_LT(openDescriptors(process.id()), maximumDescriptors);
    EXPECT_TRUE(isOrdinaryJobServed());
}

// A request of 4 KB took 2.5 MB on the entry VM and on the control VM until it was answered, as each task had
// a copy of the payload.
TEST_F(IncompleteJobRequestsTest, manyLargeJobsStayWithinTheMachine)
{
    constexpr std::size_t connections = 1000;
    // While no run time is known, jobs wait for as long as their callers do.
    configure();
    auto job = platformJob(640);
    job["Spec"] = std::string(4000, 's');
    const auto body = job.dump();
    EndlessInput input{
        "jobs",
        "POST /jobs/{id} HTTP/1.1\r\nHost: host.example\r\nX-Deadline-Ms: 3000\r\nContent-Length: "
            + std::to_string(body.size()) + "\r\n\r\n" + body,
        ""};
    input.maximumTime = std::chrono::seconds(2);
    sendEndlessly(fleet.callers(entry), input, connections);
    for (std::size_t vm = 0; vm < fleet.vms(); ++vm) {
        auto &process = fleet.process(vm);
        ASSERT_FALSE(process.hasEnded());
        EXPECT_LT(peakResidentBytes(process.id()), fleet.isControl(vm) ? controlBytes : smallestEntryBytes)
            << vm;
    }
    EXPECT_TRUE(isOrdinaryJobServed());
}

TEST_F(IncompleteRequestsTest, readinessPortStaysWithinTheMachine)
{
    checkListener(entry, fleet.readiness(entry));
}

TEST_F(IncompleteRequestsTest, metricsPortStaysWithinTheMachine)
{
    checkListener(entry, fleet.metrics(entry));
}

TEST_F(IncompleteRequestsTest, controlPortStaysWithinTheMachine)
{
    checkListener(control, fleet.control(control));
}

TEST_F(IncompleteDaemonRequestsTest, callersPortStaysWithinTheMachine)
{
    deployment->start();
    ASSERT_TRUE(deployment->waitUntilReady(std::chrono::seconds(20)));
    checkListener(deployment->callers("a1"));
}

TEST_F(IncompleteDaemonRequestsTest, controlPortStaysWithinTheMachine)
{
    deployment->start();
    ASSERT_TRUE(deployment->waitUntilReady(std::chrono::seconds(20)));
    checkListener(deployment->control("a1"));
}
