#include "arrivals.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace Citronpitch {

namespace {

constexpr double checkShare = 0.7;
constexpr double forwardedShare = 0.1;
constexpr double resubmittedShare = 0.02;
constexpr std::array<std::uint32_t, 5> checkTasks{1, 1, 1, 1, 4};
constexpr std::array<double, 3> checkMilliseconds{50, 75, 100};
constexpr std::array<std::uint32_t, 4> batchTasks{4, 8, 16, 32};
constexpr std::array<double, 4> batchMilliseconds{50, 100, 200, 400};
constexpr std::array<std::uint32_t, 4> mixedTasks{1, 2, 4, 8};
constexpr double shortestMixed = 50;
constexpr double longestMixed = 3000;
constexpr std::uint32_t cancelledTasks = 64;
constexpr double cancelledMilliseconds = 500;

template <typename T, std::size_t N> double meanOf(const std::array<T, N> &values)
{
    double sum = 0;
    for (const auto it : values)
        sum += it;
    return sum / static_cast<double>(N);
}

/// Mean work of a job, in milliseconds of one slot.
double meanWork(const Scenario &scenario)
{
    if (scenario.isMixed) {
        const double meanTime = (longestMixed - shortestMixed) / std::log(longestMixed / shortestMixed);
        return meanOf(mixedTasks) * meanTime;
    }
    return checkShare * meanOf(checkTasks) * meanOf(checkMilliseconds)
        + (1 - checkShare) * meanOf(batchTasks) * meanOf(batchMilliseconds);
}

/// Draws the jobs of one run.
class ArrivalGenerator
{
public:
    explicit ArrivalGenerator(const ArrivalPlan &plan)
        : m_plan(plan)
        , m_random(plan.seed)
        , m_vm(plan.vmWeights.begin(), plan.vmWeights.end())
    {
    }

    std::vector<Arrival> generate()
    {
        const auto &scenario = m_plan.scenario;
        const double rate = scenario.utilisation * m_plan.capacity / meanWork(scenario);
        double seconds = 0;
        while (true) {
            const Duration at(static_cast<std::int64_t>(seconds * 1e6));
            if (at >= scenario.time)
                break;
            m_arrivals.push_back(draw(at));
            const bool isBurst = at >= scenario.eventAt && at < scenario.eventEnd;
            const double factor = isBurst ? scenario.burstFactor : 1;
            seconds += -std::log(1 - uniform()) / (rate * factor);
        }
        for (std::uint32_t i = 0; i < scenario.cancelledJobs; ++i)
            m_arrivals.push_back(cancelled());
        std::stable_sort(m_arrivals.begin(), m_arrivals.end(),
                         [](const auto &a, const auto &b) { return a.at < b.at; });
        return std::move(m_arrivals);
    }

private:
    double uniform()
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random);
    }

    template <typename T, std::size_t N> T pick(const std::array<T, N> &values)
    {
        return values.at(static_cast<std::size_t>(uniform() * N) % N);
    }

    Arrival draw(Duration at)
    {
        const auto &scenario = m_plan.scenario;
        Arrival arrival;
        arrival.at = at;
        arrival.vm = m_vm(m_random);
        const bool isCheck = uniform() < checkShare;
        arrival.className = isCheck ? checkClass : batchClass;
        if (scenario.isMixed) {
            arrival.tasks = pick(mixedTasks);
            arrival.milliseconds =
                std::round(shortestMixed * std::pow(longestMixed / shortestMixed, uniform()));
            arrival.className = batchClass;
        } else if (isCheck) {
            arrival.tasks = pick(checkTasks);
            arrival.milliseconds = pick(checkMilliseconds);
        } else {
            arrival.tasks = pick(batchTasks);
            arrival.milliseconds = pick(batchMilliseconds);
        }
        const double factor = uniform() < 0.5 ? scenario.declaredFactor : 1 / scenario.declaredFactor;
        arrival.declaredMilliseconds =
            static_cast<std::uint64_t>(std::max(std::round(arrival.milliseconds * factor), 1.0));
        arrival.isForwarded = uniform() < forwardedShare;
        arrival.isResubmitted = uniform() < resubmittedShare;
        if (uniform() < scenario.neverFitsShare)
            arrival.kind = ArrivalKind::NeverFits;
        return arrival;
    }

    Arrival cancelled()
    {
        Arrival arrival;
        arrival.at = m_plan.scenario.eventAt;
        arrival.kind = ArrivalKind::Cancelled;
        arrival.className = batchClass;
        arrival.tasks = cancelledTasks;
        arrival.milliseconds = cancelledMilliseconds;
        arrival.declaredMilliseconds = static_cast<std::uint64_t>(cancelledMilliseconds);
        arrival.vm = m_vm(m_random);
        return arrival;
    }

    const ArrivalPlan &m_plan;
    std::mt19937_64 m_random;
    std::discrete_distribution<std::size_t> m_vm;
    std::vector<Arrival> m_arrivals;
};

} // namespace

std::vector<Arrival> generateArrivals(const ArrivalPlan &plan)
{
    return ArrivalGenerator(plan).generate();
}

} // namespace Citronpitch
