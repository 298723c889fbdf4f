#include "virtualrun.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <queue>
#include <random>
#include <tuple>

namespace Citronpitch {

namespace {

using namespace std::chrono_literals;

const TimePoint start = timePointOf(1'700'000'000'000'000);
constexpr double shortMean = 150'000;
constexpr double longMean = 2'000'000;
constexpr double longShare = 0.1;
constexpr double spread = 0.6;
constexpr Duration targetOfShort = 500ms;
constexpr Duration targetOfLong = 5s;

struct ArrivingJob
{
    TimePoint arrival;
    Submission submission;
    std::vector<Duration> times;
    Duration ideal{};
};

struct Ending
{
    TimePoint at;
    AttemptId attempt = 0;
    JobId job = 0;
    bool isFailure = false;
    bool operator>(const Ending &other) const
    {
        return std::tie(at, attempt) > std::tie(other.at, other.attempt);
    }
};

bool isSlow(const VirtualScenario &scenario, std::uint32_t upstream)
{
    return upstream % 10 < scenario.slowShare * 10;
}

double capacityOf(const VirtualScenario &scenario)
{
    double capacity = 0;
    for (std::uint32_t i = scenario.blackHoles; i < scenario.upstreams; ++i)
        capacity += scenario.slots / (isSlow(scenario, i) ? scenario.slowness : 1);
    return capacity;
}

std::uint32_t fastSlots(const VirtualScenario &scenario)
{
    std::uint32_t n = 0;
    for (std::uint32_t i = scenario.blackHoles; i < scenario.upstreams; ++i)
        n += isSlow(scenario, i) ? 0 : scenario.slots;
    return n;
}

Duration idealOf(const VirtualScenario &scenario, const std::vector<Duration> &times)
{
    Duration work{};
    for (const auto it : times)
        work += it;
    return std::max(*std::max_element(times.begin(), times.end()), work / fastSlots(scenario));
}

std::vector<ArrivingJob> arrivalsOf(const VirtualScenario &scenario, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::lognormal_distribution<double> shape(-spread * spread / 2, spread);
    std::uniform_real_distribution<double> uniform;
    const double meanTasks = 1 + scenario.wideShare * (scenario.wideTasks - 1);
    const double meanTime = (1 - longShare) * shortMean + longShare * longMean;
    const double rate = scenario.load * capacityOf(scenario) / (meanTasks * meanTime);
    std::exponential_distribution<double> gap(rate);
    std::vector<ArrivingJob> jobs;
    double at = gap(random);
    for (; at < static_cast<double>(scenario.length.count()); at += gap(random)) {
        ArrivingJob job;
        job.arrival = start + Duration(static_cast<std::int64_t>(at));
        const bool isLong = uniform(random) < longShare;
        const bool isWide = uniform(random) < scenario.wideShare;
        job.submission.team = "team";
        job.submission.key = "key" + std::to_string(jobs.size());
        job.submission.className = isLong ? "long" : "short";
        job.submission.deadline = job.arrival + 30s;
        job.submission.tasks.resize(isWide ? scenario.wideTasks : 1);
        for (auto &it : job.submission.tasks) {
            const double time = (isLong ? longMean : shortMean) * shape(random);
            const double error = std::pow(scenario.declaredError, 2 * uniform(random) - 1);
            it.declaredTime = Duration(static_cast<std::int64_t>(time * error));
            job.times.emplace_back(static_cast<std::int64_t>(time));
        }
        job.ideal = idealOf(scenario, job.times);
        jobs.push_back(std::move(job));
    }
    return jobs;
}

/// One run: arrivals, endings and the dispatcher between them.
class VirtualRun
{
public:
    VirtualRun(const VirtualScenario &scenario, PlacementPolicy policy, std::uint64_t seed)
        : m_scenario(scenario)
        , m_arrivals(arrivalsOf(scenario, seed))
        , m_dispatcher({policy, seed})
    {
        Configuration configuration;
        configuration.classes = {{"short", 990000, targetOfShort}, {"long", 990000, targetOfLong}};
        m_dispatcher.setConfiguration(configuration);
        for (std::uint32_t i = 0; i < scenario.upstreams; ++i)
            announce(i);
    }

    VirtualFigures run()
    {
        std::size_t next = 0;
        auto tick = start;
        while (next < m_arrivals.size() || !m_endings.empty() || m_dispatcher.queuedTasks() > 0) {
            auto now = tick;
            if (next < m_arrivals.size())
                now = std::min(now, m_arrivals[next].arrival);
            if (!m_endings.empty())
                now = std::min(now, m_endings.top().at);
            if (next < m_arrivals.size() && m_arrivals[next].arrival == now)
                arrive(now, next++);
            while (!m_endings.empty() && m_endings.top().at <= now)
                end(now);
            if (now == tick)
                tick += 5ms;
            place(now);
        }
        return figures();
    }

private:
    struct Running
    {
        std::size_t index = 0;
        std::size_t left = 0;
    };

    void announce(std::uint32_t number)
    {
        UpstreamAnnouncement announcement;
        announcement.name = "u" + std::to_string(number);
        announcement.address = "127.0.0.1";
        announcement.port = 1;
        announcement.slots = m_scenario.slots;
        announcement.rack = "rack" + std::to_string(number / 6);
        announcement.incarnation = 1;
        announcement.leaseDeadline = start + 1h;
        m_dispatcher.announce(start, announcement);
    }

    void arrive(TimePoint now, std::size_t index)
    {
        const auto &submission = m_arrivals[index].submission;
        if (m_dispatcher.refusal(now, submission)) {
            ++m_refused;
            return;
        }
        m_running[index] = {index, submission.tasks.size()};
        m_dispatcher.add(now, index, submission);
    }

    void place(TimePoint now)
    {
        for (const auto &it : m_dispatcher.place(now)) {
            const auto number = static_cast<std::uint32_t>(std::stoul(it.upstream.substr(1)));
            const bool isBlackHole = number < m_scenario.blackHoles;
            const double factor = isSlow(m_scenario, number) ? m_scenario.slowness : 1;
            const auto time = static_cast<double>(m_arrivals[it.job].times[it.task].count()) * factor;
            const auto took = isBlackHole ? Duration(1000) : Duration(static_cast<std::int64_t>(time));
            m_endings.push({now + took, it.attempt, it.job, isBlackHole});
        }
    }

    void end(TimePoint now)
    {
        const auto ending = m_endings.top();
        m_endings.pop();
        m_dispatcher.finish(now, ending.attempt, {AttemptEnd::Answered, ending.isFailure ? 500 : 200, {}});
        const auto it = m_running.find(ending.job);
        if (it == m_running.end())
            return;
        if (ending.isFailure) {
            ++m_failed;
            leave(now, ending.job);
        } else if (--it->second.left == 0) {
            const auto &job = m_arrivals[it->second.index];
            const auto response = now - job.arrival;
            m_ratios.push_back(static_cast<double>(response.count())
                               / static_cast<double>(job.ideal.count()));
            const auto target = job.submission.className == "short" ? targetOfShort : targetOfLong;
            m_met += response <= target ? 1 : 0;
            leave(now, ending.job);
        }
    }

    void leave(TimePoint now, JobId job)
    {
        m_running.erase(job);
        m_dispatcher.remove(now, job);
    }

    VirtualFigures figures()
    {
        VirtualFigures figures;
        figures.jobs = static_cast<std::uint32_t>(m_arrivals.size());
        figures.failedJobs = m_failed;
        figures.refusedJobs = m_refused;
        if (m_ratios.empty())
            return figures;
        std::sort(m_ratios.begin(), m_ratios.end());
        for (const auto it : m_ratios)
            figures.meanRatio += it / static_cast<double>(m_ratios.size());
        figures.medianRatio = m_ratios[m_ratios.size() / 2];
        figures.p99Ratio = m_ratios[m_ratios.size() * 99 / 100];
        figures.targetShare = static_cast<double>(m_met) / static_cast<double>(figures.jobs);
        return figures;
    }

    VirtualScenario m_scenario;
    std::vector<ArrivingJob> m_arrivals;
    Dispatcher m_dispatcher;
    std::map<JobId, Running> m_running;
    std::priority_queue<Ending, std::vector<Ending>, std::greater<>> m_endings;
    std::vector<double> m_ratios;
    std::uint32_t m_met = 0;
    std::uint32_t m_failed = 0;
    std::uint32_t m_refused = 0;
};

} // namespace

VirtualFigures runVirtually(const VirtualScenario &scenario, PlacementPolicy policy, std::uint64_t seed)
{
    return VirtualRun(scenario, policy, seed).run();
}

} // namespace Citronpitch
