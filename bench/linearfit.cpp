#include "linearfit.h"

#include <nlohmann/json.hpp>

#include <array>
#include <cstdio>

namespace Citronpitch {

LinearFit fitLine(const std::vector<SlopePoint> &points)
{
    const auto n = static_cast<double>(points.size());
    if (points.size() < 2)
        return {};
    double meanSize = 0;
    double meanValue = 0;
    for (const auto &it : points) {
        meanSize += it.size / n;
        meanValue += it.value / n;
    }
    double sizes = 0;
    double values = 0;
    double products = 0;
    for (const auto &it : points) {
        sizes += (it.size - meanSize) * (it.size - meanSize);
        values += (it.value - meanValue) * (it.value - meanValue);
        products += (it.size - meanSize) * (it.value - meanValue);
    }
    if (sizes == 0)
        return {meanValue, 0, 0};
    const double slope = products / sizes;
    return {meanValue - slope * meanSize, slope, values == 0 ? 1 : slope * products / values};
}

nlohmann::json toJson(const MeasuredSlope &slope)
{
    const auto fit = fitLine(slope.points);
    auto points = nlohmann::json::array();
    for (const auto &it : slope.points)
        points.push_back({{"size", it.size}, {"value", it.value}});
    return {{"name", slope.name},      {"sizeUnit", slope.sizeUnit}, {"valueUnit", slope.valueUnit},
            {"points", points},        {"slope", fit.slope},         {"intercept", fit.intercept},
            {"rSquared", fit.rSquared}};
}

std::string lineOf(const MeasuredSlope &slope)
{
    const auto fit = fitLine(slope.points);
    std::array<char, 256> buf{};
    std::snprintf(buf.data(), buf.size(), "%-34s %12.4g %s per %s, %.4g at zero, r2 %.3f, %zu sizes",
                  slope.name.c_str(), fit.slope, slope.valueUnit.c_str(), slope.sizeUnit.c_str(),
                  fit.intercept, fit.rSquared, slope.points.size());
    return buf.data();
}

} // namespace Citronpitch
