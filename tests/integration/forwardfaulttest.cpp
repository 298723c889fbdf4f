#include "support/deployment.h"
#include "support/faultproxy.h"
#include "support/submissions.h"

#include <gtest/gtest.h>

#include <csignal>
#include <thread>

using namespace Citronpitch;

namespace {

/// Two VMs in two failure domains whose links pass through proxies.
class ForwardFaultTest : public testing::Test
{
protected:
    void SetUp() override
    {
        DeploymentPlan plan;
        plan.programs = CITRONPITCH_PROGRAMS;
        plan.folder = std::string(CITRONPITCH_PROGRAMS) + "/integration/forward-"
            + testing::UnitTest::GetInstance()->current_test_info()->name();
        plan.vms = {{"a1", "a"}, {"b1", "b"}};
        plan.upstreams = {{"ua", "a"}, {"ub", "b"}};
        plan.vmSettings = R"({"initialConfiguration": {"classes": [{"name": "casework"}]}})";
        plan.route = [this](const std::string &from, const std::string &to, const Endpoint &direct) {
            return route(from, to, direct);
        };
        m_deployment = std::make_unique<Deployment>(plan);
        m_deployment->start();
        ASSERT_TRUE(m_deployment->waitUntilReady(std::chrono::seconds(20)));
    }

    /// Keys that b1 has issued, so that b1 is their home.
    std::vector<std::string> keysOfB1(std::size_t count)
    {
        ClientRequest request;
        request.method = "POST";
        request.target = "/v1/keys";
        const std::vector<std::string> keys = bodyOf(call(m_deployment->callers("b1"), request)).at("keys");
        return {keys.begin(), keys.begin() + static_cast<std::ptrdiff_t>(count)};
    }

    std::string keyOfB1()
    {
        return keysOfB1(1).front();
    }

    void cut(bool isCut)
    {
        for (auto &[name, proxy] : m_proxies) {
            proxy->faults().swallowToServer = isCut;
            proxy->faults().swallowToClient = isCut;
        }
        if (!isCut) {
            for (auto &[name, proxy] : m_proxies)
                proxy->closeAll();
        }
    }

    nlohmann::json submit(const std::string &vm, const TestJob &job)
    {
        return bodyOf(call(m_deployment->callers(vm), submissionOf(job)));
    }

    std::unique_ptr<Deployment> m_deployment;
    std::map<std::string, std::unique_ptr<FaultProxy>> m_proxies;

private:
    Endpoint route(const std::string &from, const std::string &to, const Endpoint &direct)
    {
        const bool isPeerLink = (from == "a1" && to == "b1") || (from == "b1" && to == "a1");
        if (!isPeerLink)
            return direct;
        const auto listen = freeEndpoint();
        m_proxies[to] = std::make_unique<FaultProxy>(listen, direct);
        return listen;
    }
};

} // namespace

TEST_F(ForwardFaultTest, cutWhileTheJobRunsIsUnknownAndTheAnswerIsThereAfterwards)
{
    const auto key = keyOfB1();
    std::thread cutter([&] {
        EXPECT_TRUE(eventually([&] { return m_deployment->records().started == 2; }));
        cut(true);
    });
    const auto first = submit("a1", {key, 2, 500});
    cutter.join();
    EXPECT_EQ(first.at("outcome"), "unknown");
    EXPECT_EQ(first.at("reason"), "home-unreachable");
    EXPECT_EQ(submit("a1", {key, 2, 500}).at("outcome"), "unknown");
    cut(false);
    EXPECT_TRUE(eventually([&] { return submit("a1", {key, 2, 500}).at("outcome") == "complete"; }));
    EXPECT_EQ(m_deployment->records().started, 2U);
}

TEST_F(ForwardFaultTest, cutOffDomainServesKeysOfItsOwn)
{
    cut(true);
    EXPECT_EQ(submit("b1", {keyOfB1(), 3, 10}).at("outcome"), "complete");
    const auto foreign = submit("a1", {keyOfB1(), 3, 10});
    EXPECT_EQ(foreign.at("outcome"), "unknown");
    EXPECT_FALSE(foreign.contains("ran"));
    EXPECT_EQ(m_deployment->records().started, 3U);
}

TEST_F(ForwardFaultTest, brokenLinkIsMadeAgainAndTheJobIsNotDoubled)
{
    const auto key = keyOfB1();
    std::thread breaker([&] {
        for (int i = 0; i < 5; ++i) {
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
            for (auto &[name, proxy] : m_proxies)
                proxy->closeAll();
        }
    });
    const auto answer = submit("a1", {key, 4, 900});
    breaker.join();
    EXPECT_EQ(answer.at("outcome"), "complete") << answer;
    EXPECT_EQ(m_deployment->records().started, 4U);
}

TEST_F(ForwardFaultTest, killedHomeIsAnsweredAsUnknown)
{
    const auto key = keyOfB1();
    std::thread killer([&] {
        EXPECT_TRUE(eventually([&] { return m_deployment->records().started == 2; }));
        m_deployment->vm("b1").signal(SIGKILL);
    });
    const auto answer = submit("a1", {key, 2, 1500});
    killer.join();
    EXPECT_EQ(answer.at("outcome"), "unknown");
    EXPECT_EQ(m_deployment->records().started, 2U);
}

TEST_F(ForwardFaultTest, homeThatShutsDownAnswersWhatWasForwardedToIt)
{
    const auto keys = keysOfB1(4);
    std::vector<nlohmann::json> answers(keys.size());
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < keys.size(); ++i) {
        TestJob job{keys[i], 2, 1500};
        job.padding = std::string(1'000'000, 'x');
        callers.emplace_back([&, i, job] { answers[i] = submit("a1", job); });
    }
    EXPECT_TRUE(eventually([&] { return m_deployment->records().started == 8; }));
    m_deployment->vm("b1").signal(SIGTERM);
    for (auto &it : callers)
        it.join();
    EXPECT_EQ(m_deployment->vm("b1").wait(), 0);
    for (const auto &it : answers)
        EXPECT_EQ(it.value("outcome", ""), "complete") << it.value("detail", "");
}
