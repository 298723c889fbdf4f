#include "support/logpipe.h"
#include "support/platformfleet.h"

#include <gtest/gtest.h>

#include <csignal>
#include <filesystem>

using namespace Citronpitch;

namespace {

/// Runs three control VMs, one entry VM and two executors that all log to one pipe.
class StalledLogTest : public testing::Test
{
protected:
    StalledLogTest()
        : m_folder(std::filesystem::temp_directory_path()
                   / ("citronpitch-stalledlog-" + std::to_string(getpid())))
    {
    }

    ~StalledLogTest() override
    {
        std::filesystem::remove_all(m_folder);
    }

    void startFleet()
    {
        PlatformFleetPlan plan{std::string(CITRONPITCH_PROGRAMS) + "/citronpitch-platform",
                               m_folder,
                               {"a", "b", "a"},
                               {"a"},
                               {"a", "b"}};
        plan.logDescriptor = log.writeEnd();
        fleet.emplace(std::move(plan));
        fleet->startExecutors();
    }

    void expectServedAndStopped()
    {
        ASSERT_TRUE(waitFor([&] {
            const auto body = platformConfiguration(1).dump();
            return callOnce(fleet->control(0), {"POST", "/config/replace", {}, body}).status == 200;
        }));
        EXPECT_TRUE(waitFor([&] {
            return callOnce(fleet->control(1), {"GET", "/config/read"}).status == 200;
        }));
        EXPECT_TRUE(waitFor([&] {
            const auto request = platformSubmission("0123456789abcdef", platformJob(2));
            return callOnce(fleet->callers(entry), request).status == 200;
        }));
        for (std::size_t i = 0; i < fleet->vms(); ++i)
            fleet->process(i).signal(SIGTERM);
        for (std::size_t i = 0; i < fleet->vms(); ++i) {
            EXPECT_TRUE(waitFor([&] { return fleet->process(i).hasEnded(); })) << fleet->nameOf(i);
            EXPECT_EQ(fleet->process(i).hasEnded() ? fleet->process(i).wait() : -1, 0) << fleet->nameOf(i);
        }
    }

    static constexpr std::size_t entry = 3;
    LogPipe log;
    std::optional<PlatformFleet> fleet;

private:
    std::filesystem::path m_folder;
};

} // namespace

// VMs waited for the reader of their log with the next line, and neither served nor stopped.
TEST_F(StalledLogTest, fleetServesAndStopsWhileNobodyReadsItsLog)
{
    ASSERT_GT(log.fill(), 0U);
    startFleet();
    expectServedAndStopped();
}

// A VM was ended by SIGPIPE with the first line after the reader of its log had gone.
TEST_F(StalledLogTest, fleetServesAndStopsAfterTheReaderOfItsLogHasGone)
{
    log.closeReadEnd();
    startFleet();
    expectServedAndStopped();
}

// Lines that wait for the reader must not be lost when it reads again.
TEST_F(StalledLogTest, linesOfTheStallComeWhenTheReaderReadsAgain)
{
    ASSERT_GT(log.fill(), 0U);
    startFleet();
    ASSERT_TRUE(waitFor([&] {
        const auto body = platformConfiguration(1).dump();
        return callOnce(fleet->control(0), {"POST", "/config/replace", {}, body}).status == 200;
    }));
    for (std::size_t i = 0; i < fleet->vms(); ++i)
        EXPECT_TRUE(waitFor([&] {
            return log.read().find("E100 started vm=" + fleet->nameOf(i) + " ") != std::string::npos;
        })) << log.read();
    fleet->process(entry).signal(SIGTERM);
    EXPECT_TRUE(waitFor([&] { return log.read().find("E101 stopped vm=entry0") != std::string::npos; }));
}
