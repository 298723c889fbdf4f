#pragma once

#include "citronpitch/configuration.h"
#include "citronpitch/slotracker.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Citronpitch {

/// What one entry VM serves for the report.
struct VmSloCounts
{
    std::string vm;
    std::string failureDomain;
    /// Clock of the entry VM when it answered.
    TimePoint now;
    /// Classes that are declared there, with their targets.
    std::vector<ClassDeclaration> declarations;
    std::vector<ClassSloCounts> classes;
};

/// Service level of a class within one window.
struct SloWindow
{
    std::string name;
    Duration length{};
    std::uint64_t answered = 0;
    std::uint64_t missed = 0;
    /// Share of jobs that missed over the share that may miss; one uses up the budget just in time.
    double burnRate = 0;
};

/// Misses that an upstream or a failure domain caused.
struct MissCount
{
    std::string name;
    std::uint64_t missed = 0;
};

/// One point of a plot.
struct BurnRatePoint
{
    TimePoint start;
    double burnRate = 0;
    std::uint64_t answered = 0;
};

/// The report on one class.
struct ClassSloReport
{
    ClassDeclaration declaration;
    /// From the fastest to the slowest.
    std::vector<SloWindow> windows;
    /// Part of the misses that the slowest window allows which is left; negative when overdrawn.
    double budgetLeft = 1;
    /// When the budget is used up at the rate of the last hour; nothing where it is not.
    std::optional<TimePoint> exhaustedAt;
    /// Largest first.
    std::vector<MissCount> upstreams;
    std::vector<MissCount> failureDomains;
    std::vector<BurnRatePoint> lastHour;
    std::vector<BurnRatePoint> lastDays;
};

/// The report on every class, merged over entry VMs.
struct SloReport
{
    TimePoint now;
    std::vector<std::string> vms;
    /// Entry VMs that did not answer; what they know is missing.
    std::vector<std::string> unresponsiveVms;
    /// The class with the highest burn of the last hour first.
    std::vector<ClassSloReport> classes;
};

/// Merges what the entry VMs serve; the moment of the report is the latest of their clocks.
SloReport makeSloReport(const std::vector<VmSloCounts> &vms, const std::vector<std::string> &unresponsiveVms);

/// The report as a table for a person.
std::string sloReportText(const SloReport &report);

/// The report as JSON.
std::string sloReportJson(const SloReport &report);

/// The report as one HTML page that needs no other file.
std::string sloReportHtml(const SloReport &report);

} // namespace Citronpitch
