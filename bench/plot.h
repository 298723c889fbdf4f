#pragma once

#include "distribution.h"

#include <string>
#include <vector>

namespace Citronpitch {

/// One curve of a plot.
struct PlotCurve
{
    std::string name;
    Distribution values;
};

/// A self-contained SVG with the share of samples up to each value, one curve each; the axis of values is
/// logarithmic and starts at 1.
std::string distributionPlot(const std::string &title, const std::string &axis,
                             const std::vector<PlotCurve> &curves);

} // namespace Citronpitch
