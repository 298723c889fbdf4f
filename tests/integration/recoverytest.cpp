#include "citronpitch/idempotencykey.h"
#include "support/deployment.h"
#include "support/submissions.h"

#include <gtest/gtest.h>

#include <csignal>
#include <filesystem>
#include <thread>

using namespace Citronpitch;
using Json = nlohmann::json;

namespace {

DeploymentPlan smallPlan(const std::string &name)
{
    DeploymentPlan plan;
    plan.programs = CITRONPITCH_PROGRAMS;
    plan.folder = std::string(CITRONPITCH_PROGRAMS) + "/integration/recovery-" + name;
    plan.vms = {{"a1", "a"}, {"a2", "a"}, {"b1", "b"}};
    plan.upstreams = {{"ua", "a"}, {"ub", "b"}};
    plan.vmSettings = R"({"initialConfiguration": {"classes": [{"name": "casework"}]}})";
    return plan;
}

/// A key that is at home with @p vm.
std::string keyOf(const std::string &vm, std::uint64_t number)
{
    const auto now = std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now());
    return issueIdempotencyKey(vm, now, number, number);
}

void killVm(Deployment &deployment, const std::string &name)
{
    deployment.vm(name).signal(SIGKILL);
    deployment.vm(name).wait();
}

/// Submits @p job at @p vm again until its home can be reached.
Json answerOf(const Deployment &deployment, const std::string &vm, const TestJob &job)
{
    Json body;
    eventually([&] {
        body = bodyOf(call(deployment.callers(vm), submissionOf(job)));
        return body.contains("outcome") && body.value("reason", "") != "home-unreachable";
    });
    return body;
}

/// Checks that what @p answer says of each task of @p job is what the upstreams recorded.
void expectTruth(const StartRecords &records, const TestJob &job, const Json &answer)
{
    const auto outcome = answer.value("outcome", "none");
    EXPECT_TRUE(outcome == "complete" || outcome == "failed" || outcome == "unknown") << answer;
    const auto tasks = answer.value("tasks", Json::array());
    for (std::size_t i = 0; i < tasks.size(); ++i) {
        const bool hasStarted = records.starts.contains(job.key + "/" + std::to_string(i));
        EXPECT_TRUE(hasStarted || tasks[i].at("state") != "ran") << answer;
        EXPECT_TRUE(!hasStarted || tasks[i].at("state") != "notRun") << answer;
    }
}

} // namespace

TEST(RecoveryTest, aHomeKilledUnderLoadStartsNothingTwice)
{
    Deployment deployment(smallPlan("load"));
    deployment.start();
    ASSERT_TRUE(deployment.waitUntilReady(std::chrono::seconds(20)));
    std::vector<TestJob> jobs;
    for (std::uint64_t i = 0; i < 40; ++i) {
        const auto key = i % 2 == 0 ? keyOf("a1", i) : "order-" + std::to_string(i);
        jobs.push_back({key, 3, 100, false, std::chrono::seconds(20), false});
        call(deployment.callers(i % 3 == 0 ? "b1" : "a1"), submissionOf(jobs.back()));
    }
    killVm(deployment, "a1");
    deployment.startVm("a1");
    ASSERT_TRUE(deployment.waitUntilReady(std::chrono::seconds(20)));
    std::vector<Json> answers;
    for (auto &it : jobs) {
        it.wait = true;
        answers.push_back(answerOf(deployment, "b1", it));
    }
    EXPECT_TRUE(deployment.stop());
    const auto records = deployment.records();
    EXPECT_EQ(records.doubled, 0U);
    EXPECT_GT(records.started, 0U);
    for (std::size_t i = 0; i < jobs.size(); ++i)
        expectTruth(records, jobs[i], answers[i]);
}

TEST(RecoveryTest, anAnswerOutlivesTheProcessThatMadeIt)
{
    Deployment deployment(smallPlan("answer"));
    deployment.start();
    ASSERT_TRUE(deployment.waitUntilReady(std::chrono::seconds(20)));
    const TestJob job{keyOf("a1", 1), 2, 20, false, std::chrono::seconds(20), true};
    const auto first = answerOf(deployment, "a2", job);
    killVm(deployment, "a1");
    deployment.startVm("a1");
    ASSERT_TRUE(deployment.waitUntilReady(std::chrono::seconds(20)));
    EXPECT_EQ(first.value("outcome", ""), "complete");
    EXPECT_EQ(answerOf(deployment, "a2", job), first);
    EXPECT_EQ(deployment.records().started, 2U);
}

TEST(RecoveryTest, aHomeWithoutItsFolderSaysThatTheOutcomeIsUnknown)
{
    Deployment deployment(smallPlan("folder"));
    deployment.start();
    ASSERT_TRUE(deployment.waitUntilReady(std::chrono::seconds(20)));
    const TestJob job{keyOf("a1", 1), 1, 20, false, std::chrono::seconds(20), true};
    EXPECT_EQ(answerOf(deployment, "a1", job).value("outcome", ""), "complete");
    killVm(deployment, "a1");
    std::filesystem::remove_all(deployment.dataFolder("a1"));
    deployment.startVm("a1");
    ASSERT_TRUE(deployment.waitUntilReady(std::chrono::seconds(20)));
    const auto again = answerOf(deployment, "a1", job);
    EXPECT_EQ(again.value("outcome", ""), "unknown");
    EXPECT_EQ(again.value("reason", ""), "memory-lost");
    EXPECT_EQ(deployment.records().doubled, 0U);
    const bool isServing = eventually([&] {
        const TestJob later{keyOf("a1", 2), 1, 20, false, std::chrono::seconds(20), true};
        return answerOf(deployment, "a1", later).value("outcome", "") == "complete";
    });
    EXPECT_TRUE(isServing);
}

// Shows that the checks above see a second start: the memory is taken away and declared to be a first life.
TEST(RecoveryTest, aHomeThatForgetsIsSeenToStartTwice)
{
    Deployment deployment(smallPlan("forgets"));
    deployment.start();
    ASSERT_TRUE(deployment.waitUntilReady(std::chrono::seconds(20)));
    const TestJob job{keyOf("a1", 1), 1, 20, false, std::chrono::seconds(20), true};
    answerOf(deployment, "a1", job);
    killVm(deployment, "a1");
    std::filesystem::remove_all(deployment.dataFolder("a1"));
    deployment.initializeVm("a1");
    deployment.startVm("a1");
    ASSERT_TRUE(deployment.waitUntilReady(std::chrono::seconds(20)));
    EXPECT_EQ(answerOf(deployment, "a1", job).value("outcome", ""), "complete");
    EXPECT_EQ(deployment.records().doubled, 1U);
}

TEST(RecoveryTest, aHomeStoppedForLongStartsNothingLate)
{
    Deployment deployment(smallPlan("stopped"));
    deployment.start();
    ASSERT_TRUE(deployment.waitUntilReady(std::chrono::seconds(20)));
    // More tasks than slots, so that some wait when the process is stopped.
    const TestJob job{keyOf("a1", 1), 60, 300, false, std::chrono::seconds(3), false};
    call(deployment.callers("a1"), submissionOf(job));
    EXPECT_TRUE(eventually([&] { return deployment.records().started > 0; }));
    deployment.vm("a1").signal(SIGSTOP);
    // Longer than the suspicion time, the upstreams' leases and the job's deadline.
    std::this_thread::sleep_for(std::chrono::seconds(4));
    const auto cutOff = bodyOf(call(deployment.callers("b1"), submissionOf(job)));
    EXPECT_EQ(cutOff.value("outcome", ""), "unknown");
    EXPECT_EQ(cutOff.value("reason", ""), "home-unreachable");
    const auto before = deployment.records();
    deployment.vm("a1").signal(SIGCONT);
    auto again = job;
    again.wait = true;
    const auto answer = answerOf(deployment, "b1", again);
    EXPECT_EQ(answer.value("outcome", ""), "failed");
    const auto after = deployment.records();
    EXPECT_EQ(after.started, before.started);
    EXPECT_EQ(after.doubled, 0U);
    expectTruth(after, job, answer);
}

// Guards against a shutdown that a further SIGTERM cuts short.
TEST(RecoveryTest, furtherSigtermsDoNotInterruptAShutdown)
{
    constexpr int rounds = 3;
    Deployment deployment(smallPlan("sigterm"));
    deployment.start();
    ASSERT_TRUE(deployment.waitUntilReady(std::chrono::seconds(20)));
    for (int i = 0; i < rounds; ++i) {
        auto &process = deployment.vm("a1");
        while (!process.hasEnded()) {
            process.signal(SIGTERM);
            std::this_thread::sleep_for(std::chrono::microseconds(50));
        }
        EXPECT_EQ(process.wait(), 0) << "round " << i;
        deployment.startVm("a1");
        ASSERT_TRUE(deployment.waitUntilReady(std::chrono::seconds(20)));
    }
}
