#include "reports/servicelevelreport.h"

#include <algorithm>
#include <array>
#include <map>

namespace Citronpitch {

namespace {

constexpr double partsPerMillion = 1'000'000;

/// Time window of the report and the length of the buckets that are summed for it.
struct WindowSpec
{
    const char *name;
    Duration length;
    Duration bucket;
};

constexpr Duration hour = std::chrono::hours(1);
constexpr Duration budgetPeriod = std::chrono::hours(72);

constexpr std::array windowSpecs{
    WindowSpec{"5 min", std::chrono::minutes(5), serviceLevelMinuteBucket},
    WindowSpec{"1 h", hour, serviceLevelMinuteBucket},
    WindowSpec{"6 h", std::chrono::hours(6), serviceLevelQuarterHourBucket},
    WindowSpec{"3 d", budgetPeriod, serviceLevelQuarterHourBucket},
};

constexpr std::size_t hourWindow = 1;
constexpr std::size_t budgetWindow = 3;

/// Counters of one class, summed over all entry VMs.
struct MergedClass
{
    ClassDeclaration declaration;
    std::map<std::int64_t, ServiceLevelBucket> minutes;
    std::map<std::int64_t, ServiceLevelBucket> quarters;
    std::map<std::string, std::uint64_t> upstreams;
    std::map<std::string, std::uint64_t> failureDomains;
};

using MergedClasses = std::map<std::string, MergedClass>;

void addBuckets(std::map<std::int64_t, ServiceLevelBucket> &sums,
                const std::vector<ServiceLevelBucket> &buckets)
{
    for (const auto &it : buckets) {
        auto &sum = sums[it.number];
        sum.number = it.number;
        sum.answered += it.answered;
        sum.missed += it.missed;
    }
}

MergedClasses merge(const std::vector<VmServiceLevelCounts> &vms)
{
    MergedClasses merged;
    for (const auto &vm : vms) {
        for (const auto &it : vm.declarations)
            merged[it.name].declaration = it;
        for (const auto &it : vm.classes) {
            auto &sums = merged[it.name];
            sums.declaration.name = it.name;
            addBuckets(sums.minutes, it.minutes);
            addBuckets(sums.quarters, it.quarters);
            for (const auto &cost : it.upstreams)
                sums.upstreams[cost.upstream] += cost.missed;
            for (const auto &bucket : it.quarters)
                sums.failureDomains[vm.failureDomain] += bucket.missed;
        }
    }
    return merged;
}

double burnRateOf(const ClassDeclaration &declaration, std::uint64_t answered, std::uint64_t missed)
{
    if (answered == 0)
        return 0;
    const auto missedShare = static_cast<double>(missed) / static_cast<double>(answered);
    // A target share of 100% allows no misses; the lower bound of 0.001 ppm avoids a division by zero.
    const auto allowedShare =
        std::max(1 - static_cast<double>(declaration.targetShare) / partsPerMillion, 1e-9);
    return missedShare / allowedShare;
}

ServiceLevelWindow windowOf(TimePoint now, const MergedClass &merged, const WindowSpec &spec)
{
    ServiceLevelWindow window{spec.name, spec.length};
    const auto &buckets = spec.bucket == serviceLevelMinuteBucket ? merged.minutes : merged.quarters;
    const auto newest = microsecondsOf(now) / spec.bucket.count();
    const auto oldest = newest - spec.length / spec.bucket + 1;
    for (auto it = buckets.lower_bound(oldest); it != buckets.end(); ++it) {
        window.answered += it->second.answered;
        window.missed += it->second.missed;
    }
    window.burnRate = burnRateOf(merged.declaration, window.answered, window.missed);
    return window;
}

std::vector<MissCount> sorted(const std::map<std::string, std::uint64_t> &missCounts)
{
    std::vector<MissCount> list;
    for (const auto &[name, missed] : missCounts) {
        if (missed > 0)
            list.push_back({name, missed});
    }
    std::stable_sort(list.begin(), list.end(),
                     [](const auto &a, const auto &b) { return a.missed > b.missed; });
    return list;
}

std::vector<BurnRatePoint> pointsOf(const ClassDeclaration &declaration,
                                    const std::map<std::int64_t, ServiceLevelBucket> &buckets,
                                    Duration length)
{
    std::vector<BurnRatePoint> points;
    for (const auto &[number, bucket] : buckets)
        points.push_back({timePointOf(number * length.count()),
                          burnRateOf(declaration, bucket.answered, bucket.missed), bucket.answered});
    return points;
}

std::optional<TimePoint> exhaustedAt(TimePoint now, double budgetLeft, double burnRate)
{
    if (burnRate <= 1)
        return std::nullopt;
    if (budgetLeft <= 0)
        return now;
    const auto left = static_cast<double>(budgetPeriod.count()) * budgetLeft / burnRate;
    return now + Duration(static_cast<std::int64_t>(left));
}

ClassServiceLevelReport reportOf(TimePoint now, const MergedClass &merged)
{
    ClassServiceLevelReport report;
    report.declaration = merged.declaration;
    for (const auto &it : windowSpecs)
        report.windows.push_back(windowOf(now, merged, it));
    report.budgetLeft = 1 - report.windows[budgetWindow].burnRate;
    report.exhaustedAt = exhaustedAt(now, report.budgetLeft, report.windows[hourWindow].burnRate);
    report.upstreams = sorted(merged.upstreams);
    report.failureDomains = sorted(merged.failureDomains);
    report.lastHour = pointsOf(merged.declaration, merged.minutes, serviceLevelMinuteBucket);
    report.lastDays = pointsOf(merged.declaration, merged.quarters, serviceLevelQuarterHourBucket);
    return report;
}

} // namespace

ServiceLevelReport makeServiceLevelReport(const std::vector<VmServiceLevelCounts> &vms,
                                          const std::vector<std::string> &unresponsiveVms)
{
    ServiceLevelReport report;
    report.unresponsiveVms = unresponsiveVms;
    for (const auto &it : vms) {
        report.vms.push_back(it.vm);
        report.now = std::max(report.now, it.now);
    }
    for (const auto &[name, merged] : merge(vms))
        report.classes.push_back(reportOf(report.now, merged));
    std::stable_sort(report.classes.begin(), report.classes.end(), [](const auto &a, const auto &b) {
        return a.windows[hourWindow].burnRate > b.windows[hourWindow].burnRate;
    });
    return report;
}

} // namespace Citronpitch
