#pragma once

#include "citronpitch/configuration.h"
#include "citronpitch/serviceleveltracker.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Citronpitch {

/// SLO counters of one entry VM.
struct VmServiceLevelCounts
{
    std::string vm;
    std::string failureDomain;
    /// Clock of the entry VM at the time of its answer.
    TimePoint now;
    /// Classes declared on the entry VM, with their targets.
    std::vector<ClassDeclaration> declarations;
    std::vector<ClassServiceLevelCounts> classes;
};

/// Service level of a class within one time window.
struct ServiceLevelWindow
{
    std::string name;
    Duration length{};
    std::uint64_t answered = 0;
    std::uint64_t missed = 0;
    /// Share of jobs that missed the SLO, divided by the share allowed to miss. At 1 the error budget is used
    /// up exactly at the end of its period.
    double burnRate = 0;
};

/// Number of misses attributed to an upstream, or counted by the entry VMs of a failure domain.
struct MissCount
{
    std::string name;
    std::uint64_t missed = 0;
};

/// Data point of a burn rate plot.
struct BurnRatePoint
{
    TimePoint start;
    double burnRate = 0;
    std::uint64_t answered = 0;
};

/// Service-level report of one class.
struct ClassServiceLevelReport
{
    ClassDeclaration declaration;
    /// Ordered by length, shortest first.
    std::vector<ServiceLevelWindow> windows;
    /// Remaining fraction of the error budget of the longest window; negative if it is exceeded.
    double budgetLeft = 1;
    /// Time at which the budget is exhausted at the burn rate of the last hour, or the time of the report if
    /// it is exhausted already; std::nullopt if that rate is at most 1.
    std::optional<TimePoint> exhaustedAt;
    /// Ordered by number of misses, largest first.
    std::vector<MissCount> upstreams;
    /// Ordered by number of misses, largest first.
    std::vector<MissCount> failureDomains;
    std::vector<BurnRatePoint> lastHour;
    std::vector<BurnRatePoint> lastDays;
};

/// Service-level report of all classes, merged over entry VMs.
struct ServiceLevelReport
{
    TimePoint now;
    std::vector<std::string> vms;
    /// Entry VMs that did not answer; their counters are missing from the report.
    std::vector<std::string> unresponsiveVms;
    /// Ordered by burn rate of the last hour, highest first.
    std::vector<ClassServiceLevelReport> classes;
};

/// Merges the counters of entry VMs; the time of the report is the latest of their clocks.
ServiceLevelReport makeServiceLevelReport(const std::vector<VmServiceLevelCounts> &vms,
                                          const std::vector<std::string> &unresponsiveVms);

/// Formats the report as plain text.
std::string serviceLevelReportText(const ServiceLevelReport &report);

/// Formats the report as JSON.
std::string serviceLevelReportJson(const ServiceLevelReport &report);

/// Formats the report as a self-contained HTML page.
std::string serviceLevelReportHtml(const ServiceLevelReport &report);

} // namespace Citronpitch
