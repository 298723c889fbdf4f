#include "charts/chartdefinition.h"

#include "settings/jsontext.h"

#include <boost/leaf.hpp>
#include <nlohmann/json.hpp>

namespace Citronpitch {

namespace leaf = boost::leaf;
using Json = nlohmann::json;

namespace {

ChartTransition parseTransition(const Json &from)
{
    return {from.at("event").get<std::string>(), from.at("target").get<std::string>(),
            from.at("actions").get<std::vector<std::string>>()};
}

ChartState parseState(const Json &from)
{
    ChartState state;
    state.name = from.at("name").get<std::string>();
    for (const auto &it : from.at("transitions"))
        state.transitions.push_back(parseTransition(it));
    return state;
}

} // namespace

leaf::result<ChartDefinition> parseChart(std::string_view text)
{
    const auto parsed = readJson(text, JsonComments::Ignored);
    if (const auto *error = std::get_if<JsonTextError>(&parsed))
        return leaf::new_error(StepError{"read chart", {}, error->reason});
    try {
        const auto &from = std::get<Json>(parsed);
        ChartDefinition chart;
        chart.name = from.at("name").get<std::string>();
        chart.initial = from.at("initial").get<std::string>();
        for (const auto &it : from.at("states"))
            chart.states.push_back(parseState(it));
        return chart;
    } catch (const Json::exception &e) {
        return leaf::new_error(StepError{"read chart", {}, e.what()});
    }
}

} // namespace Citronpitch
