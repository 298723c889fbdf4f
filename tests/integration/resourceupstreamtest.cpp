#include "support/deployment.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace Citronpitch;
using Json = nlohmann::json;

namespace {

DeploymentPlan planOfOneVm()
{
    DeploymentPlan plan;
    plan.programs = CITRONPITCH_PROGRAMS;
    plan.folder = std::string(CITRONPITCH_PROGRAMS) + "/integration/resourceupstream";
    plan.vms = {{"a1", "a"}};
    plan.vmSettings = R"({"initialConfiguration": {"classes": [{"name": "casework"}]}})";
    return plan;
}

ClientRequest announcement(const Json &body)
{
    ClientRequest request;
    request.method = "PUT";
    request.target = "/v1/upstreams/worker";
    request.body = body.dump();
    return request;
}

ClientRequest jobThatNeeds(const Json &need)
{
    ClientRequest request;
    request.method = "POST";
    request.target = "/v1/jobs";
    request.body =
        Json{{"team", "t"}, {"class", "casework"}, {"tasks", {{{"payload", "p"}, {"need", need}}}}}.dump();
    return request;
}

} // namespace

TEST(ResourceUpstreamTest, aWorkerIsCountedInItsResources)
{
    Deployment deployment(planOfOneVm());
    deployment.start();
    ASSERT_TRUE(deployment.waitUntilReady(std::chrono::seconds(20)));
    const Json worker{{"address", "127.0.0.1"},
                      {"port", 1},
                      {"slots", 0},
                      {"incarnation", 1},
                      {"capacity", {{"millicores", 32000}, {"memoryBytes", 1 << 30}}}};
    EXPECT_EQ(call(deployment.control("a1"), announcement(worker)).response.status, 200);
    const auto tooLarge = call(deployment.callers("a1"), jobThatNeeds({{"millicores", 33000}}));
    EXPECT_EQ(tooLarge.response.status, 422);
    EXPECT_EQ(Json::parse(tooLarge.response.body).at("reason"), "never-fits");
    const auto noAccelerator = call(deployment.callers("a1"), jobThatNeeds({{"accelerators", 1}}));
    EXPECT_EQ(Json::parse(noAccelerator.response.body).at("reason"), "never-fits");
    EXPECT_TRUE(deployment.stop());
}
