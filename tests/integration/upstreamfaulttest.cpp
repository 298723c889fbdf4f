#include "support/deployment.h"
#include "support/faultproxy.h"
#include "support/submissions.h"

#include <gtest/gtest.h>

#include <csignal>
#include <thread>

using namespace Citronpitch;

namespace {

/// Two VMs of one failure domain, and upstreams that they reach through proxies.
class UpstreamFaultTest : public testing::Test
{
protected:
    void start(const std::vector<DeployedUpstream> &upstreams)
    {
        DeploymentPlan plan;
        plan.programs = CITRONPITCH_PROGRAMS;
        plan.folder = std::string(CITRONPITCH_PROGRAMS) + "/integration/upstream-"
            + testing::UnitTest::GetInstance()->current_test_info()->name();
        plan.vms = {{"a1", "a"}, {"a2", "a"}};
        plan.upstreams = upstreams;
        plan.vmSettings = R"({"initialConfiguration": {"classes": [{"name": "casework"}]}})";
        plan.route = [this](const std::string &from, const std::string &to, const Endpoint &direct) {
            return route(from, to, direct);
        };
        m_deployment = std::make_unique<Deployment>(plan);
        m_deployment->start();
        ASSERT_TRUE(m_deployment->waitUntilReady(std::chrono::seconds(20)));
    }

    FaultProxy &proxy(const std::string &upstream)
    {
        return *m_proxies.at(upstream);
    }

    nlohmann::json submit(const std::string &vm, const TestJob &job)
    {
        return bodyOf(call(m_deployment->callers(vm), submissionOf(job)));
    }

    std::unique_ptr<Deployment> m_deployment;
    std::map<std::string, std::unique_ptr<FaultProxy>> m_proxies;
    std::map<std::string, Endpoint> m_listens;
    std::map<std::string, Endpoint> m_targets;

private:
    Endpoint route(const std::string &from, const std::string &to, const Endpoint &direct)
    {
        const bool isPeerLink = from == "a1" && to == "a2";
        if (from != "vm" && !isPeerLink)
            return direct;
        const auto listen = freeEndpoint();
        m_listens[to] = listen;
        m_targets[to] = direct;
        m_proxies[to] = std::make_unique<FaultProxy>(listen, direct);
        return listen;
    }
};

} // namespace

TEST_F(UpstreamFaultTest, breakBeforeTheStartMessageIsPlacedAgain)
{
    start({{"u1", "a"}});
    const auto listen = m_listens.at("u1");
    const auto target = m_targets.at("u1");
    m_proxies.erase("u1");
    std::thread healing([&] {
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
        m_proxies["u1"] = std::make_unique<FaultProxy>(listen, target);
    });
    const auto answer = submit("a1", {"refused", 1, 10});
    healing.join();
    EXPECT_EQ(answer.at("outcome"), "complete");
    EXPECT_EQ(m_deployment->records().starts["refused/0"], 1);
}

TEST_F(UpstreamFaultTest, breakInTheStartMessageMayHaveRun)
{
    start({{"u1", "a"}});
    proxy("u1").faults().closeAfterToServer = 20;
    const auto answer = submit("a1", {"cut-start", 1, 10});
    EXPECT_EQ(answer.at("outcome"), "failed");
    EXPECT_EQ(answer.at("reason"), "task-outcome-unknown");
    EXPECT_EQ(answer.at("tasks").at(0).at("state"), "mayHaveRun");
    EXPECT_EQ(m_deployment->records().started, 0U);
}

TEST_F(UpstreamFaultTest, breakAfterTheStartMessageStartsNothingAgain)
{
    start({{"u1", "a"}, {"u2", "a"}});
    proxy("u1").faults().closeAfterToClient = 0;
    proxy("u2").faults().closeAfterToClient = 0;
    const auto answer = submit("a1", {"lost-answer", 1, 10});
    EXPECT_EQ(answer.at("outcome"), "failed");
    EXPECT_EQ(answer.at("tasks").at(0).at("state"), "mayHaveRun");
    EXPECT_EQ(submit("a2", {"lost-answer", 1, 10}), answer);
    EXPECT_EQ(m_deployment->records().starts["lost-answer/0"], 1);
}

TEST_F(UpstreamFaultTest, answerCutInTheMiddleIsNeverPartial)
{
    start({{"u1", "a"}});
    proxy("u1").faults().closeAfterToClient = 100;
    const auto answer = submit("a1", {"cut-answer", 3, 10});
    EXPECT_EQ(answer.at("outcome"), "failed");
    EXPECT_EQ(answer.at("tasks").size(), 3U);
    EXPECT_EQ(m_deployment->records().doubled, 0U);
}

TEST_F(UpstreamFaultTest, idempotentRequestIsRetriedElsewhere)
{
    start({{"u1", "a"}, {"u2", "a"}});
    proxy("u1").faults().closeAfterToClient = 0;
    proxy("u2").faults().closeAfterToClient = 0;
    std::thread healing([&] {
        EXPECT_TRUE(eventually([&] { return m_deployment->records().started > 0; }));
        proxy("u1").faults().closeAfterToClient = -1;
        proxy("u2").faults().closeAfterToClient = -1;
    });
    const auto answer = submit("a1", {"retried", 1, 100, true});
    healing.join();
    EXPECT_EQ(answer.at("outcome"), "complete");
}

TEST_F(UpstreamFaultTest, lateAndDisorderedAnswersStayWhole)
{
    start({{"u1", "a"}, {"u2", "a"}});
    proxy("u1").faults().delayMicroseconds = 150'000;
    const auto answer = submit("a1", {"late", 6, 20});
    ASSERT_EQ(answer.at("outcome"), "complete");
    for (std::size_t i = 0; i < 6; ++i) {
        const auto result = nlohmann::json::parse(answer.at("tasks").at(i).at("result").get<std::string>());
        EXPECT_EQ(result.at("id"), "late/" + std::to_string(i));
    }
}

TEST_F(UpstreamFaultTest, leavingUpstreamGetsNoNewWorkThoughOneVmMissedTheNotice)
{
    start({{"u1", "a"}});
    proxy("a2").faults().swallowToServer = true;
    m_deployment->upstream("u1").signal(SIGUSR1);
    // Longer than the lease of an announcement.
    std::this_thread::sleep_for(std::chrono::seconds(3));
    for (const auto *vm : {"a1", "a2"}) {
        TestJob job{std::string("after-leaving-") + vm, 1, 10};
        job.patience = std::chrono::milliseconds(500);
        EXPECT_NE(submit(vm, job).value("outcome", ""), "complete");
    }
    EXPECT_EQ(m_deployment->records().started, 0U);
}

TEST_F(UpstreamFaultTest, frozenUpstreamEndsInTheDeadlineAndIsNotStartedAgain)
{
    start({{"u1", "a"}});
    TestJob job{"frozen", 2, 300};
    job.patience = std::chrono::milliseconds(800);
    std::thread freezer([&] {
        EXPECT_TRUE(eventually([&] { return m_deployment->records().started == 2; }));
        m_deployment->upstream("u1").signal(SIGSTOP);
    });
    const auto answer = submit("a1", job);
    freezer.join();
    EXPECT_EQ(answer.at("outcome"), "failed");
    EXPECT_EQ(answer.at("tasks").at(0).at("state"), "mayHaveRun");
    m_deployment->upstream("u1").signal(SIGCONT);
    EXPECT_EQ(submit("a2", job), answer);
    EXPECT_EQ(m_deployment->records().doubled, 0U);
}

TEST_F(UpstreamFaultTest, diedUpstreamFailsTheJobAtOnce)
{
    start({{"u1", "a"}, {"u2", "a"}});
    std::thread killer([&] {
        EXPECT_TRUE(eventually([&] { return m_deployment->records().started == 6; }));
        m_deployment->upstream("u1").signal(SIGKILL);
    });
    const auto answer = submit("a1", {"killed", 6, 1000});
    killer.join();
    EXPECT_EQ(answer.at("outcome"), "failed");
    EXPECT_EQ(answer.at("reason"), "task-outcome-unknown");
    EXPECT_EQ(m_deployment->records().doubled, 0U);
}

TEST_F(UpstreamFaultTest, upstreamThatFailsEverythingNeverMakesAPartialAnswer)
{
    DeployedUpstream failing{"u1", "a"};
    failing.failsEverything = true;
    start({failing, {"u2", "a"}});
    for (int i = 0; i < 20; ++i) {
        const auto answer = submit("a1", {"mixed-" + std::to_string(i), 4, 5});
        const bool isComplete = answer.at("outcome") == "complete";
        for (const auto &it : answer.at("tasks"))
            EXPECT_TRUE(!isComplete || it.at("status") == 200);
        EXPECT_EQ(answer.at("tasks").size(), 4U);
    }
    EXPECT_EQ(m_deployment->records().doubled, 0U);
}
