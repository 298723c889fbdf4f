#include "virtualrun.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <random>

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
    const auto isBurst = [](double at) { return at >= 2e6 && at < 4e6; };
    double at = gap(random);
    for (; at < static_cast<double>(scenario.length.count());
         at += gap(random) / (isBurst(at) ? scenario.burstFactor : 1)) {
        ArrivingJob job;
        job.arrival = start + Duration(static_cast<std::int64_t>(at));
        const bool isLong = uniform(random) < longShare;
        const bool isWide = uniform(random) < scenario.wideShare;
        job.submission.team = "team";
        job.submission.key = "key" + std::to_string(jobs.size());
        job.submission.className = isLong ? "long" : "short";
        job.submission.tasks.resize(isWide ? scenario.wideTasks : 1);
        for (auto &it : job.submission.tasks) {
            const double time = (isLong ? longMean : shortMean) * shape(random);
            const double error = std::pow(scenario.declaredError, 2 * uniform(random) - 1);
            it.declaredTime = Duration(static_cast<std::int64_t>(time * error));
            job.times.emplace_back(static_cast<std::int64_t>(time));
        }
        job.ideal = idealOf(scenario, job.times);
        job.submission.deadline = job.arrival + scenario.patience + 2 * job.ideal;
        jobs.push_back(std::move(job));
    }
    return jobs;
}

/// Messages that an upstream or an entry VM answers after this time, one way.
constexpr Duration messageTime = 500us;

/// One run: arrivals, endings and the dispatchers between them.
class VirtualRun
{
public:
    VirtualRun(const VirtualScenario &scenario, PlacementPolicy policy, std::uint64_t seed)
        : m_scenario(scenario)
        , m_arrivals(arrivalsOf(scenario, seed))
        , m_random(seed + 1)
        , m_busy(scenario.upstreams)
    {
        Configuration configuration;
        configuration.classes = {{"short", 990000, targetOfShort}, {"long", 990000, targetOfLong}};
        const bool isSplit = scenario.sharing != SlotSharing::Optimistic;
        for (std::uint32_t vm = 0; vm < scenario.vms; ++vm) {
            auto &dispatcher = m_dispatchers.emplace_back(DispatcherOptions{policy, seed});
            dispatcher.setConfiguration(configuration);
            dispatcher.setShare(start, isSplit ? vm : 0, isSplit ? scenario.vms : 1);
            if (scenario.sharing == SlotSharing::Loans)
                dispatcher.setPeers(neighboursOf(vm));
            for (std::uint32_t i = 0; i < scenario.upstreams; ++i)
                announce(dispatcher, i);
        }
    }

    VirtualFigures run()
    {
        std::size_t next = 0;
        auto tick = start;
        while (next < m_arrivals.size() || !m_running.empty()) {
            auto now = tick;
            if (next < m_arrivals.size())
                now = std::min(now, m_arrivals[next].arrival);
            if (!m_events.empty())
                now = std::min(now, m_events.begin()->first);
            if (next < m_arrivals.size() && m_arrivals[next].arrival == now)
                arrive(now, next++);
            while (!m_events.empty() && m_events.begin()->first <= now) {
                const auto event = std::move(m_events.begin()->second);
                m_events.erase(m_events.begin());
                event(now);
            }
            if (now == tick)
                tick += 5ms;
            for (std::uint32_t vm = 0; vm < m_scenario.vms; ++vm)
                place(now, vm);
        }
        return figures();
    }

private:
    struct Running
    {
        std::size_t index = 0;
        std::size_t left = 0;
        std::uint32_t vm = 0;
        std::uint32_t starts = 0;
    };

    std::vector<std::string> neighboursOf(std::uint32_t vm) const
    {
        std::vector<std::string> names;
        for (std::uint32_t i = 0; i < m_scenario.vms; ++i) {
            if (i != vm)
                names.push_back(std::to_string(i));
        }
        return names;
    }

    void announce(Dispatcher &dispatcher, std::uint32_t number) const
    {
        UpstreamAnnouncement announcement;
        announcement.name = "u" + std::to_string(number);
        announcement.address = "127.0.0.1";
        announcement.port = 1;
        announcement.slots = m_scenario.slots;
        announcement.rack = "rack" + std::to_string(number / 6);
        announcement.incarnation = 1;
        announcement.leaseDeadline = start + 1h;
        dispatcher.announce(start, announcement);
    }

    std::uint32_t arrivalVm()
    {
        std::uniform_real_distribution<double> uniform;
        if (m_scenario.vms == 1 || uniform(m_random) < m_scenario.firstVmShare)
            return 0;
        return 1 + static_cast<std::uint32_t>(m_random() % (m_scenario.vms - 1));
    }

    void arrive(TimePoint now, std::size_t index)
    {
        const auto &submission = m_arrivals[index].submission;
        const auto vm = arrivalVm();
        if (m_dispatchers[vm].refusal(now, submission)) {
            ++m_figures.refusedJobs;
            return;
        }
        m_running[index] = {index, submission.tasks.size(), vm};
        m_dispatchers[vm].add(now, index, submission);
        m_events.emplace(submission.deadline, [this, index](TimePoint at) { miss(at, index); });
    }

    void place(TimePoint now, std::uint32_t vm)
    {
        for (const auto &it : m_dispatchers[vm].place(now))
            begin(now, vm, it);
        for (const auto &it : m_dispatchers[vm].capacityRequests(now)) {
            ++m_figures.control;
            m_events.emplace(now + messageTime, [this, vm, it](TimePoint at) { lend(at, vm, it); });
        }
    }

    void lend(TimePoint now, std::uint32_t borrower, const OutgoingCapacityRequest &addressed)
    {
        const auto lender = static_cast<std::size_t>(std::stoul(addressed.vm));
        const auto grant = m_dispatchers[lender].lend(now, std::to_string(borrower), 1, addressed.request);
        if (!grant)
            return;
        ++m_figures.control;
        m_events.emplace(now + messageTime,
                         [this, borrower, vm = addressed.vm, grant = *grant](TimePoint at) {
                             m_dispatchers[borrower].borrow(at, vm, 1, grant);
                         });
    }

    /// The deadline of a job has come.
    void miss(TimePoint now, JobId job)
    {
        const auto it = m_running.find(job);
        if (it == m_running.end())
            return;
        fail(now, job);
    }

    void fail(TimePoint now, JobId job)
    {
        ++m_figures.failedJobs;
        m_figures.uselessStarts += m_running.at(job).starts;
        leave(now, job);
    }

    void begin(TimePoint now, std::uint32_t vm, const Placement &placement)
    {
        ++m_figures.starts;
        const auto number = static_cast<std::uint32_t>(std::stoul(placement.upstream.substr(1)));
        if (m_busy[number] >= m_scenario.slots) {
            ++m_figures.declined;
            m_events.emplace(now + 2 * messageTime,
                             [this, vm, placement](TimePoint at) { decline(at, vm, placement); });
            return;
        }
        ++m_busy[number];
        ++m_running.at(placement.job).starts;
        const bool isBlackHole = number < m_scenario.blackHoles;
        const double factor = isSlow(m_scenario, number) ? m_scenario.slowness : 1;
        const auto time =
            static_cast<double>(m_arrivals[placement.job].times[placement.task].count()) * factor;
        const auto took = isBlackHole ? Duration(1000) : Duration(static_cast<std::int64_t>(time));
        const auto counted = std::min(now + took, start + m_scenario.length) - now;
        m_used += std::max(counted, Duration());
        m_events.emplace(now + took, [this, vm, placement, number, isBlackHole](TimePoint at) {
            --m_busy[number];
            end(at, vm, placement, isBlackHole);
        });
    }

    void decline(TimePoint now, std::uint32_t vm, const Placement &placement)
    {
        auto &dispatcher = m_dispatchers[vm];
        dispatcher.finish(now, placement.attempt, {AttemptOutcome::Declined, 503, {}});
        if (m_running.contains(placement.job))
            dispatcher.requeue(now, placement.job, m_arrivals[placement.job].submission, placement.task);
    }

    void end(TimePoint now, std::uint32_t vm, const Placement &placement, bool isFailure)
    {
        m_dispatchers[vm].finish(now, placement.attempt,
                                 {AttemptOutcome::Answered, isFailure ? 500 : 200, {}});
        const auto it = m_running.find(placement.job);
        if (it == m_running.end())
            return;
        if (isFailure) {
            fail(now, placement.job);
        } else if (--it->second.left == 0) {
            const auto &job = m_arrivals[it->second.index];
            const auto response = now - job.arrival;
            m_ratios.push_back(static_cast<double>(response.count())
                               / static_cast<double>(job.ideal.count()));
            const auto target = job.submission.className == "short" ? targetOfShort : targetOfLong;
            m_met += response <= target ? 1 : 0;
            leave(now, placement.job);
        }
    }

    void leave(TimePoint now, JobId job)
    {
        const auto vm = m_running.at(job).vm;
        m_running.erase(job);
        m_dispatchers[vm].remove(now, job);
    }

    VirtualFigures figures()
    {
        m_figures.jobs = static_cast<std::uint32_t>(m_arrivals.size());
        const auto slotTime = m_scenario.length * m_scenario.slots * m_scenario.upstreams;
        m_figures.utilisation = static_cast<double>(m_used.count()) / static_cast<double>(slotTime.count());
        if (m_ratios.empty())
            return m_figures;
        std::sort(m_ratios.begin(), m_ratios.end());
        for (const auto it : m_ratios)
            m_figures.meanRatio += it / static_cast<double>(m_ratios.size());
        m_figures.medianRatio = m_ratios[m_ratios.size() / 2];
        m_figures.p99Ratio = m_ratios[m_ratios.size() * 99 / 100];
        m_figures.targetShare = static_cast<double>(m_met) / static_cast<double>(m_figures.jobs);
        return m_figures;
    }

    VirtualScenario m_scenario;
    std::vector<ArrivingJob> m_arrivals;
    std::vector<Dispatcher> m_dispatchers;
    std::map<JobId, Running> m_running;
    std::multimap<TimePoint, std::function<void(TimePoint)>> m_events;
    std::mt19937_64 m_random;
    /// Tasks on each upstream.
    std::vector<std::uint32_t> m_busy;
    std::vector<double> m_ratios;
    Duration m_used{};
    std::uint32_t m_met = 0;
    VirtualFigures m_figures;
};

} // namespace

VirtualFigures runVirtually(const VirtualScenario &scenario, PlacementPolicy policy, std::uint64_t seed)
{
    return VirtualRun(scenario, policy, seed).run();
}

} // namespace Citronpitch
