#include "citronpitch/dispatcher.h"

#include <gtest/gtest.h>

#include <map>
#include <random>
#include <set>

using namespace Citronpitch;
using namespace std::chrono_literals;

namespace {

const TimePoint start = timePointOf(1'700'000'000'000'000);
constexpr std::uint32_t upstreamCount = 6;
constexpr std::uint32_t slotCount = 3;

/// Applies random events to a dispatcher and checks invariants against a simple model.
class RandomDispatchTester
{
public:
    explicit RandomDispatchTester(std::uint64_t seed)
        : m_random(seed)
    {
        configure();
    }

    void step()
    {
        m_now += Duration(m_random() % 20'000);
        switch (m_random() % 10) {
        case 0:
            announce();
            break;
        case 1:
        case 2:
            addJob();
            break;
        case 3:
            removeJob();
            break;
        case 4:
            configure();
            break;
        default:
            endAttempt();
            break;
        }
        place();
    }

    /// Completes all remaining tasks, and checks that no queued task or busy slot remains.
    void finish()
    {
        for (auto &[name, announcement] : m_announced)
            renew(announcement);
        for (int i = 0; i < 100'000 && (!m_running.empty() || m_dispatcher.queuedTasks() > 0); ++i) {
            m_now += 50ms;
            if (i % 20 == 0) {
                for (auto &[name, announcement] : m_announced)
                    renew(announcement);
            }
            if (!m_running.empty())
                end(m_running.begin()->first, {AttemptOutcome::Answered, 200, {}});
            place();
        }
        EXPECT_TRUE(m_running.empty());
        EXPECT_EQ(m_dispatcher.queuedTasks(), 0U);
        for (const auto &it : m_dispatcher.upstreams())
            EXPECT_EQ(it.busySlots, 0U) << it.announcement.name;
    }

private:
    struct Job
    {
        Submission submission;
        std::set<std::uint32_t> queued;
    };

    struct Running
    {
        JobId job = 0;
        std::uint32_t task = 0;
        std::string upstream;
        std::uint64_t incarnation = 0;
    };

    void configure()
    {
        Configuration configuration;
        for (int i = 0; i < 3; ++i) {
            const auto target = std::chrono::milliseconds(100 + m_random() % 2000);
            configuration.classes.push_back({"c" + std::to_string(i), 990000, target, m_random() % 4 == 0});
        }
        for (int i = 0; i < 3; ++i)
            configuration.teams.push_back(
                {"t" + std::to_string(i), static_cast<std::uint32_t>(m_random() % 5)});
        m_dispatcher.setConfiguration(configuration);
    }

    void renew(UpstreamAnnouncement &announcement)
    {
        announcement.leaseDeadline = m_now + 2s;
        if (announcement.leaving) {
            announcement.leaving = false;
            ++announcement.incarnation;
        }
        m_dispatcher.announce(m_now, announcement);
    }

    void announce()
    {
        const auto name = "u" + std::to_string(m_random() % upstreamCount);
        auto &announcement = m_announced[name];
        const auto kind = m_random() % 8;
        announcement.name = name;
        announcement.slots = slotCount;
        announcement.rack = "r" + std::to_string(m_random() % 2);
        announcement.incarnation += kind == 0 ? 1 : 0;
        announcement.leaving = kind != 0 && (announcement.leaving || kind == 1);
        announcement.leaseDeadline = m_now + 2s;
        m_dispatcher.announce(m_now, announcement);
        auto old = announcement;
        if (old.incarnation > 0 && kind == 2) {
            --old.incarnation;
            old.leaving = false;
            m_dispatcher.announce(m_now, old);
        }
    }

    void addJob()
    {
        Job job;
        job.submission.team = "t" + std::to_string(m_random() % 3);
        job.submission.className = "c" + std::to_string(m_random() % 3);
        job.submission.deadline = m_now + Duration(m_random() % 3'000'000);
        job.submission.tasks.resize(1 + m_random() % 8);
        for (std::uint32_t i = 0; i < job.submission.tasks.size(); ++i)
            job.queued.insert(i);
        m_dispatcher.add(m_now, m_nextJob, job.submission);
        m_jobs.emplace(m_nextJob++, std::move(job));
    }

    void removeJob()
    {
        if (m_jobs.empty())
            return;
        auto it = m_jobs.begin();
        std::advance(it, m_random() % m_jobs.size());
        m_dispatcher.remove(m_now, it->first);
        m_jobs.erase(it);
    }

    void endAttempt()
    {
        if (m_running.empty())
            return;
        auto it = m_running.begin();
        std::advance(it, m_random() % m_running.size());
        const std::vector<AttemptResult> results{
            {AttemptOutcome::Answered, 200, {}}, {AttemptOutcome::Answered, 200, {}},
            {AttemptOutcome::Answered, 500, {}}, {AttemptOutcome::Broken, 0, {}},
            {AttemptOutcome::NotSent, 0, {}},    {AttemptOutcome::Declined, 503, {}}};
        end(it->first, results[m_random() % results.size()]);
    }

    void end(AttemptId attempt, const AttemptResult &result)
    {
        const auto running = m_running.at(attempt);
        m_running.erase(attempt);
        m_dispatcher.finish(m_now, attempt, result);
        m_dispatcher.finish(m_now, attempt, result);
        const auto job = m_jobs.find(running.job);
        const bool isNotStarted =
            result.outcome == AttemptOutcome::NotSent || result.outcome == AttemptOutcome::Declined;
        if (job == m_jobs.end() || !isNotStarted)
            return;
        job->second.queued.insert(running.task);
        m_dispatcher.requeue(m_now, running.job, job->second.submission, running.task);
    }

    void place()
    {
        for (const auto &it : m_dispatcher.place(m_now)) {
            const auto job = m_jobs.find(it.job);
            ASSERT_NE(job, m_jobs.end()) << "a task of a removed job was started";
            EXPECT_EQ(job->second.queued.erase(it.task), 1U) << "a task was started twice";
            EXPECT_GT(job->second.submission.deadline, m_now);
            const auto &announcement = m_announced.at(it.upstream);
            EXPECT_FALSE(announcement.leaving);
            EXPECT_GT(announcement.leaseDeadline, m_now);
            EXPECT_TRUE(
                m_running.emplace(it.attempt, Running{it.job, it.task, it.upstream, announcement.incarnation})
                    .second);
        }
        std::map<std::string, std::uint32_t> busy;
        for (const auto &[attempt, it] : m_running) {
            if (m_announced.at(it.upstream).incarnation != it.incarnation)
                continue;
            EXPECT_LE(++busy[it.upstream], slotCount);
        }
    }

    std::mt19937_64 m_random;
    Dispatcher m_dispatcher;
    TimePoint m_now = start;
    std::map<std::string, UpstreamAnnouncement> m_announced;
    std::map<JobId, Job> m_jobs;
    std::map<AttemptId, Running> m_running;
    JobId m_nextJob = 1;
};

} // namespace

// Guards against sequences of events that no other test has. They would start a task twice, after its
// deadline or of a removed job, start one on an upstream that is leaving or expired, or exceed its slots.
// At the end no task may stay queued and no slot busy.
TEST(DispatcherPropertyTest, invariantsHoldUnderRandomEvents)
{
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        SCOPED_TRACE(seed);
        RandomDispatchTester dispatch(seed);
        for (int i = 0; i < 1500 && !testing::Test::HasFailure(); ++i)
            dispatch.step();
        dispatch.finish();
        if (testing::Test::HasFailure())
            return;
    }
}
