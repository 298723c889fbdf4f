#include "support/platformfleet.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <filesystem>
#include <iostream>
#include <optional>
#include <ostream>
#include <random>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace Citronpitch;
using Json = nlohmann::json;

namespace {

/// A power loss of all control VMs.
struct PowerLossPlay
{
    const char *name;
    /// By lot for each VM if empty.
    std::optional<PowerLoss> loss;
    std::size_t lostDisks = 0;
    std::uint64_t seed = 1;
};

std::ostream &operator<<(std::ostream &out, const PowerLossPlay &play)
{
    return out << play.name;
}

const std::vector<std::string> domains{"a", "b", "c", "d", "e"};
constexpr std::size_t toleratedLosses = 2;
constexpr std::size_t operators = 3;
/// Long enough for several writes to wait for each sync.
constexpr std::chrono::milliseconds syncDelay{60};
constexpr std::chrono::milliseconds sendingTime{1000};
constexpr std::uint64_t maximumExtraSendingMs = 200;
constexpr std::chrono::seconds longestRecovery{20};
/// Makes documents of some 20 KB.
constexpr std::size_t routes = 100;
constexpr int statusOk = 200;

std::string documentOf(std::uint64_t version)
{
    auto document = platformConfiguration(version);
    const auto route = document["Routes"][0];
    for (std::size_t i = 1; i < routes; ++i) {
        document["Routes"].push_back(route);
        document["Routes"].back()["Name"] = "route" + std::to_string(i);
        document["Routes"].back()["Host"] = "host" + std::to_string(i) + ".example";
    }
    return document.dump();
}

std::uint64_t versionOf(const std::string &body)
{
    const auto json = Json::parse(body, nullptr, false);
    return json.is_object() ? json.value("Version", std::uint64_t{0}) : 0;
}

/// Five control VMs on disks that can lose power, and operators that replace the configuration without pause.
class PowerLossTest : public testing::TestWithParam<PowerLossPlay>
{
protected:
    PowerLossTest()
        : m_random(GetParam().seed)
        , m_folder(std::filesystem::canonical(std::filesystem::temp_directory_path())
                   / ("citronpitch-powerloss-" + std::to_string(getpid())))
        , m_fleet({std::string(CITRONPITCH_PROGRAMS) + "/citronpitch-platform",
                   m_folder,
                   domains,
                   {},
                   {},
                   false,
                   {{"failureDomains", domains}, {"toleratedLosses", toleratedLosses}},
                   {},
                   std::string(CITRONPITCH_PROGRAMS) + "/citronpitch-diskrecorder.so",
                   syncDelay})
    {
    }

    ~PowerLossTest() override
    {
        for (std::size_t i = 0; i < m_fleet.vms(); ++i) {
            if (HasFailure())
                std::cout << m_fleet.nameOf(i) << "\n" << m_fleet.logOf(i);
            m_fleet.process(i).signal(SIGKILL);
            m_fleet.process(i).wait();
        }
        std::filesystem::remove_all(m_folder);
    }

    bool replace(std::size_t control, std::uint64_t version)
    {
        const ClientRequest request{"POST", "/config/replace", {}, documentOf(version)};
        return callOnce(m_fleet.control(control), request).status == statusOk;
    }

    /// Until then the loss of two disks is not tolerated.
    bool hasAllVoters(std::size_t control)
    {
        const auto page = callOnce(m_fleet.metrics(control), {"GET", "/metrics"}).body;
        return page.find("\ncitronpitch_configuration_voters " + std::to_string(domains.size()) + "\n")
            != std::string::npos;
    }

    /// Sends versions until all VMs have been killed at once, and returns the newest acknowledged one.
    std::uint64_t sendUntilKilled()
    {
        std::atomic<bool> isOver = false;
        std::atomic<std::uint64_t> sent = 1;
        std::vector<std::uint64_t> newest(operators);
        std::vector<std::thread> threads;
        for (std::size_t i = 0; i < operators; ++i) {
            threads.emplace_back([&, i] {
                while (!isOver) {
                    const auto version = ++sent;
                    if (replace(i, version))
                        newest[i] = version;
                }
            });
        }
        std::this_thread::sleep_for(sendingTime
                                    + std::chrono::milliseconds(m_random() % maximumExtraSendingMs));
        for (std::size_t i = 0; i < m_fleet.vms(); ++i)
            m_fleet.process(i).signal(SIGKILL);
        isOver = true;
        for (std::size_t i = 0; i < m_fleet.vms(); ++i)
            m_fleet.process(i).wait();
        for (auto &it : threads)
            it.join();
        return *std::max_element(newest.begin(), newest.end());
    }

    void losePower()
    {
        std::vector<std::size_t> vms;
        for (std::size_t i = 0; i < m_fleet.vms(); ++i)
            vms.push_back(i);
        std::shuffle(vms.begin(), vms.end(), m_random);
        std::size_t unsynced = 0;
        for (std::size_t i = 0; i < vms.size(); ++i) {
            const auto drawn = powerLossNames[m_random() % powerLossNames.size()].value;
            if (i < GetParam().lostDisks)
                m_fleet.loseDisk(vms[i]);
            else
                unsynced += m_fleet.losePower(vms[i], GetParam().loss.value_or(drawn), m_random());
        }
        EXPECT_GT(unsynced, 0U);
    }

    /// Whether all control VMs run and show @p version or a newer one.
    bool haveAll(std::uint64_t version)
    {
        for (std::size_t i = 0; i < m_fleet.vms(); ++i) {
            if (m_fleet.process(i).hasEnded())
                return false;
            const auto response = callOnce(m_fleet.control(i), {"GET", "/config/read"});
            if (response.status != statusOk || versionOf(response.body) < version)
                return false;
        }
        return true;
    }

    std::mt19937_64 m_random;
    std::filesystem::path m_folder;
    PlatformFleet m_fleet;
};

} // namespace

// Guards against VMs that don't start, or a configuration that is lost, after all VMs lost power at once.
TEST_P(PowerLossTest, acknowledgedConfigurationIsReadAfterAPowerLossOfAllVms)
{
    ASSERT_TRUE(waitFor([&] { return replace(0, 1); }));
    for (std::size_t i = 0; i < m_fleet.vms(); ++i)
        ASSERT_TRUE(waitFor([&] { return hasAllVoters(i); }));
    const auto acknowledged = sendUntilKilled();
    EXPECT_GT(acknowledged, 1U);
    losePower();
    for (std::size_t i = 0; i < m_fleet.vms(); ++i)
        m_fleet.start(i, false);
    const auto deadline = std::chrono::steady_clock::now() + longestRecovery;
    bool isRecovered = false;
    while (!isRecovered && std::chrono::steady_clock::now() < deadline) {
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        isRecovered = haveAll(acknowledged);
    }
    EXPECT_TRUE(isRecovered) << "version " << acknowledged;
}

INSTANTIATE_TEST_SUITE_P(
    Plays, PowerLossTest,
    testing::Values(PowerLossPlay{"keepsNothing", PowerLoss::KeepsNothing, 2, 1},
                    PowerLossPlay{"keepsAll", PowerLoss::KeepsAll, 2, 2},
                    PowerLossPlay{"losesFirst", PowerLoss::LosesFirst, 2, 3},
                    PowerLossPlay{"tearsEndOfFirst", PowerLoss::TearsEndOfFirst, 2, 4},
                    PowerLossPlay{"tearsStartOfFirst", PowerLoss::TearsStartOfFirst, 2, 5},
                    PowerLossPlay{"randomly", PowerLoss::Random, 2, 6}, PowerLossPlay{"byLot", {}, 2, 7},
                    PowerLossPlay{"byLotWithoutLostDisks", {}, 0, 8}));

// Guards against a VM that answers nothing while its disk hangs.
TEST(SlowDiskTest, vmServesWhileItsJournalIsOpened)
{
    constexpr std::chrono::seconds delay{3};
    const auto folder = std::filesystem::canonical(std::filesystem::temp_directory_path())
        / ("citronpitch-slowdisk-" + std::to_string(getpid()));
    PlatformFleetPlan plan{std::string(CITRONPITCH_PROGRAMS) + "/citronpitch-platform", folder, {"a"}};
    plan.diskRecorder = std::string(CITRONPITCH_PROGRAMS) + "/citronpitch-diskrecorder.so";
    plan.syncDelay = delay;
    PlatformFleet fleet(plan);
    const auto deadline = std::chrono::steady_clock::now() + delay;
    fleet.start(0, true);
    const auto isServing = [&] { return callOnce(fleet.metrics(0), {"GET", "/metrics"}).status == statusOk; };
    EXPECT_TRUE(waitFor(isServing));
    EXPECT_LT(std::chrono::steady_clock::now(), deadline);
    EXPECT_TRUE(isServing());
    fleet.process(0).signal(SIGKILL);
    fleet.process(0).wait();
    std::filesystem::remove_all(folder);
}
