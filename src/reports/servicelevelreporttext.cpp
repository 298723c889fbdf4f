#include "reports/servicelevelreport.h"

#include <nlohmann/json.hpp>

#include <ctime>
#include <iomanip>
#include <sstream>

namespace Citronpitch {

using Json = nlohmann::json;

namespace {

std::string timeText(TimePoint moment)
{
    const std::time_t time = microsecondsOf(moment) / 1'000'000;
    std::tm parts{};
    gmtime_r(&time, &parts);
    std::ostringstream text;
    text << std::put_time(&parts, "%Y-%m-%d %H:%M UTC");
    return text.str();
}

Json toJson(const std::vector<MissCount> &missCounts)
{
    Json list = Json::array();
    for (const auto &it : missCounts)
        list.push_back({{"name", it.name}, {"missed", it.missed}});
    return list;
}

Json toJson(const ClassServiceLevelReport &report)
{
    Json windows = Json::array();
    for (const auto &it : report.windows)
        windows.push_back({{"window", it.name},
                           {"lengthMs", it.length.count() / 1000},
                           {"answered", it.answered},
                           {"missed", it.missed},
                           {"burn", it.burnRate}});
    return {{"class", report.declaration.name},
            {"targetSharePpm", report.declaration.targetShare},
            {"targetTimeMs", report.declaration.targetTime.count() / 1000},
            {"windows", windows},
            {"budgetLeft", report.budgetLeft},
            {"runsOutAt", report.exhaustedAt ? Json(microsecondsOf(*report.exhaustedAt) / 1000) : Json()},
            {"upstreams", toJson(report.upstreams)},
            {"failureDomains", toJson(report.failureDomains)}};
}

void printMissCounts(std::ostream &out, const char *title, const std::vector<MissCount> &missCounts)
{
    constexpr std::size_t shown = 5;
    if (missCounts.empty())
        return;
    out << "  " << title;
    for (std::size_t i = 0; i < std::min(missCounts.size(), shown); ++i)
        out << (i == 0 ? " " : ", ") << missCounts[i].name << " (" << missCounts[i].missed << " missed)";
    out << "\n";
}

} // namespace

std::string serviceLevelReportText(const ServiceLevelReport &report)
{
    std::ostringstream out;
    out << std::fixed << "service-level burn rate at " << timeText(report.now) << ", over "
        << report.vms.size() << " entry VMs\n";
    for (const auto &it : report.unresponsiveVms)
        out << "no answer from " << it << ": its data is missing\n";
    for (const auto &it : report.classes) {
        out << "class " << it.declaration.name << ": " << std::setprecision(2)
            << static_cast<double>(it.declaration.targetShare) / 10'000 << "% within "
            << it.declaration.targetTime.count() / 1000 << " ms\n";
        for (const auto &window : it.windows)
            out << "  " << std::left << std::setw(6) << window.name << std::right << std::setw(10)
                << window.answered << " answered" << std::setw(9) << window.missed << " missed, burn rate "
                << window.burnRate << "\n";
        out << "  budget left " << std::setprecision(1) << it.budgetLeft * 100 << "%, "
            << (it.exhaustedAt ? "runs out " + timeText(*it.exhaustedAt) + " at the rate of the last hour"
                               : "does not run out at the rate of the last hour")
            << "\n";
        printMissCounts(out, "upstreams with most misses:", it.upstreams);
        printMissCounts(out, "failure domains with most misses:", it.failureDomains);
    }
    return out.str();
}

std::string serviceLevelReportJson(const ServiceLevelReport &report)
{
    Json classes = Json::array();
    for (const auto &it : report.classes)
        classes.push_back(toJson(it));
    const Json document{{"now", microsecondsOf(report.now) / 1000},
                        {"vms", report.vms},
                        {"silentVms", report.unresponsiveVms},
                        {"classes", classes}};
    return document.dump(2, ' ', false, Json::error_handler_t::replace);
}

} // namespace Citronpitch
