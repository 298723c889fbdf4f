#include "reports/sloreport.h"

#include <algorithm>
#include <array>
#include <map>

namespace Citronpitch {

namespace {

constexpr double partsPerMillion = 1'000'000;

/// A window of the report and the buckets from which it is summed.
struct WindowSpec
{
    const char *name;
    Duration length;
    Duration bucket;
};

constexpr Duration hour = std::chrono::hours(1);
constexpr Duration budgetPeriod = std::chrono::hours(72);

constexpr std::array windowSpecs{
    WindowSpec{"5 min", std::chrono::minutes(5), sloMinuteBucket},
    WindowSpec{"1 h", hour, sloMinuteBucket},
    WindowSpec{"6 h", std::chrono::hours(6), sloQuarterHourBucket},
    WindowSpec{"3 d", budgetPeriod, sloQuarterHourBucket},
};

constexpr std::size_t hourWindow = 1;
constexpr std::size_t budgetWindow = 3;

/// Sums of one class over all entry VMs.
struct MergedClass
{
    ClassDeclaration declaration;
    std::map<std::int64_t, SloBucket> minutes;
    std::map<std::int64_t, SloBucket> quarters;
    std::map<std::string, std::uint64_t> upstreams;
    std::map<std::string, std::uint64_t> failureDomains;
};

using MergedClasses = std::map<std::string, MergedClass>;

void addBuckets(std::map<std::int64_t, SloBucket> &sums, const std::vector<SloBucket> &buckets)
{
    for (const auto &it : buckets) {
        auto &sum = sums[it.number];
        sum.number = it.number;
        sum.answered += it.answered;
        sum.missed += it.missed;
    }
}

MergedClasses merge(const std::vector<VmSloCounts> &vms)
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
    // A target of the whole share allows no miss; a thousandth of a part per million stands for none.
    const auto allowedShare =
        std::max(1 - static_cast<double>(declaration.targetShare) / partsPerMillion, 1e-9);
    return missedShare / allowedShare;
}

SloWindow windowOf(TimePoint now, const MergedClass &merged, const WindowSpec &spec)
{
    SloWindow window{spec.name, spec.length};
    const auto &buckets = spec.bucket == sloMinuteBucket ? merged.minutes : merged.quarters;
    const auto newest = microsecondsOf(now) / spec.bucket.count();
    const auto oldest = newest - spec.length / spec.bucket + 1;
    for (auto it = buckets.lower_bound(oldest); it != buckets.end(); ++it) {
        window.answered += it->second.answered;
        window.missed += it->second.missed;
    }
    window.burnRate = burnRateOf(merged.declaration, window.answered, window.missed);
    return window;
}

std::vector<MissCount> sorted(const std::map<std::string, std::uint64_t> &costs)
{
    std::vector<MissCount> list;
    for (const auto &[name, missed] : costs) {
        if (missed > 0)
            list.push_back({name, missed});
    }
    std::stable_sort(list.begin(), list.end(),
                     [](const auto &a, const auto &b) { return a.missed > b.missed; });
    return list;
}

std::vector<BurnRatePoint> pointsOf(const ClassDeclaration &declaration,
                                    const std::map<std::int64_t, SloBucket> &buckets, Duration length)
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

ClassSloReport reportOf(TimePoint now, const MergedClass &merged)
{
    ClassSloReport report;
    report.declaration = merged.declaration;
    for (const auto &it : windowSpecs)
        report.windows.push_back(windowOf(now, merged, it));
    report.budgetLeft = 1 - report.windows[budgetWindow].burnRate;
    report.exhaustedAt = exhaustedAt(now, report.budgetLeft, report.windows[hourWindow].burnRate);
    report.upstreams = sorted(merged.upstreams);
    report.failureDomains = sorted(merged.failureDomains);
    report.lastHour = pointsOf(merged.declaration, merged.minutes, sloMinuteBucket);
    report.lastDays = pointsOf(merged.declaration, merged.quarters, sloQuarterHourBucket);
    return report;
}

} // namespace

SloReport makeSloReport(const std::vector<VmSloCounts> &vms, const std::vector<std::string> &unresponsiveVms)
{
    SloReport report;
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
