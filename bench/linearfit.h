#pragma once

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

namespace Citronpitch {

/// One measured point.
struct SlopePoint
{
    double size = 0;
    double value = 0;
};

/// Straight line through measured points, by least squares.
struct LinearFit
{
    double intercept = 0;
    double slope = 0;
    /// Share of the variance that the line explains, 0 to 1.
    double rSquared = 0;
};

LinearFit fitLine(const std::vector<SlopePoint> &points);

/// A slope of the capacity page: what was measured against what.
struct MeasuredSlope
{
    std::string name;
    /// Unit of the sizes and of the values.
    std::string sizeUnit;
    std::string valueUnit;
    std::vector<SlopePoint> points;
};

nlohmann::json toJson(const MeasuredSlope &slope);

/// One line for a person.
std::string lineOf(const MeasuredSlope &slope);

} // namespace Citronpitch
