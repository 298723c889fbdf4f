#include "plot.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <sstream>

namespace Citronpitch {

namespace {

constexpr double width = 760;
constexpr double height = 420;
constexpr double left = 60;
constexpr double top = 40;
constexpr double plotWidth = 520;
constexpr double plotHeight = 320;
constexpr int points = 200;
constexpr std::array<const char *, 5> colours{"#c0392b", "#2471a3", "#1e8449", "#b7950b", "#6c3483"};
constexpr std::array<double, 9> ticks{1, 1.2, 1.5, 2, 3, 5, 10, 30, 100};

double largestOf(const std::vector<PlotCurve> &curves)
{
    double largest = 2;
    for (const auto &it : curves)
        largest = std::max(largest, it.values.percentile(0.995));
    return largest;
}

double horizontal(double value, double largest)
{
    return left + plotWidth * std::log(std::max(value, 1.0)) / std::log(largest);
}

double vertical(double share)
{
    return top + plotHeight * (1 - share);
}

void drawAxes(std::ostringstream &svg, const std::string &axis, double largest)
{
    svg << "<rect x='" << left << "' y='" << top << "' width='" << plotWidth << "' height='" << plotHeight
        << "' fill='none' stroke='#888'/>\n";
    for (const double it : ticks) {
        if (it > largest)
            break;
        const double x = horizontal(it, largest);
        svg << "<line x1='" << x << "' x2='" << x << "' y1='" << top << "' y2='" << top + plotHeight
            << "' stroke='#ddd'/><text x='" << x << "' y='" << top + plotHeight + 16
            << "' text-anchor='middle'>" << it << "</text>\n";
    }
    for (int i = 0; i <= 10; i += 2) {
        const double y = vertical(i / 10.0);
        svg << "<line x1='" << left << "' x2='" << left + plotWidth << "' y1='" << y << "' y2='" << y
            << "' stroke='#ddd'/><text x='" << left - 6 << "' y='" << y + 4 << "' text-anchor='end'>"
            << i * 10 << "%</text>\n";
    }
    svg << "<text x='" << left + plotWidth / 2 << "' y='" << top + plotHeight + 38
        << "' text-anchor='middle'>" << axis << "</text>\n";
}

void drawCurve(std::ostringstream &svg, const PlotCurve &curve, const char *colour, double largest)
{
    svg << "<polyline fill='none' stroke-width='2' stroke='" << colour << "' points='";
    for (int i = 0; i <= points; ++i) {
        const double share = static_cast<double>(i) / points;
        const double value = std::min(curve.values.percentile(share), largest);
        svg << horizontal(value, largest) << "," << vertical(share) << " ";
    }
    svg << "'/>\n";
}

} // namespace

std::string distributionPlot(const std::string &title, const std::string &axis,
                             const std::vector<PlotCurve> &curves)
{
    const double largest = largestOf(curves);
    std::ostringstream svg;
    svg.precision(4);
    svg << "<svg xmlns='http://www.w3.org/2000/svg' width='" << width << "' height='" << height
        << "' font-family='sans-serif' font-size='12'>\n<rect width='100%' height='100%' fill='white'/>\n"
        << "<text x='" << left << "' y='24' font-size='15'>" << title << "</text>\n";
    drawAxes(svg, axis, largest);
    double y = top + 16;
    for (std::size_t i = 0; i < curves.size(); ++i) {
        const auto *colour = colours.at(i % colours.size());
        drawCurve(svg, curves[i], colour, largest);
        svg << "<text x='" << left + plotWidth + 12 << "' y='" << y << "' fill='" << colour << "'>"
            << curves[i].name << "</text>\n";
        y += 18;
    }
    svg << "</svg>\n";
    return svg.str();
}

} // namespace Citronpitch
