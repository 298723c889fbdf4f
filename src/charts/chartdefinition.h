#pragma once

#include "citronpitch/steperror.h"

#include <boost/leaf/result.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace Citronpitch {

/// A transition of a chart file, by the names of its event, target state and actions.
struct ChartTransition
{
    std::string event;
    std::string target;
    std::vector<std::string> actions;
};

/// A state and its outgoing transitions.
struct ChartState
{
    std::string name;
    std::vector<ChartTransition> transitions;
};

/// A parsed state chart; its names are checked against the code by StateChart::bind().
struct ChartDefinition
{
    std::string name;
    std::string initial;
    std::vector<ChartState> states;
};

/// Parses a chart from JSON with comments. On failure, the StepError has the message of the JSON parser.
boost::leaf::result<ChartDefinition> parseChart(std::string_view text);

/// Returns the text of the file charts/@p name.json that was embedded at build time; empty if there is none.
std::string_view chartText(std::string_view name);

} // namespace Citronpitch
