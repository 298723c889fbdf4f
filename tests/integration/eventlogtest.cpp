#include "log/eventlog.h"
#include "log/eventratelimiter.h"
#include "support/deployment.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>
#include <thread>

using namespace Citronpitch;
using Json = nlohmann::json;

namespace {

const std::string programs = CITRONPITCH_PROGRAMS;
const std::string sourceFolder = CITRONPITCH_SOURCES;

std::string fileText(const std::string &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::set<std::string> wordsOf(std::string_view text)
{
    std::istringstream words{std::string(text)};
    return {std::istream_iterator<std::string>(words), {}};
}

/// Returns the first group of each match.
std::vector<std::string> matchesOf(const std::string &text, const std::regex &pattern)
{
    std::vector<std::string> list;
    for (auto it = std::sregex_iterator(text.begin(), text.end(), pattern); it != std::sregex_iterator();
         ++it)
        list.push_back((*it)[1]);
    return list;
}

/// Returns the sources of the program without the event catalogue.
std::string sourcesText()
{
    std::string text;
    for (const auto &it : std::filesystem::recursive_directory_iterator(sourceFolder + "/src")) {
        if (it.path().extension() == ".cpp" && it.path().filename() != "event.cpp")
            text += fileText(it.path());
    }
    return text;
}

const EventDefinition *eventNumbered(int number)
{
    for (const auto &it : eventCatalogue()) {
        if (static_cast<int>(it.event) == number)
            return &it;
    }
    return nullptr;
}

TimePoint second(int n)
{
    return TimePoint(std::chrono::seconds(n));
}

bool waitForLog(const std::string &logFile, const std::string &text)
{
    for (int i = 0; i < 500; ++i) {
        if (fileText(logFile).find(text) != std::string::npos)
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return false;
}

} // namespace

// docs/EVENTS.md must be regenerated after a change of the catalogue.
TEST(EventLogTest, eventsPageMatchesCatalogue)
{
    EXPECT_EQ(fileText(sourceFolder + "/docs/EVENTS.md"), eventReferenceMarkdown())
        << "regenerate it: citronpitchd --print-events > docs/EVENTS.md";
}

// Searches the sources for the calls that log each event, and guards against events that are catalogued but
// never logged, and against fields that differ from the documented ones.
TEST(EventLogTest, everyEventIsLoggedWithCataloguedFields)
{
    const auto header = fileText(sourceFolder + "/src/log/event.h");
    const auto sources = sourcesText();
    const std::regex enumerator(R"((\w+) = (\d+),)");
    std::size_t events = 0;
    for (auto it = std::sregex_iterator(header.begin(), header.end(), enumerator);
         it != std::sregex_iterator(); ++it) {
        const std::string name = (*it)[1];
        const auto *entry = eventNumbered(std::stoi((*it)[2]));
        ASSERT_NE(entry, nullptr) << name << " is missing in the catalogue";
        ++events;
        EXPECT_NE(sources.find("Event::" + name), std::string::npos) << name << " is never logged";
        std::set<std::string> fields;
        const std::regex call("Event::" + name + R"(\)?,\s*(\{[^;]*?\}\s*)\);)");
        for (const auto &arguments : matchesOf(sources, call)) {
            for (const auto &field : matchesOf(arguments, std::regex(R"re(\{"(\w+)",)re")))
                fields.insert(field);
        }
        EXPECT_EQ(fields, wordsOf(entry->fields)) << name;
        for (const auto *it : {"time", "level", "event", "text"})
            EXPECT_FALSE(fields.contains(it)) << name << " collides with a standard member of the JSON lines";
    }
    EXPECT_EQ(events, eventCatalogue().size());
}

TEST(EventLogTest, textAndJsonLinesContainFields)
{
    const auto &entry = eventDefinition(Event::PeerSuspected);
    const std::vector<EventField> fields{{"peer", "b1"}, {"failureDomain", "south side"}};
    EXPECT_EQ(formatEventText(entry, fields),
              R"(E302 entry VM is unreachable peer=b1 failureDomain="south side")");
    const auto line = Json::parse(formatEventJson(second(1), entry, fields));
    EXPECT_EQ(line.at("time"), "1970-01-01T00:00:01.000Z");
    EXPECT_EQ(line.at("event"), 302);
    EXPECT_EQ(line.at("level"), "warning");
    EXPECT_EQ(line.at("failureDomain"), "south side");
}

// A caller controls parts of the error texts: newlines and invalid UTF-8 in them must not forge a log line
// or make a JSON line invalid.
TEST(EventLogTest, fieldValuesCannotInjectLines)
{
    const auto text =
        formatEventText(eventDefinition(Event::CallerRequestRejected), {{"error", "x\nE100 started \xff"}});
    EXPECT_EQ(text.find('\n'), std::string::npos);
    const auto json =
        formatEventJson(second(1), eventDefinition(Event::CallerRequestRejected), {{"error", "x\n\xff"}});
    EXPECT_EQ(json.find('\n'), std::string::npos);
    EXPECT_TRUE(Json::accept(json));
}

// The limiter must count each suppressed line exactly once, and must limit each event separately.
TEST(EventRateLimiterTest, suppressedRepeatsAreReportedOnce)
{
    EventRateLimiter limiter(2, std::chrono::seconds(10));
    EXPECT_TRUE(limiter.admit(second(0), Event::PeerSuspected));
    EXPECT_TRUE(limiter.admit(second(1), Event::PeerSuspected));
    EXPECT_FALSE(limiter.admit(second(2), Event::PeerSuspected));
    EXPECT_FALSE(limiter.admit(second(9), Event::PeerSuspected));
    EXPECT_TRUE(limiter.admit(second(9), Event::PeerAlive)) << "each event has its own limit";
    EXPECT_TRUE(limiter.takeSuppressed(second(9)).empty());
    const auto suppressed = limiter.takeSuppressed(second(10));
    ASSERT_EQ(suppressed.size(), 1U);
    EXPECT_EQ(suppressed[0].event, Event::PeerSuspected);
    EXPECT_EQ(suppressed[0].count, 2U);
    EXPECT_TRUE(limiter.takeAllSuppressed().empty());
    EXPECT_TRUE(limiter.admit(second(10), Event::PeerSuspected));
}

// The repeat limit would cut the trace of a fleet's runs to a few lines per window; its own limit must be
// bounded too.
TEST(EventRateLimiterTest, tracesHaveABudgetPerSecond)
{
    EventRateLimiter limiter(1, std::chrono::seconds(10));
    const auto budget = eventDefinition(Event::RunOrdered).linesPerSecond;
    for (int s = 0; s < 2; ++s) {
        for (std::uint32_t i = 0; i < budget; ++i)
            EXPECT_TRUE(limiter.admit(second(s), Event::RunOrdered));
        EXPECT_FALSE(limiter.admit(second(s), Event::RunOrdered));
    }
    ASSERT_EQ(limiter.takeSuppressed(second(2)).size(), 1U);
}

// Runs two entry VMs and two upstreams, and stops them in different ways: each state change and each
// malformed request must appear in the log of the remaining VM.
TEST(EventLogTest, daemonLogsPeersUpstreamsAndRejectedInput)
{
    DeploymentPlan plan;
    plan.programs = programs;
    plan.folder = programs + "/integration/eventlog";
    plan.vms = {{"a1", "a"}, {"a2", "a"}};
    plan.upstreams = {{"ua", "a"}, {"ub", "a"}};
    plan.vmSettings = R"({"log": {"format": "json-lines", "repeatLimit": 2, "repeatWindowMs": 400},
                          "initialConfiguration": {"classes": [{"name": "casework"}]}})";
    const auto log = plan.folder + "/a1.log";
    Deployment deployment(plan);
    deployment.start();
    ASSERT_TRUE(deployment.waitUntilReady(std::chrono::seconds(20)));
    EXPECT_TRUE(waitForLog(log, R"("event":301,"text":"entry VM is alive","peer":"a2","failureDomain":"a")"));
    EXPECT_TRUE(waitForLog(log, R"("event":400,"text":"configuration is active","version":"0")"));
    EXPECT_TRUE(waitForLog(log, R"("upstream":"ua")"));

    deployment.upstream("ua").signal(SIGUSR1);
    EXPECT_TRUE(waitForLog(log, R"("event":201,"text":"upstream is leaving","upstream":"ua")"));
    deployment.upstream("ub").signal(SIGKILL);
    EXPECT_TRUE(waitForLog(log, R"("event":202,"text":"upstream's lease expired","upstream":"ub")"));
    deployment.vm("a2").signal(SIGKILL);
    EXPECT_TRUE(waitForLog(log, R"("event":302,"text":"entry VM is unreachable","peer":"a2")"));

    ClientRequest malformed;
    malformed.method = "POST";
    malformed.target = "/v1/jobs";
    malformed.body = "{";
    malformed.timeout = std::chrono::seconds(5);
    for (int i = 0; i < 5; ++i)
        call(deployment.callers("a1"), malformed);
    malformed.method = "PUT";
    malformed.target = "/v1/upstreams/u";
    call(deployment.control("a1"), malformed);
    EXPECT_TRUE(waitForLog(log, R"("event":203)"));
    EXPECT_TRUE(waitForLog(log, R"("event":108,"text":"repeated events suppressed","repeated":"E500")"))
        << fileText(log);

    deployment.vm("a1").signal(SIGTERM);
    EXPECT_EQ(deployment.vm("a1").wait(), 0);
    for (const auto *it : {R"("event":102)", R"("event":109)", R"("event":101)"})
        EXPECT_NE(fileText(log).find(it), std::string::npos) << it;
    std::istringstream lines(fileText(log));
    for (std::string line; std::getline(lines, line);)
        EXPECT_TRUE(Json::accept(line)) << line;
}
