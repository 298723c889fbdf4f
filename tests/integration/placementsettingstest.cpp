#include "settings/settings.h"

#include <gtest/gtest.h>

using namespace Citronpitch;

namespace {

namespace leaf = boost::leaf;

std::string settingsText(const std::string &more)
{
    return R"({"name": "a1", "failureDomain": "a", "callers": {"address": "127.0.0.1", "port": 1},
        "control": {"address": "127.0.0.1", "port": 2}, "peers": {"address": "127.0.0.1", "port": 3}, "vms":
        [{"name": "a1", "failureDomain": "a", "peers": {"address": "127.0.0.1", "port": 3}}])"
        + more + "}";
}

/// Returns the name of the placement policy in @p text, or the error message.
std::string placementNameOf(const std::string &text)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::string> {
            BOOST_LEAF_ASSIGN(const auto settings, parseSettings(text, "test"));
            return std::string(enumName(placementPolicyNames, settings.placement));
        },
        [](const StepError &error) { return error.text(); }, [] { return std::string("other error"); });
}

} // namespace

// Each policy must be selectable by its name; without the key the default is used.
TEST(PlacementSettingsTest, placementIsParsedByName)
{
    EXPECT_EQ(placementNameOf(settingsText("")), "target");
    for (const auto &it : placementPolicyNames) {
        const std::string name(it.name);
        EXPECT_EQ(placementNameOf(settingsText(R"(, "placement": ")" + name + '"')), name);
    }
}

// A misspelled policy must be an error, not silently replaced by the default.
TEST(PlacementSettingsTest, unknownPlacementIsRejected)
{
    const auto text = placementNameOf(settingsText(R"(, "placement": "best")"));
    EXPECT_NE(text.find("placement: found \"best\"; allowed: one of \"target\""), std::string::npos) << text;
}
