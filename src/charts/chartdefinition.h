#pragma once

#include "citronpitch/steperror.h"

#include <boost/leaf/result.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace Citronpitch {

/// A step from one state to another, as a chart file names it.
struct ChartTransition
{
    std::string event;
    std::string target;
    std::vector<std::string> actions;
};

/// A state and the transitions that leave it.
struct ChartState
{
    std::string name;
    std::vector<ChartTransition> transitions;
};

/// A state chart as its file says; names are not checked against the code yet.
struct ChartDefinition
{
    std::string name;
    std::string initial;
    std::vector<ChartState> states;
};

/// Reads a chart from JSON with comments. The error says where and what.
boost::leaf::result<ChartDefinition> parseChart(std::string_view text);

/// Text of the chart file charts/@p name.json as it was when the program was built; empty where there is
/// none.
std::string_view chartText(std::string_view name);

} // namespace Citronpitch
