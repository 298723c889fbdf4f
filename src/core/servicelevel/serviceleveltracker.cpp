#include "citronpitch/serviceleveltracker.h"

namespace Citronpitch {

namespace {

constexpr const char *remainingUpstreamsLabel = "(others)";

/// Whether the service, not the caller, causes a refusal, so that it counts as a miss.
bool isServiceRefusal(Reason reason)
{
    switch (reason) {
    case Reason::Overloaded:
    case Reason::ShuttingDown:
    case Reason::KeyMemoryFull:
    case Reason::StorageFailed:
        return true;
    default:
        return false;
    }
}

/// Returns the upstream that caused a job to fail; empty if there is none.
std::string failingUpstream(const Answer &answer)
{
    constexpr int firstSuccess = 200;
    constexpr int firstRedirect = 300;
    for (const auto &it : answer.tasks) {
        const bool hasFailed = it.status != 0 && (it.status < firstSuccess || it.status >= firstRedirect);
        if (hasFailed || it.state == TaskState::MayHaveRun)
            return it.upstream;
    }
    return {};
}

} // namespace

ServiceLevelRingBuffer::ServiceLevelRingBuffer(Duration length, std::size_t count)
    : m_length(length)
    , m_buckets(count)
{
}

void ServiceLevelRingBuffer::add(TimePoint now, bool isMissed)
{
    const auto number = bucketNumberOf(now);
    auto &bucket = m_buckets[static_cast<std::size_t>(number) % m_buckets.size()];
    if (bucket.number != number)
        bucket = {number, 0, 0};
    ++bucket.answered;
    bucket.missed += isMissed ? 1 : 0;
}

std::vector<ServiceLevelBucket> ServiceLevelRingBuffer::buckets(TimePoint now) const
{
    const auto newest = bucketNumberOf(now);
    const auto count = static_cast<std::int64_t>(m_buckets.size());
    std::vector<ServiceLevelBucket> list;
    for (auto number = newest - count + 1; number <= newest; ++number) {
        const auto &bucket = m_buckets[static_cast<std::size_t>(number) % m_buckets.size()];
        if (bucket.number == number && bucket.answered > 0)
            list.push_back(bucket);
    }
    return list;
}

std::int64_t ServiceLevelRingBuffer::bucketNumberOf(TimePoint moment) const
{
    return microsecondsOf(moment) / m_length.count();
}

void ServiceLevelTracker::jobAccepted(TimePoint now, JobId job, const ClassDeclaration &declaration)
{
    m_open[job] = {declaration.name, now, now + declaration.targetTime, {}};
}

void ServiceLevelTracker::attemptEnded(TimePoint now, JobId job, const std::string &upstream)
{
    const auto it = m_open.find(job);
    if (it != m_open.end() && now > it->second.targetAt && it->second.lateUpstream.empty())
        it->second.lateUpstream = upstream;
}

void ServiceLevelTracker::jobAnswered(TimePoint now, JobId job, const Answer &answer)
{
    const auto it = m_open.find(job);
    if (it == m_open.end())
        return;
    const auto open = std::move(it->second);
    m_open.erase(it);
    if (answer.reason == Reason::Cancelled)
        return;
    const bool isComplete = answer.outcome == Outcome::Complete;
    const bool isMissed = !isComplete || now > open.targetAt;
    count(now, open.className, isMissed, isComplete ? open.lateUpstream : failingUpstream(answer));
}

void ServiceLevelTracker::jobRefused(TimePoint now, const std::string &name, Reason reason)
{
    if (isServiceRefusal(reason))
        count(now, name, true, {});
}

std::vector<ClassServiceLevelCounts> ServiceLevelTracker::classes(TimePoint now) const
{
    std::vector<ClassServiceLevelCounts> list;
    for (const auto &[name, series] : m_series) {
        ClassServiceLevelCounts classCounts{
            name, series.minutes.buckets(now), series.quarters.buckets(now), {}};
        for (const auto &[upstream, missed] : series.upstreams)
            classCounts.upstreams.push_back({upstream, missed});
        list.push_back(std::move(classCounts));
    }
    return list;
}

void ServiceLevelTracker::count(TimePoint now, const std::string &name, bool isMissed,
                                const std::string &upstream)
{
    if (!m_series.contains(name) && m_series.size() >= maximumServiceLevelClasses)
        return;
    auto &series = m_series[name];
    series.minutes.add(now, isMissed);
    series.quarters.add(now, isMissed);
    if (!isMissed || upstream.empty())
        return;
    const bool hasCapacity =
        series.upstreams.contains(upstream) || series.upstreams.size() < maximumServiceLevelUpstreams;
    ++series.upstreams[hasCapacity ? upstream : remainingUpstreamsLabel];
}

} // namespace Citronpitch
