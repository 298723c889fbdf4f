#include "groupcost.h"

#include "citronpitch/groupdispatcher.h"

#include <chrono>
#include <cstdio>
#include <map>
#include <queue>
#include <set>

namespace Citronpitch {

namespace {

using namespace std::chrono_literals;

constexpr Duration virtualTime = 10s;
constexpr Duration step = 1ms;
constexpr Duration tickInterval = 10ms;
constexpr Duration heartbeatInterval = 100ms;
constexpr Duration announcementInterval = 1500ms;
constexpr Duration taskTime = 150ms;
constexpr Duration answerDelay = 2ms;

/// Upstreams that accept every start and report its end after taskTime.
class Upstreams
{
public:
    void execute(TimePoint now, const RunOrder &order)
    {
        auto &it = m_upstreams[order.upstream];
        if (order.kind == OrderKind::Start) {
            it.running.emplace(now + taskTime, RunId{order.task, order.run});
            m_answers.emplace(now + answerDelay, Answered{order.id, order.upstream, false});
            m_changes.emplace(now + taskTime, order.upstream);
            return;
        }
        if (order.kind == OrderKind::Stop) {
            m_answers.emplace(now + answerDelay, Answered{order.id, order.upstream, false});
            return;
        }
        std::erase_if(it.ended, [&](const auto &end) { return end.number <= order.acknowledgedThrough; });
        if (order.wait.count() > 0 && it.ended.empty())
            it.polls.push_back({order.id, now + order.wait});
        else
            m_answers.emplace(now + answerDelay, Answered{order.id, order.upstream, true});
        if (order.wait.count() > 0)
            m_changes.emplace(now + order.wait, order.upstream);
    }

    void advance(TimePoint now, GroupDispatcher &group)
    {
        while (!m_changes.empty() && m_changes.begin()->first <= now) {
            const auto name = m_changes.begin()->second;
            m_changes.erase(m_changes.begin());
            auto &it = m_upstreams[name];
            for (; !it.running.empty() && it.running.begin()->first <= now;
                 it.running.erase(it.running.begin())) {
                const auto &run = it.running.begin()->second;
                it.ended.push_back({++it.ends, run.task, run.run, RunEndKind::Done});
            }
            std::erase_if(it.polls, [&](const auto &poll) {
                if (it.ended.empty() && poll.second > now)
                    return false;
                m_answers.emplace(now + answerDelay, Answered{poll.first, name, true});
                return true;
            });
        }
        while (!m_answers.empty() && m_answers.begin()->first <= now) {
            const auto answer = m_answers.begin()->second;
            m_answers.erase(m_answers.begin());
            const auto &it = m_upstreams[answer.upstream];
            OrderResult result;
            result.verdict = OrderVerdict::Accepted;
            result.clockMs =
                std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
            if (answer.isPoll) {
                for (const auto &[endsAt, run] : it.running)
                    result.running.push_back(run);
                result.ended = it.ended;
            }
            group.orderEnded(now, answer.order, result);
        }
    }

private:
    struct Answered
    {
        OrderId order = 0;
        std::string upstream;
        bool isPoll = false;
    };

    struct Upstream
    {
        std::multimap<TimePoint, RunId> running;
        std::vector<EndedRun> ended;
        std::uint64_t ends = 0;
        std::vector<std::pair<OrderId, TimePoint>> polls;
    };

    std::map<std::string, Upstream> m_upstreams;
    std::multimap<TimePoint, std::string> m_changes;
    std::multimap<TimePoint, Answered> m_answers;
};

} // namespace

void measureGroupCost(std::uint32_t upstreams, std::uint32_t tasksPerSecond)
{
    TimePoint now{1000s};
    GroupDispatcherOptions options;
    options.group = "domain";
    options.fence = 1;
    options.nameTask = [](const std::string &key, std::uint32_t task) {
        return key + "." + std::to_string(task);
    };
    CrashLedger crashes;
    GroupDispatcher group(std::move(options), crashes);
    std::vector<ClassDeclaration> classes;
    for (const auto *it : {"a", "b", "c"}) {
        classes.push_back({it, 990'000, 60ms});
        classes.back().targetStretch = 1600;
    }
    group.setClasses(classes);
    Upstreams model;
    FleetAnnouncement announcement;
    announcement.domain = "domain";
    announcement.pool = "pool";
    announcement.upstream.incarnation = 1;
    announcement.upstream.slots = 2;
    const auto announce = [&](std::uint32_t i) {
        announcement.upstream.name = "upstream-" + std::to_string(i);
        announcement.upstream.rack = "rack" + std::to_string(i % 20);
        announcement.upstream.leaseDeadline = now + 6s;
        announcement.clockMs =
            std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
        ++announcement.sequence;
        group.announce(now, announcement);
    };
    std::map<std::string, double> seconds;
    std::uint64_t complete = 0;
    std::uint64_t refused = 0;
    const auto measured = [&](const char *part, const auto &work) {
        const auto begin = std::chrono::steady_clock::now();
        work();
        seconds[part] += std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
    };
    constexpr std::uint32_t tasksPerJob = 4;
    const auto end = now + virtualTime;
    const auto start = now;
    std::uint64_t jobs = 0;
    std::uint64_t announced = 0;
    for (std::uint32_t i = 0; i < upstreams; ++i)
        announce(i);
    while (now < end) {
        now += step;
        measured("orders", [&] { model.advance(now, group); });
        const auto elapsed = static_cast<std::uint64_t>((now - start).count());
        measured("announcements", [&] {
            const auto due = elapsed * upstreams / static_cast<std::uint64_t>(announcementInterval.count());
            for (; announced < due; ++announced)
                announce(static_cast<std::uint32_t>(announced % upstreams));
        });
        measured("jobs", [&] {
            const auto due = elapsed * tasksPerSecond / 1'000'000 / tasksPerJob;
            for (; jobs < due; ++jobs) {
                RoutedJob job;
                job.origin = {"entry", 1, jobs + 1};
                job.pool = "pool";
                job.submission.key = "job-" + std::to_string(jobs);
                job.submission.className = classes[jobs % classes.size()].name;
                job.submission.deadline = now + 1500ms;
                job.submission.tasks.resize(tasksPerJob);
                group.submit(now, job);
            }
        });
        if (elapsed % static_cast<std::uint64_t>(tickInterval.count()) == 0)
            measured("ticks", [&] { group.tick(now); });
        if (elapsed % static_cast<std::uint64_t>(heartbeatInterval.count()) == 0)
            measured("loads", [&] { static_cast<void>(group.load(now)); });
        for (const auto &action : group.takeActions()) {
            if (const auto *order = std::get_if<RunOrder>(&action))
                model.execute(now, *order);
            else if (std::get<FinishedJob>(action).answer.outcome == Outcome::Complete)
                ++complete;
            else
                ++refused;
        }
    }
    const auto total = std::chrono::duration<double>(virtualTime).count();
    std::printf(
        "group of %u upstreams, %u tasks a second, %llu jobs complete, %llu not; of a core:", upstreams,
        tasksPerSecond, static_cast<unsigned long long>(complete), static_cast<unsigned long long>(refused));
    double sum = 0;
    for (const auto &[part, it] : seconds) {
        std::printf(" %s %.4f", part.c_str(), it / total);
        sum += it / total;
    }
    std::printf(" all %.4f\n", sum);
}

} // namespace Citronpitch
