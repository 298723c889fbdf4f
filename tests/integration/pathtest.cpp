#include "support/deployment.h"
#include "support/submissions.h"

#include <gtest/gtest.h>

#include <thread>

using namespace Citronpitch;
using Json = nlohmann::json;

namespace {

DeploymentPlan smallPlan(const std::string &name)
{
    DeploymentPlan plan;
    plan.programs = CITRONPITCH_PROGRAMS;
    plan.folder = std::string(CITRONPITCH_PROGRAMS) + "/integration/" + name;
    plan.vms = {{"a1", "a"}, {"a2", "a"}, {"b1", "b"}};
    plan.upstreams = {{"ua", "a"}, {"ub", "b"}};
    plan.vmSettings = R"({"initialConfiguration": {"classes": [{"name": "casework"}]}})";
    return plan;
}

ClientRequest submission(const std::string &key, int tasks, int milliseconds)
{
    return submissionOf({key, tasks, milliseconds});
}

} // namespace

TEST(PathTest, resubmissionAnywhereStartsNothingAgain)
{
    Deployment deployment(smallPlan("resubmission"));
    deployment.start();
    ASSERT_TRUE(deployment.waitUntilReady(std::chrono::seconds(20)));
    for (const auto *vm : {"a1", "a2", "b1", "a1"}) {
        const auto response = call(deployment.callers(vm), submission("order-1", 3, 20));
        ASSERT_EQ(response.outcome, ExchangeOutcome::Answered);
        EXPECT_EQ(bodyOf(response).at("outcome"), "complete");
        EXPECT_EQ(bodyOf(response).at("tasks").size(), 3U);
    }
    EXPECT_TRUE(deployment.stop());
    EXPECT_EQ(deployment.records().started, 3U);
    EXPECT_EQ(deployment.records().doubled, 0U);
}

TEST(PathTest, resubmissionWhileTheFirstRunsJoinsIt)
{
    Deployment deployment(smallPlan("joining"));
    deployment.start();
    ASSERT_TRUE(deployment.waitUntilReady(std::chrono::seconds(20)));
    Json first;
    std::thread caller(
        [&] { first = bodyOf(call(deployment.callers("a1"), submission("order-2", 2, 600))); });
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    const auto second = bodyOf(call(deployment.callers("b1"), submission("order-2", 2, 600)));
    caller.join();
    EXPECT_EQ(first.at("outcome"), "complete");
    EXPECT_EQ(first, second);
    EXPECT_EQ(deployment.records().started, 2U);
}

TEST(PathTest, sameKeyWithAnotherBodyIsAConflict)
{
    Deployment deployment(smallPlan("conflict"));
    deployment.start();
    ASSERT_TRUE(deployment.waitUntilReady(std::chrono::seconds(20)));
    call(deployment.callers("a1"), submission("order-3", 1, 10));
    const auto other = call(deployment.callers("b1"), submission("order-3", 2, 10));
    EXPECT_EQ(other.response.status, 409);
    EXPECT_EQ(bodyOf(other).at("reason"), "key-conflict");
    EXPECT_EQ(deployment.records().started, 1U);
}

TEST(PathTest, shutdownUnderLoadAnswersWhatIsInFlight)
{
    Deployment deployment(smallPlan("shutdown"));
    deployment.start();
    ASSERT_TRUE(deployment.waitUntilReady(std::chrono::seconds(20)));
    Json answer;
    std::thread caller(
        [&] { answer = bodyOf(call(deployment.callers("a1"), submission("order-4", 4, 700))); });
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    EXPECT_TRUE(deployment.stop());
    caller.join();
    EXPECT_EQ(answer.at("outcome"), "complete");
}
