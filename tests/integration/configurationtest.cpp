#include "support/deployment.h"
#include "support/faultproxy.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <filesystem>
#include <functional>
#include <thread>

using namespace Citronpitch;
using Json = nlohmann::json;

namespace {

constexpr auto waitTimeout = std::chrono::seconds(30);
constexpr auto pollInterval = std::chrono::milliseconds(20);

DeploymentPlan voterPlan(const std::string &name)
{
    DeploymentPlan plan;
    plan.programs = CITRONPITCH_PROGRAMS;
    plan.folder = std::string(CITRONPITCH_PROGRAMS) + "/integration/configuration-" + name;
    plan.vms = {{"a1", "a"}, {"a2", "a"}, {"b1", "b"}, {"b2", "b"}, {"c1", "c"}};
    plan.vmSettings = R"({"initialConfiguration": {"classes": [{"name": "casework"}]}})";
    return plan;
}

bool waitFor(const std::function<bool()> &condition)
{
    const auto deadline = std::chrono::steady_clock::now() + waitTimeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > deadline)
            return false;
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

/// Body of GET @p path on the control port of @p vm; an empty object if the VM does not answer.
Json fetchJson(const Deployment &deployment, const std::string &vm, const std::string &path)
{
    ClientRequest request;
    request.target = "/v1/configuration" + path;
    request.timeout = std::chrono::seconds(2);
    const auto response = call(deployment.control(vm), request);
    if (response.outcome != ExchangeOutcome::Answered)
        return Json::object();
    return Json::parse(response.response.body, nullptr, false);
}

std::uint64_t versionOf(const Deployment &deployment, const std::string &vm)
{
    return fetchJson(deployment, vm, "").value("version", std::uint64_t{0});
}

std::string leaderOf(const Deployment &deployment, const std::string &vm)
{
    const auto body = fetchJson(deployment, vm, "");
    return body.contains("leader") && body["leader"].is_string() ? body["leader"].get<std::string>() : "";
}

/// Sends one change once. Status 0 means no answer.
ClientResponse sendChange(const Deployment &deployment, const std::string &vm, const std::string &id,
                          std::uint64_t basedOn, unsigned quota)
{
    ClientRequest request;
    request.method = "POST";
    request.target = "/v1/configuration/changes";
    request.body =
        Json{{"id", id},
             {"author", "operator"},
             {"basedOn", basedOn},
             {"change", {{"type", "setTeam"}, {"team", {{"name", "clinic"}, {"quotaTasks", quota}}}}}}
            .dump();
    request.timeout = std::chrono::seconds(8);
    return call(deployment.control(vm), request);
}

/// Sends one change to the VMs in turn until it is decided, and returns the body of the answer.
Json submitUntilDecided(const Deployment &deployment, const std::vector<std::string> &vms,
                        const std::string &id, std::uint64_t basedOn, unsigned quota = 1)
{
    Json body;
    std::size_t turn = 0;
    waitFor([&] {
        const auto response = sendChange(deployment, vms[turn++ % vms.size()], id, basedOn, quota);
        if (response.outcome != ExchangeOutcome::Answered || response.response.status == 503)
            return false;
        body = Json::parse(response.response.body);
        return true;
    });
    return body;
}

bool waitUntilAllShow(const Deployment &deployment, const std::vector<std::string> &vms,
                      std::uint64_t version)
{
    return waitFor([&] {
        return std::all_of(vms.begin(), vms.end(),
                           [&](const auto &vm) { return versionOf(deployment, vm) == version; });
    });
}

/// Whether the leader @p vm has @p voters voters, and all of them have its newest entry.
bool followsEveryVoter(const Deployment &deployment, const std::string &vm, std::size_t voters)
{
    const auto body = fetchJson(deployment, vm, "/voters");
    const auto list = body.value("voters", Json::array());
    const auto last = body.value("lastIndex", std::uint64_t{0});
    return list.size() == voters && std::all_of(list.begin(), list.end(), [&](const Json &it) {
               return !it.contains("matchIndex") || it["matchIndex"] == last;
           });
}

void killAndWipe(Deployment &deployment, const std::string &vm)
{
    deployment.vm(vm).signal(SIGKILL);
    deployment.vm(vm).wait();
    std::filesystem::remove_all(deployment.dataFolder(vm));
    deployment.startVm(vm);
}

const std::vector<std::string> allVms{"a1", "a2", "b1", "b2", "c1"};

} // namespace

// Guards against accepting both of two changes that operators make on the same version at different VMs, and
// against a resend that gets another answer.
TEST(ConfigurationIntegrationTest, oneOfTwoConcurrentChangesIsAcceptedAndResendsGetTheFirstAnswer)
{
    Deployment deployment(voterPlan("race"));
    deployment.start();
    ASSERT_TRUE(deployment.waitUntilReady(waitTimeout));
    Json first;
    Json second;
    std::thread operatorA([&] { first = submitUntilDecided(deployment, {"a1"}, "change-a", 0, 10); });
    std::thread operatorB([&] { second = submitUntilDecided(deployment, {"b2"}, "change-b", 0, 20); });
    operatorA.join();
    operatorB.join();
    const bool firstWon = first.at("outcome") == "accepted";
    const auto &winner = firstWon ? first : second;
    const auto &loser = firstWon ? second : first;
    EXPECT_EQ(winner.at("outcome"), "accepted");
    EXPECT_EQ(winner.at("version"), 1);
    EXPECT_EQ(loser.at("outcome"), "superseded");
    EXPECT_EQ(loser.at("winner").at("id"), winner.at("id"));
    EXPECT_EQ(loser.at("winner").at("author"), "operator");
    EXPECT_TRUE(waitUntilAllShow(deployment, allVms, 1));
    EXPECT_EQ(submitUntilDecided(deployment, {"c1"}, "change-a", 0, 10), first);
    EXPECT_EQ(submitUntilDecided(deployment, {"c1"}, "change-a", 0, 11).at("outcome"), "idConflict");
    const auto history = fetchJson(deployment, "a2", "/history").at("changes");
    ASSERT_EQ(history.size(), 1U);
    EXPECT_EQ(history[0].at("id"), winner.at("id"));
}

// Guards against losing accepted changes, or the answers to them, when the leader is killed.
TEST(ConfigurationIntegrationTest, killedLeaderLosesNoAcceptedChange)
{
    Deployment deployment(voterPlan("leader"));
    deployment.start();
    ASSERT_TRUE(deployment.waitUntilReady(waitTimeout));
    std::uint64_t version = 0;
    for (int round = 0; round < 3; ++round) {
        for (int i = 0; i < 5; ++i) {
            const auto answer =
                submitUntilDecided(deployment, allVms, "change-" + std::to_string(version), version);
            ASSERT_EQ(answer.at("outcome"), "accepted");
            ASSERT_EQ(answer.at("version"), ++version);
        }
        std::string leader;
        ASSERT_TRUE(waitFor([&] { return !(leader = leaderOf(deployment, "c1")).empty(); }));
        deployment.vm(leader).signal(SIGKILL);
        deployment.vm(leader).wait();
        const auto other = leader == "a1" ? "a2" : "a1";
        const auto resent = submitUntilDecided(deployment, {other}, "change-0", 0);
        EXPECT_EQ(resent.at("outcome"), "accepted");
        EXPECT_EQ(resent.at("version"), 1);
        deployment.startVm(leader);
    }
    EXPECT_TRUE(waitUntilAllShow(deployment, allVms, version));
}

// Guards against a VM that forgets its configuration in a restart while no majority is reachable, and
// against changes that it accepts on its own.
TEST(ConfigurationIntegrationTest, restartKeepsTheActiveConfigurationWithoutAQuorum)
{
    Deployment deployment(voterPlan("restart"));
    deployment.start();
    ASSERT_TRUE(deployment.waitUntilReady(waitTimeout));
    ASSERT_EQ(submitUntilDecided(deployment, allVms, "change-0", 0, 7).at("outcome"), "accepted");
    ASSERT_TRUE(waitUntilAllShow(deployment, allVms, 1));
    for (const auto &it : allVms)
        deployment.vm(it).signal(SIGKILL);
    for (const auto &it : allVms)
        deployment.vm(it).wait();
    deployment.startVm("c1");
    Json active;
    ASSERT_TRUE(waitFor([&] { return (active = fetchJson(deployment, "c1", "")).contains("version"); }));
    EXPECT_EQ(active.at("version"), 1);
    EXPECT_EQ(active.at("teams")[0].at("quotaTasks"), 7);
    EXPECT_TRUE(active.at("leader").is_null());
    EXPECT_GE(active.at("ageMs"), 0);
    const auto refused = sendChange(deployment, "c1", "change-1", 1, 8);
    EXPECT_EQ(refused.response.status, 503);
    EXPECT_EQ(Json::parse(refused.response.body).at("outcome"), "noLeader");
}

// Guards against losing accepted changes when voters lose their disks one after the other, each after the
// previous one was readmitted.
TEST(ConfigurationIntegrationTest, voterWithALostDiskIsReadmittedAndASecondLossIsSurvived)
{
    Deployment deployment(voterPlan("disk"));
    deployment.start();
    ASSERT_TRUE(deployment.waitUntilReady(waitTimeout));
    ASSERT_EQ(submitUntilDecided(deployment, allVms, "change-0", 0, 7).at("outcome"), "accepted");
    std::uint64_t version = 1;
    for (const std::string lost : {"b1", "b2", "a2"}) {
        killAndWipe(deployment, lost);
        const auto change = "after-" + lost;
        const auto answer = submitUntilDecided(deployment, {"c1", "a1"}, change, version);
        ASSERT_EQ(answer.at("outcome"), "accepted");
        ++version;
        ASSERT_TRUE(waitUntilAllShow(deployment, allVms, version));
        ASSERT_TRUE(waitFor([&] {
            const auto leader = leaderOf(deployment, "c1");
            const auto role = fetchJson(deployment, lost, "/voters").value("role", "");
            return !leader.empty() && role != "learner" && followsEveryVoter(deployment, leader, 5);
        }));
    }
    EXPECT_EQ(submitUntilDecided(deployment, {"b1"}, "change-0", 0, 7).at("version"), 1);
}

// Guards against a partitioned failure domain that accepts changes, reports its configuration as recent,
// denies a class that it may have missed, or keeps the old configuration after the partition has healed.
TEST(ConfigurationIntegrationTest, partitionedFailureDomainCatchesUpAfterHealing)
{
    auto plan = voterPlan("cut");
    std::vector<std::unique_ptr<FaultProxy>> proxies;
    const auto domainOf = [](const std::string &vm) { return vm.substr(0, 1); };
    plan.route = [&](const std::string &from, const std::string &to, const Endpoint &direct) {
        const bool isCut = domainOf(from) != domainOf(to) && (domainOf(from) == "b" || domainOf(to) == "b");
        if (!isCut)
            return direct;
        const auto listen = freeEndpoint();
        proxies.push_back(std::make_unique<FaultProxy>(listen, direct));
        return listen;
    };
    Deployment deployment(plan);
    deployment.start();
    ASSERT_TRUE(deployment.waitUntilReady(waitTimeout));
    ASSERT_EQ(submitUntilDecided(deployment, allVms, "change-0", 0).at("outcome"), "accepted");
    ASSERT_TRUE(waitUntilAllShow(deployment, allVms, 1));
    const auto setCut = [&](bool isCut) {
        for (const auto &it : proxies) {
            it->faults().swallowToServer = isCut;
            it->faults().swallowToClient = isCut;
            it->faults().refuse = isCut;
            if (!isCut)
                it->closeAll();
        }
    };
    const auto submitUndeclared = [&](const std::string &vm) {
        // A key that the VM has issued is not forwarded to another VM.
        const auto keys = Json::parse(call(deployment.callers(vm), {"POST", "/v1/keys"}).response.body);
        ClientRequest request{"POST", "/v1/jobs"};
        request.headers = {{"Idempotency-Key", keys.at("keys").at(0).get<std::string>()}};
        request.body = R"({"team": "clinic", "class": "undeclared", "tasks": [{}]})";
        return call(deployment.callers(vm), request).response;
    };
    const auto reasonOf = [](const HttpResponse &response) {
        return Json::parse(response.body).value("reason", "");
    };
    EXPECT_TRUE(waitFor([&] { return submitUndeclared("b1").status == 422; }));
    setCut(true);
    const std::vector<std::string> majority{"a1", "a2", "c1"};
    ASSERT_EQ(submitUntilDecided(deployment, majority, "change-1", 1).at("outcome"), "accepted");
    EXPECT_TRUE(waitUntilAllShow(deployment, majority, 2));
    EXPECT_EQ(versionOf(deployment, "b1"), 1U);
    EXPECT_TRUE(waitFor([&] { return fetchJson(deployment, "b1", "").value("ageMs", 0) > 1000; }));
    const auto refused = sendChange(deployment, "b1", "change-2", 1, 9);
    EXPECT_EQ(refused.response.status, 503);
    EXPECT_TRUE(waitFor([&] { return reasonOf(submitUndeclared("b1")) == "configuration-outdated"; }));
    EXPECT_EQ(submitUndeclared("b1").status, 503);
    EXPECT_EQ(reasonOf(submitUndeclared("a1")), "unknown-class");
    setCut(false);
    EXPECT_TRUE(waitUntilAllShow(deployment, allVms, 2));
    EXPECT_TRUE(waitFor([&] { return submitUndeclared("b1").status == 422; }));
}
