#pragma once

#include "citronpitch/burnledger.h"
#include "citronpitch/configuration.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Citronpitch {

/// What one entry VM serves for the report.
struct VmBurn
{
    std::string vm;
    std::string failureDomain;
    /// Clock of the entry VM when it answered.
    TimePoint now;
    /// Classes that are declared there, with their targets.
    std::vector<ClassDeclaration> declarations;
    std::vector<ClassBurn> classes;
};

/// Service level of a class within one window.
struct BurnWindow
{
    std::string name;
    Duration length{};
    std::uint64_t answered = 0;
    std::uint64_t missed = 0;
    /// Share of jobs that missed over the share that may miss; one uses up the budget just in time.
    double burn = 0;
};

/// Misses that an upstream or a failure domain caused.
struct BurnCost
{
    std::string name;
    std::uint64_t missed = 0;
};

/// One point of a plot.
struct BurnPoint
{
    TimePoint start;
    double burn = 0;
    std::uint64_t answered = 0;
};

/// The report on one class.
struct ClassReport
{
    ClassDeclaration declaration;
    /// From the fastest to the slowest.
    std::vector<BurnWindow> windows;
    /// Part of the misses that the slowest window allows which is left; negative when overdrawn.
    double budgetLeft = 1;
    /// When the budget is used up at the rate of the last hour; nothing where it is not.
    std::optional<TimePoint> runsOutAt;
    /// Largest first.
    std::vector<BurnCost> upstreams;
    std::vector<BurnCost> failureDomains;
    std::vector<BurnPoint> lastHour;
    std::vector<BurnPoint> lastDays;
};

/// The report on every class, merged over entry VMs.
struct BurnReport
{
    TimePoint now;
    std::vector<std::string> vms;
    /// Entry VMs that did not answer; what they know is missing.
    std::vector<std::string> silentVms;
    /// The class with the highest burn of the last hour first.
    std::vector<ClassReport> classes;
};

/// Merges what the entry VMs serve; the moment of the report is the latest of their clocks.
BurnReport makeBurnReport(const std::vector<VmBurn> &vms, const std::vector<std::string> &silentVms);

/// The report as a table for a person.
std::string burnReportText(const BurnReport &report);

/// The report as JSON.
std::string burnReportJson(const BurnReport &report);

/// The report as one HTML page that needs no other file.
std::string burnReportHtml(const BurnReport &report);

} // namespace Citronpitch
