#include "settings/settings.h"
#include "settings/settingsreference.h"
#include "support/deployment.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <fstream>
#include <set>
#include <sstream>

using namespace Citronpitch;
namespace leaf = boost::leaf;
using Json = nlohmann::json;

namespace {

const std::string sourceFolder = CITRONPITCH_SOURCES;

std::string fileText(const std::string &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

const std::string minimalSettings = R"({
    "name": "a1", // this one
    "failureDomain": "a",
    "callers": {"address": "127.0.0.1", "port": 7000},
    "control": {"address": "127.0.0.1", "port": 7100},
    "peers": {"address": "127.0.0.1", "port": 7200},
    "vms": [
        {"name": "a1", "failureDomain": "a", "peers": {"address": "127.0.0.1", "port": 7200}}
    ]
})";

std::vector<SettingsError> errorsOf(const std::string &text)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::vector<SettingsError>> {
            BOOST_LEAF_CHECK(parseSettings(text, "test"));
            return std::vector<SettingsError>();
        },
        [](const SettingsErrors &errors) { return errors.list; },
        [] {
            return std::vector<SettingsError>{{0, "", "an error of another type", ""}};
        });
}

Settings settingsOf(const std::string &text)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<Settings> { return parseSettings(text, "test"); },
        [](const StepError &error) -> Settings { throw std::runtime_error(error.text()); },
        []() -> Settings { throw std::runtime_error("unknown error"); });
}

std::string withReplacement(const std::string &from, const std::string &to)
{
    auto text = minimalSettings;
    const auto position = text.find(from);
    EXPECT_NE(position, std::string::npos) << from;
    return text.replace(position, from.size(), to);
}

} // namespace

TEST(SettingsTest, missingKeysGetDefaults)
{
    const auto settings = settingsOf(minimalSettings);
    EXPECT_EQ(settings.name, "a1");
    EXPECT_EQ(settings.heartbeatInterval, std::chrono::milliseconds(250));
    EXPECT_EQ(settings.limits.maximumBodyBytes, 8388608U);
    EXPECT_EQ(settingsOf(settings.completeJson).completeJson, settings.completeJson)
        << "printed settings must be valid settings";
}

// All errors must be reported at once, each with its line, key, found value and allowed values.
TEST(SettingsTest, allErrorsAreReportedTogether)
{
    const auto errors = errorsOf(R"({
    "name": "a1",
    "failureDomain": 7,
    "callers": {"address": "localhost", "port": 70000},
    "control": {"address": "127.0.0.1"},
    "peers": {"address": "127.0.0.1", "port": 7200},
    "vms": [
        {"name": "a 1", "failureDomain": "a",
         "peers": {"address": "127.0.0.1", "port": -1}}],
    "limits": {"idleTimoutMs": 5},
    "log": {"format": "xml"},
    "heartbeatMs": 250.5
})");
    struct Expected
    {
        int line;
        std::string key;
        std::string found;
        std::string allowed;
    };
    const std::vector<Expected> expected{
        {3, "failureDomain", "7", "a name"},
        {4, "callers.address", "\"localhost\"", "an IP address"},
        {4, "callers.port", "70000", "a whole number from 1 to 65535"},
        {5, "control.port", "nothing", "a whole number from 1 to 65535"},
        {8, "vms[0].name", "\"a 1\"", "a name"},
        {9, "vms[0].peers.port", "-1", "a whole number from 1 to 65535"},
        {10, "limits.idleTimoutMs", "an unknown key", "the nearest is \"idleTimeoutMs\""},
        {11, "log.format", "\"xml\"", "one of \"text\", \"json-lines\""},
        {12, "heartbeatMs", "250.5", "a whole number from 10 to 60000 ms"}};
    ASSERT_EQ(errors.size(), expected.size());
    for (std::size_t i = 0; i < expected.size(); ++i) {
        EXPECT_EQ(errors[i].line, expected[i].line) << expected[i].key;
        EXPECT_EQ(errors[i].key, expected[i].key);
        EXPECT_EQ(errors[i].found, expected[i].found);
        EXPECT_NE(errors[i].allowed.find(expected[i].allowed), std::string::npos) << errors[i].allowed;
    }
}

TEST(SettingsTest, malformedJsonErrorHasLine)
{
    const auto errors = errorsOf("{\n  \"name\": \"a1\",\n  \"failureDomain\" \"a\"\n}");
    ASSERT_EQ(errors.size(), 1U);
    EXPECT_EQ(errors[0].line, 3);
}

// Keys that are valid one by one but contradict each other must be rejected, each with the key to change.
TEST(SettingsTest, inconsistentKeysAreRejected)
{
    const auto keyOfOnly = [](const std::string &text) {
        const auto errors = errorsOf(text);
        return errors.size() == 1 ? errors[0].key : std::to_string(errors.size()) + " errors";
    };
    EXPECT_EQ(keyOfOnly(withReplacement(R"("name": "a1", //)", R"("name": "a2", //)")), "name");
    EXPECT_EQ(keyOfOnly(withReplacement(R"("failureDomain": "a",)", R"("failureDomain": "b",)")),
              "failureDomain");
    EXPECT_EQ(keyOfOnly(withReplacement("7100", "7000")), "control");
    EXPECT_EQ(keyOfOnly(withReplacement(R"("vms")", R"("suspicionMs": 499, "vms")")), "suspicionMs");
    EXPECT_EQ(keyOfOnly(withReplacement(R"("vms")", R"("name": "a1", "vms")")), "name");
    const std::string twice = R"("initialConfiguration": {"classes": [{"name": "c"}, {"name": "c"}]}, "vms")";
    EXPECT_EQ(keyOfOnly(withReplacement(R"("vms")", twice)), "initialConfiguration.classes[1].name");
}

// docs/SETTINGS.md must be regenerated after a change of the table of keys.
TEST(SettingsTest, settingsPageMatchesTable)
{
    EXPECT_EQ(fileText(sourceFolder + "/docs/SETTINGS.md"), settingsReferenceMarkdown())
        << "regenerate it: citronpitchd --print-settings-reference > docs/SETTINGS.md";
}

TEST(SettingsTest, exampleSettingsAreValid)
{
    const auto clydeside = settingsOf(fileText(sourceFolder + "/examples/clydeside.json"));
    const auto pasteleria = settingsOf(fileText(sourceFolder + "/examples/pasteleria.json"));
    EXPECT_EQ(clydeside.vms.size(), 6U);
    EXPECT_EQ(pasteleria.vms.size(), 7U);
    for (const auto *it : {&clydeside, &pasteleria}) {
        std::set<std::string> domains;
        for (const auto &vm : it->vms)
            domains.insert(vm.identity.failureDomain);
        EXPECT_EQ(domains.size(), 4U);
        EXPECT_FALSE(it->initialConfiguration.classes.empty());
        EXPECT_FALSE(it->initialConfiguration.teams.empty());
    }
}

// A reload must not apply a key that needs a restart, and must report it.
TEST(SettingsTest, reloadAppliesReloadableKeys)
{
    const auto running = settingsOf(minimalSettings);
    const auto loaded = settingsOf(withReplacement(
        R"("vms")", R"("heartbeatMs": 300, "drainTimeoutMs": 5, "limits": {"idleTimeoutMs": 500}, "vms")"));
    const auto reloading = applyReloadableSettings(running, loaded);
    EXPECT_EQ(reloading.applied, (std::vector<std::string>{"limits.idleTimeoutMs", "drainTimeoutMs"}));
    EXPECT_EQ(reloading.needsRestart, std::vector<std::string>{"heartbeatMs"});
    EXPECT_EQ(reloading.settings.drainTimeout, std::chrono::milliseconds(5));
    EXPECT_EQ(reloading.settings.limits.idleTimeout, std::chrono::milliseconds(500));
    EXPECT_EQ(reloading.settings.heartbeatInterval, std::chrono::milliseconds(250));
}
