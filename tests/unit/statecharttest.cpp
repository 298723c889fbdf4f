#include "core/dispatch/upstreamchart.h"

#include <boost/leaf.hpp>
#include <gtest/gtest.h>

using namespace Citronpitch;

namespace {

namespace leaf = boost::leaf;

enum class Light { Red, Green };
enum class LightEvent { Go, Halt };
enum class LightAction { Ring };

constexpr std::array lightNames{EnumName<Light>{Light::Red, "red"}, EnumName<Light>{Light::Green, "green"}};
constexpr std::array lightEventNames{EnumName<LightEvent>{LightEvent::Go, "go"},
                                     EnumName<LightEvent>{LightEvent::Halt, "halt"}};
constexpr std::array lightActionNames{EnumName<LightAction>{LightAction::Ring, "ring"}};

using LightChart = StateChart<Light, 2, LightEvent, 2, LightAction, 1>;

const std::string red =
    R"({"name": "red", "transitions": [{"event": "go", "target": "green", "actions": ["ring"]}]})";
const std::string green =
    R"({"name": "green", "transitions": [{"event": "halt", "target": "red", "actions": []}]})";

std::string chart(const std::string &states)
{
    return R"({"name": "light", "initial": "red", "states": [)" + states + "]}";
}

/// Returns the error of parsing and binding @p text, or an empty string.
std::string errorOf(const std::string &text)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::string> {
            BOOST_LEAF_ASSIGN(const auto definition, parseChart(text));
            BOOST_LEAF_CHECK(LightChart::bind(definition, lightNames, lightEventNames, lightActionNames));
            return std::string();
        },
        [](const StepError &error) { return error.text(); }, [] { return std::string("other error"); });
}

} // namespace

// Guards against a valid chart that is rejected, and a transition with a wrong target or wrong actions. An
// event without a transition has to be ignored.
TEST(StateChartTest, bindsAndInterpretsAChart)
{
    const auto bound = leaf::try_handle_all(
        [&]() -> leaf::result<LightChart> {
            BOOST_LEAF_ASSIGN(const auto definition, parseChart(chart(red + "," + green)));
            return LightChart::bind(definition, lightNames, lightEventNames, lightActionNames);
        },
        []() -> LightChart { throw std::logic_error("a valid chart was rejected"); });
    const auto *step = bound.find(bound.initial(), LightEvent::Go);
    ASSERT_NE(step, nullptr);
    EXPECT_EQ(step->target, Light::Green);
    EXPECT_EQ(step->actions, std::vector<LightAction>{LightAction::Ring});
    EXPECT_EQ(bound.find(Light::Red, LightEvent::Halt), nullptr);
}

// Guards against a chart file and code that disagree on a state, event or action without an error at the
// start.
TEST(StateChartTest, rejectsChartsThatDoNotMatchTheCode)
{
    EXPECT_EQ(errorOf(chart(red + "," + green)), "");
    EXPECT_NE(errorOf(chart(red)), "") << "a state is not in the chart";
    EXPECT_NE(errorOf(chart(red + "," + R"({"name": "green", "transitions": []})")), "")
        << "an event is not in the chart";
    EXPECT_NE(errorOf(chart(red + "," + red + "," + green)), "") << "two transitions for one event";
    EXPECT_NE(errorOf(chart(red + "," + green + R"(,{"name": "blue", "transitions": []})")), "");
    EXPECT_NE(errorOf("{"), "");
}

// Guards against a change of charts/upstream.json or of its enumerators alone, which would fail at the start.
TEST(StateChartTest, upstreamChartMatchesTheCode)
{
    EXPECT_EQ(upstreamChart().initial(), UpstreamState::Serving);
}
