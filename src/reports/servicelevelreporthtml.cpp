#include "reports/servicelevelreport.h"

#include <algorithm>
#include <ctime>
#include <iomanip>
#include <sstream>

namespace Citronpitch {

namespace {

constexpr double plotWidth = 720;
constexpr double plotHeight = 140;
constexpr double leftMargin = 46;
constexpr double bottomMargin = 22;
constexpr double topMargin = 8;
/// Minimum upper end of the scale, so that the line at burn rate 1 is always visible.
constexpr double minimumScaleTop = 2;
constexpr int tickCount = 6;

constexpr const char *style =
    "body{font:15px/1.45 system-ui,sans-serif;max-width:56em;margin:2em auto;padding:0 1em;color:#222}"
    "h2{margin:2em 0 .2em;border-top:1px solid #ccc;padding-top:1em}"
    "table{border-collapse:collapse;margin:.6em 0}th,td{padding:.2em .9em .2em 0;text-align:right}"
    "th:first-child,td:first-child{text-align:left}th{border-bottom:1px solid #999;font-weight:600}"
    ".bad{color:#b00020;font-weight:600}.good{color:#1b6e3c}.costs{display:flex;gap:4em;flex-wrap:wrap}"
    "svg{display:block;margin:.3em 0 1em}svg text{font:11px system-ui,sans-serif;fill:#555}"
    "figcaption{font-size:13px;color:#555}figure{margin:0}";

std::string escaped(const std::string &text)
{
    std::string out;
    for (const char c : text) {
        switch (c) {
        case '&':
            out += "&amp;";
            break;
        case '<':
            out += "&lt;";
            break;
        case '>':
            out += "&gt;";
            break;
        case '"':
            out += "&quot;";
            break;
        default:
            out += c;
        }
    }
    return out;
}

std::string timeText(TimePoint moment, const char *format)
{
    const std::time_t time = microsecondsOf(moment) / 1'000'000;
    std::tm parts{};
    gmtime_r(&time, &parts);
    std::ostringstream text;
    text << std::put_time(&parts, format);
    return text.str();
}

std::string number(double value, int digits)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(digits) << value;
    return text.str();
}

/// Data and time axis of a plot; points outside of the time axis are not drawn.
struct Plot
{
    const std::vector<BurnRatePoint> &points;
    TimePoint start;
    TimePoint end;
    Duration bucket{};
    const char *timeFormat;
};

double scaleOf(const Plot &plot)
{
    double scale = minimumScaleTop;
    for (const auto &it : plot.points)
        scale = std::max(scale, it.burnRate);
    return scale;
}

double xOf(const Plot &plot, TimePoint moment)
{
    const auto part = static_cast<double>((moment - plot.start).count())
        / static_cast<double>((plot.end - plot.start).count());
    return leftMargin + part * (plotWidth - leftMargin);
}

double yOf(double burnRate, double scale)
{
    return topMargin + (1 - burnRate / scale) * (plotHeight - topMargin - bottomMargin);
}

void drawAxes(std::ostream &out, const Plot &plot, double scale)
{
    const auto bottom = yOf(0, scale);
    out << "<line x1='" << leftMargin << "' x2='" << plotWidth << "' y1='" << bottom << "' y2='" << bottom
        << "' stroke='#999'/>";
    for (const double it : {0.0, 1.0, scale})
        out << "<text x='" << leftMargin - 6 << "' y='" << yOf(it, scale) + 4 << "' text-anchor='end'>"
            << number(it, it < 10 ? 1 : 0) << "</text>";
    for (int i = 0; i <= tickCount; ++i) {
        const auto moment = plot.start + (plot.end - plot.start) * i / tickCount;
        const auto *anchor = i == 0 ? "start" : i == tickCount ? "end" : "middle";
        out << "<text x='" << xOf(plot, moment) << "' y='" << plotHeight - 6 << "' text-anchor='" << anchor
            << "'>" << timeText(moment, plot.timeFormat) << "</text>";
    }
}

std::string svgOf(const Plot &plot)
{
    const auto scale = scaleOf(plot);
    std::ostringstream out;
    out << "<svg role='img' width='" << plotWidth << "' height='" << plotHeight << "' viewBox='0 0 "
        << plotWidth << " " << plotHeight << "'>";
    drawAxes(out, plot, scale);
    for (const auto &it : plot.points) {
        if (it.start < plot.start || it.start >= plot.end)
            continue;
        const auto x = xOf(plot, it.start);
        const auto width = std::max(xOf(plot, it.start + plot.bucket) - x - 1, 1.0);
        // Buckets without misses are drawn as a thin line to show that jobs were answered.
        const auto top = std::min(yOf(it.burnRate, scale), yOf(0, scale) - 1);
        out << "<rect x='" << x << "' y='" << top << "' width='" << width << "' height='"
            << yOf(0, scale) - top << "' fill='" << (it.burnRate > 1 ? "#b00020" : "#3b7a57") << "'><title>"
            << timeText(it.start, "%d %b %H:%M") << ": burn rate " << number(it.burnRate, 2) << ", "
            << it.answered << " answered</title></rect>";
    }
    const auto one = yOf(1, scale);
    out << "<line x1='" << leftMargin << "' x2='" << plotWidth << "' y1='" << one << "' y2='" << one
        << "' stroke='#444' stroke-dasharray='4 3'/></svg>";
    return out.str();
}

void drawWindows(std::ostream &out, const ClassServiceLevelReport &report)
{
    out << "<table><tr><th>window</th><th>answered</th><th>missed</th><th>burn rate</th></tr>";
    for (const auto &it : report.windows)
        out << "<tr><td>" << it.name << "</td><td>" << it.answered << "</td><td>" << it.missed
            << "</td><td class='" << (it.burnRate > 1 ? "bad" : "good") << "'>" << number(it.burnRate, 2)
            << "</td></tr>";
    out << "</table>";
}

void drawMissCounts(std::ostream &out, const char *title, const std::vector<MissCount> &missCounts)
{
    constexpr std::size_t shown = 10;
    out << "<table><tr><th>" << title << "</th><th>missed</th></tr>";
    if (missCounts.empty())
        out << "<tr><td>none</td><td>0</td></tr>";
    for (std::size_t i = 0; i < std::min(missCounts.size(), shown); ++i)
        out << "<tr><td>" << escaped(missCounts[i].name) << "</td><td>" << missCounts[i].missed
            << "</td></tr>";
    out << "</table>";
}

void drawClass(std::ostream &out, TimePoint now, const ClassServiceLevelReport &report)
{
    const auto &declaration = report.declaration;
    const auto hourEnd = std::chrono::floor<std::chrono::minutes>(now) + std::chrono::minutes(1);
    const auto hourStart = hourEnd - std::chrono::hours(1);
    const auto daysStart = hourEnd - std::chrono::hours(72);
    out << "<h2>" << escaped(declaration.name)
        << "</h2><p>Target: " << number(static_cast<double>(declaration.targetShare) / 10'000, 2)
        << "% of the jobs answered within " << declaration.targetTime.count() / 1000
        << " ms. Budget left: <span class='" << (report.budgetLeft > 0 ? "good" : "bad") << "'>"
        << number(report.budgetLeft * 100, 1) << "%</span>; ";
    if (report.exhaustedAt)
        out << "<span class='bad'>it runs out " << timeText(*report.exhaustedAt, "%d %b %H:%M UTC")
            << "</span> at the rate of the last hour.</p>";
    else
        out << "it does not run out at the rate of the last hour.</p>";
    drawWindows(out, report);
    out << "<figure><figcaption>Burn rate per minute, last hour. Dashed: burn rate 1, at which the budget is "
           "used "
           "up exactly at the end of its period.</figcaption>"
        << svgOf({report.lastHour, hourStart, hourEnd, serviceLevelMinuteBucket, "%H:%M"})
        << "</figure><figure><figcaption>Burn rate per quarter of an hour, last three days.</figcaption>"
        << svgOf({report.lastDays, daysStart, hourEnd, serviceLevelQuarterHourBucket, "%d %b %H:%M"})
        << "</figure><div class='costs'>";
    drawMissCounts(out, "upstreams with most misses", report.upstreams);
    drawMissCounts(out, "failure domains with most misses", report.failureDomains);
    out << "</div>";
}

} // namespace

std::string serviceLevelReportHtml(const ServiceLevelReport &report)
{
    std::ostringstream out;
    out << "<!DOCTYPE html><html lang='en'><head><meta charset='utf-8'><title>Service-level "
           "burn rate</title><style>"
        << style << "</style></head><body><h1>Service-level burn rate</h1><p>"
        << timeText(report.now, "%d %B %Y, %H:%M UTC") << ", merged over " << report.vms.size()
        << " entry VMs. The burn rate is the share of jobs that missed the target divided by the share "
           "allowed to miss.</p>";
    for (const auto &it : report.unresponsiveVms)
        out << "<p class='bad'>No answer from " << escaped(it) << ": its data is missing.</p>";
    if (report.classes.empty())
        out << "<p>No class is declared and no job was answered.</p>";
    for (const auto &it : report.classes)
        drawClass(out, report.now, it);
    out << "</body></html>\n";
    return out.str();
}

} // namespace Citronpitch
