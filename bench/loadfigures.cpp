#include "loadfigures.h"

#include <nlohmann/json.hpp>

#include "jobtext.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace Citronpitch {

using Json = nlohmann::json;

namespace {

/// Jobs that arrive before this are answered and checked, but their response times are left out.
constexpr Duration warmUp = std::chrono::milliseconds(1000);

struct ClassTarget
{
    const char *name;
    double milliseconds;
};

constexpr std::array<ClassTarget, 2> targets{ClassTarget{checkClass, 300}, ClassTarget{batchClass, 2000}};

double inMilliseconds(Duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

std::uint64_t startsOf(const SubmissionEnd &end, const StartRecords &records)
{
    std::uint64_t n = 0;
    for (std::uint32_t i = 0; i < end.arrival.tasks; ++i) {
        const auto it = records.starts.find(taskId(end.key, i));
        n += it == records.starts.end() ? 0 : static_cast<std::uint64_t>(it->second);
    }
    return n;
}

void countReason(LoadFigures &figures, const SubmissionEnd &end)
{
    if (end.end == EndKind::Complete)
        return;
    const auto it = std::find_if(figures.reasons.begin(), figures.reasons.end(),
                                 [&](const auto &other) { return other.reason == end.reason; });
    if (it == figures.reasons.end())
        figures.reasons.push_back({end.reason, 1});
    else
        ++it->jobs;
}

void countEnd(LoadFigures &figures, const SubmissionEnd &end)
{
    ++figures.jobs;
    figures.contradicted += end.isContradicted ? 1 : 0;
    switch (end.end) {
    case EndKind::Complete:
        ++figures.complete;
        break;
    case EndKind::Failed:
        ++(end.arrival.kind == ArrivalKind::Cancelled ? figures.cancelled : figures.failed);
        break;
    case EndKind::Refused:
        ++figures.refused;
        break;
    case EndKind::Unknown:
        ++figures.unknown;
        break;
    case EndKind::Lost:
        ++figures.lost;
        break;
    case EndKind::Partial:
        ++figures.partial;
        break;
    }
}

void countStarts(LoadFigures &figures, const SubmissionEnd &end, const StartRecords &records)
{
    const auto starts = startsOf(end, records);
    if (end.end == EndKind::Refused)
        figures.untrueRefusals += starts;
    const auto used = std::min<std::uint64_t>(end.ranOn.size(), starts);
    const bool isCancelled = end.arrival.kind == ArrivalKind::Cancelled;
    (isCancelled ? figures.cancelledStarts : figures.unusedStarts) += starts - used;
}

std::vector<ClassFigures> attainments(const std::vector<SubmissionEnd> &ends)
{
    std::vector<ClassFigures> list;
    for (const auto &target : targets) {
        std::uint64_t met = 0;
        std::uint64_t jobs = 0;
        for (const auto &it : ends) {
            const bool isCounted = it.arrival.kind == ArrivalKind::Ordinary && it.arrival.at >= warmUp;
            if (!isCounted || it.arrival.className != target.name)
                continue;
            ++jobs;
            met += it.end == EndKind::Complete && it.milliseconds <= target.milliseconds ? 1 : 0;
        }
        if (jobs > 0)
            list.push_back({target.name, target.milliseconds,
                            static_cast<double>(met) / static_cast<double>(jobs), jobs});
    }
    return list;
}

/// Milliseconds for which slots ran tasks whose results were used.
double usedMilliseconds(const SubmissionEnd &end, const LoadDeployment &deployment)
{
    double sum = 0;
    for (const auto &it : end.ranOn)
        sum += end.arrival.milliseconds * deployment.slownessOf(it);
    return sum;
}

} // namespace

bool LoadFigures::isSound() const
{
    return doubled == 0 && lost == 0 && partial == 0 && untrueRefusals == 0 && contradicted == 0;
}

std::string LoadFigures::line() const
{
    std::array<char, 512> buf{};
    std::snprintf(
        buf.data(), buf.size(),
        "%-17s over ideal p50 %.2f p99 %.2f mean %.3f | wasted %.4f a task | used %.0f%% | jobs %llu: "
        "complete %llu failed %llu cancelled %llu refused %llu unknown %llu | doubled %llu lost %llu "
        "partial %llu | late p99 %.2f ms |",
        policy.c_str(), ratio.percentile(0.5), ratio.percentile(0.99), ratio.mean(), wastedPerTask,
        utilisation * 100, static_cast<unsigned long long>(jobs), static_cast<unsigned long long>(complete),
        static_cast<unsigned long long>(failed), static_cast<unsigned long long>(cancelled),
        static_cast<unsigned long long>(refused), static_cast<unsigned long long>(unknown),
        static_cast<unsigned long long>(doubled), static_cast<unsigned long long>(lost),
        static_cast<unsigned long long>(partial), latenessP99);
    std::string text = buf.data();
    for (const auto &it : classes) {
        std::snprintf(buf.data(), buf.size(), " %s %.1f%%", it.className.c_str(), it.attainment * 100);
        text += buf.data();
    }
    return text;
}

LoadFigures loadFiguresOf(const CallerPool &pool, const LoadDeployment &deployment,
                          const StartRecords &records, const Scenario &scenario, SiteDelays delays)
{
    LoadFigures figures;
    double used = 0;
    for (const auto &it : pool.ends()) {
        countEnd(figures, it);
        countReason(figures, it);
        countStarts(figures, it, records);
        used += usedMilliseconds(it, deployment);
        if (it.end != EndKind::Complete || it.arrival.at < warmUp || it.arrival.kind != ArrivalKind::Ordinary)
            continue;
        const double ideal = deployment.idealMilliseconds(it.arrival.tasks, it.arrival.milliseconds)
            + 2 * inMilliseconds(delays.toClients);
        figures.ratio.add(it.milliseconds / ideal);
    }
    figures.classes = attainments(pool.ends());
    figures.doubled = records.doubled;
    figures.starts = records.started;
    figures.declinedStarts = records.declined;
    figures.duplicateStarts = records.duplicates;
    figures.utilisation = used / (deployment.slots() * inMilliseconds(scenario.time));
    figures.latenessP99 = pool.lateness().percentile(0.99);
    return figures;
}

nlohmann::json toJson(const LoadFigures &figures)
{
    auto classes = Json::array();
    for (const auto &it : figures.classes)
        classes.push_back({{"class", it.className},
                           {"targetMs", it.targetMilliseconds},
                           {"attainment", it.attainment},
                           {"jobs", it.jobs}});
    auto reasons = Json::object();
    for (const auto &it : figures.reasons)
        reasons[it.reason] = it.jobs;
    return {{"policy", figures.policy},
            {"reasons", reasons},
            {"responseOverIdeal",
             {{"p50", figures.ratio.percentile(0.5)},
              {"p99", figures.ratio.percentile(0.99)},
              {"mean", figures.ratio.mean()},
              {"jobs", figures.ratio.count()}}},
            {"classes", classes},
            {"jobs", figures.jobs},
            {"complete", figures.complete},
            {"failed", figures.failed},
            {"cancelled", figures.cancelled},
            {"refused", figures.refused},
            {"unknown", figures.unknown},
            {"lost", figures.lost},
            {"partial", figures.partial},
            {"doubled", figures.doubled},
            {"untrueRefusals", figures.untrueRefusals},
            {"contradicted", figures.contradicted},
            {"starts", figures.starts},
            {"declinedStarts", figures.declinedStarts},
            {"duplicateStarts", figures.duplicateStarts},
            {"unusedStarts", figures.unusedStarts},
            {"cancelledStarts", figures.cancelledStarts},
            {"resentForwards", figures.resentForwards},
            {"wastedPerTask", figures.wastedPerTask},
            {"utilisation", figures.utilisation},
            {"silentLinks", figures.silentLinks},
            {"latenessP99Ms", figures.latenessP99},
            {"shutdownClean", figures.isShutdownClean},
            {"sound", figures.isSound()}};
}

} // namespace Citronpitch
