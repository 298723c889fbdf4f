#include "core/dispatch/upstreamchart.h"

#include <boost/leaf.hpp>

#include <stdexcept>

namespace Citronpitch {

namespace leaf = boost::leaf;

namespace {

UpstreamChart loadChart()
{
    return leaf::try_handle_all(
        []() -> leaf::result<UpstreamChart> {
            BOOST_LEAF_ASSIGN(const auto definition, parseChart(chartText("upstream")));
            return UpstreamChart::bind(definition, upstreamStateNames, upstreamEventNames,
                                       upstreamActionNames);
        },
        [](const StepError &error) -> UpstreamChart { throw std::logic_error(error.text()); },
        []() -> UpstreamChart { throw std::logic_error("bind chart: upstream"); });
}

} // namespace

const UpstreamChart &upstreamChart()
{
    static const UpstreamChart chart = loadChart();
    return chart;
}

} // namespace Citronpitch
