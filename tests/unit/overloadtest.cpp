#include "support/groupharness.h"

#include <gtest/gtest.h>

using namespace Citronpitch;

namespace {

constexpr Duration taskTime = std::chrono::milliseconds(100);
constexpr Duration targetTime = std::chrono::milliseconds(60);
constexpr std::uint32_t targetStretch = 1600;
constexpr Duration objective = targetTime + taskTime * targetStretch / 1000;
constexpr int upstreams = 8;
constexpr int slotsPerUpstream = 2;
/// Jobs of one task that the upstreams complete in a second.
constexpr double capacity = upstreams * slotsPerUpstream * 10;

/// What callers got of the jobs that arrived in a period.
struct Served
{
    unsigned jobs = 0;
    unsigned inTime = 0;
    unsigned late = 0;
    unsigned refused = 0;
    unsigned refusedAtOnce = 0;
};

/// A group under jobs of one task, whose class has a target that grows with the job.
class OverloadTest : public testing::Test
{
protected:
    OverloadTest()
    {
        group.dispatcher().setClasses({{"work", 990'000, targetTime, false, targetStretch}});
        for (int i = 0; i < upstreams; ++i)
            group.add({"u" + std::to_string(i), slotsPerUpstream, taskTime});
        group.advance(std::chrono::seconds(1));
        // The group learns the time of a task.
        arrive(capacity / 2, std::chrono::seconds(2));
        group.advance(std::chrono::seconds(2));
        m_arrivals.clear();
    }

    /// Lets jobs arrive at @p rate a second for @p time.
    void arrive(double rate, Duration time)
    {
        const auto end = group.now() + time;
        double due = 0;
        while (group.now() < end) {
            for (due += rate / 1000; due >= 1; due -= 1) {
                ++m_number;
                m_arrivals[m_number] = group.now();
                group.submit("job" + std::to_string(m_number), m_number, 1, std::chrono::milliseconds(1500));
            }
            group.advance(std::chrono::milliseconds(1));
            if (group.now() < m_announceAt)
                continue;
            m_announceAt = group.now() + std::chrono::seconds(1);
            for (int i = 0; i < upstreams; ++i)
                group.announce("u" + std::to_string(i));
        }
    }

    Served served()
    {
        // Longer than callers wait for an answer.
        group.advance(std::chrono::seconds(2));
        Served counts;
        for (const auto &[number, arrival] : m_arrivals) {
            const auto waited = group.answeredAt.at(number) - arrival;
            ++counts.jobs;
            switch (group.answers.at(number).outcome) {
            case Outcome::Complete:
                ++(waited <= objective ? counts.inTime : counts.late);
                break;
            case Outcome::Refused:
                ++counts.refused;
                counts.refusedAtOnce += waited <= std::chrono::milliseconds(100) ? 1 : 0;
                break;
            default:
                break;
            }
        }
        return counts;
    }

    GroupHarness group;

private:
    std::map<std::uint64_t, TimePoint> m_arrivals;
    TimePoint m_announceAt;
    std::uint64_t m_number = 0;
};

} // namespace

/// With more jobs than the upstreams can run, a queue as long as callers wait would make every answer late.
/// What is accepted has to be answered in time, what is not has to be refused at once.
TEST_F(OverloadTest, sustainedOverloadIsServedInTimeAndTheRestRefusedAtOnce)
{
    constexpr int seconds = 5;
    arrive(1.5 * capacity, std::chrono::seconds(seconds));
    const auto counts = served();
    EXPECT_GE(counts.inTime, 0.95 * capacity * seconds);
    EXPECT_LE(counts.late, 0.05 * counts.inTime);
    EXPECT_GE(counts.refusedAtOnce, 0.99 * counts.refused);
}

/// While the upstreams have room, nothing is refused.
TEST_F(OverloadTest, nothingIsRefusedBelowCapacity)
{
    arrive(0.9 * capacity, std::chrono::seconds(5));
    const auto counts = served();
    EXPECT_EQ(counts.inTime, counts.jobs);
}
