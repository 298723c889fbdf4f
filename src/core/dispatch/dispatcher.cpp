#include "citronpitch/dispatcher.h"

#include "core/dispatch/baseline.h"

#include <algorithm>
#include <functional>

namespace Citronpitch {

Dispatcher::Dispatcher(const DispatcherOptions &options)
    : m_options(options)
    , m_baseline(baselineChoice(options.placement, options.seed))
{
}

void Dispatcher::setConfiguration(const Configuration &configuration)
{
    m_configuration = configuration;
}

void Dispatcher::setShare(std::uint32_t part, std::uint32_t parts)
{
    m_part = part;
    m_parts = std::max(parts, 1U);
}

void Dispatcher::announce(TimePoint, const UpstreamAnnouncement &announcement)
{
    auto &upstream = m_upstreams[announcement.name];
    if (announcement.incarnation < upstream.announcement.incarnation)
        return;
    const bool isLeaving =
        announcement.incarnation == upstream.announcement.incarnation && upstream.announcement.leaving;
    const auto lease = std::max(upstream.announcement.leaseDeadline, announcement.leaseDeadline);
    upstream.announcement = announcement;
    upstream.announcement.leaseDeadline = lease;
    upstream.announcement.leaving = announcement.leaving || isLeaving;
}

std::optional<Refusal> Dispatcher::refusal(TimePoint now, const Submission &submission) const
{
    const auto *declared = m_configuration.findClass(submission.className);
    if (declared == nullptr)
        return Refusal{Reason::UnknownClass, "no class named " + submission.className + " is declared", {}};
    if (declared->retired)
        return Refusal{Reason::RetiredClass, "class " + submission.className + " is retired", {}};
    if (!m_configuration.teams.empty() && m_configuration.findTeam(submission.team) == nullptr)
        return Refusal{Reason::UnknownTeam, "no team named " + submission.team + " is declared", {}};
    if (submission.deadline <= now)
        return Refusal{Reason::DeadlinePassed, "the deadline had passed when the job arrived", {}};
    return std::nullopt;
}

void Dispatcher::add(TimePoint now, JobId job, const Submission &submission)
{
    m_jobs[job].deadline = submission.deadline;
    for (std::uint32_t i = 0; i < submission.tasks.size(); ++i)
        requeue(now, job, i);
}

void Dispatcher::requeue(TimePoint, JobId job, std::uint32_t task)
{
    auto &queued = m_jobs[job];
    const auto deadline = m_baseline ? TimePoint() : queued.deadline;
    m_waiting.insert({deadline, m_nextOrder++, job, task});
    ++queued.waiting;
}

void Dispatcher::remove(JobId job)
{
    const auto it = m_jobs.find(job);
    if (it == m_jobs.end())
        return;
    if (it->second.waiting > 0)
        std::erase_if(m_waiting, [&](const Waiting &waiting) { return waiting.job == job; });
    m_jobs.erase(it);
}

std::vector<Placement> Dispatcher::place(TimePoint now)
{
    std::vector<Placement> placements;
    while (!m_waiting.empty()) {
        auto *upstream = choose(now);
        if (upstream == nullptr)
            break;
        const Waiting next = *m_waiting.begin();
        m_waiting.erase(m_waiting.begin());
        --m_jobs[next.job].waiting;
        ++upstream->busy;
        const auto &announcement = upstream->announcement;
        const AttemptId attempt = m_nextAttempt++;
        m_attempts[attempt] = {announcement.name, now};
        placements.push_back(
            {next.job, next.task, attempt, announcement.name, announcement.address, announcement.port});
    }
    return placements;
}

void Dispatcher::finish(TimePoint, AttemptId attempt, const AttemptResult &)
{
    const auto it = m_attempts.find(attempt);
    if (it == m_attempts.end())
        return;
    const auto upstream = m_upstreams.find(it->second.upstream);
    if (upstream != m_upstreams.end() && upstream->second.busy > 0)
        --upstream->second.busy;
    m_attempts.erase(it);
}

std::vector<UpstreamStatus> Dispatcher::upstreams() const
{
    std::vector<UpstreamStatus> list;
    for (const auto &[name, upstream] : m_upstreams)
        list.push_back({upstream.announcement, ownSlots(upstream), upstream.busy});
    return list;
}

std::uint32_t Dispatcher::freeSlots(TimePoint now) const
{
    std::uint32_t n = 0;
    for (const auto &[name, upstream] : m_upstreams) {
        if (isUsable(now, upstream))
            n += ownSlots(upstream) - upstream.busy;
    }
    return n;
}

std::uint32_t Dispatcher::queuedTasks() const
{
    return static_cast<std::uint32_t>(m_waiting.size());
}

std::uint32_t Dispatcher::ownSlots(const Upstream &upstream) const
{
    const auto slots = upstream.announcement.slots;
    const auto rotation =
        static_cast<std::uint32_t>(std::hash<std::string>{}(upstream.announcement.name) % m_parts);
    const auto position = (m_part + rotation) % m_parts;
    return slots / m_parts + (position < slots % m_parts ? 1 : 0);
}

bool Dispatcher::isUsable(TimePoint now, const Upstream &upstream) const
{
    const auto &announcement = upstream.announcement;
    return !announcement.leaving && announcement.leaseDeadline > now && upstream.busy < ownSlots(upstream);
}

Dispatcher::Upstream *Dispatcher::choose(TimePoint now)
{
    if (m_baseline)
        return chooseForBaseline(now);
    Upstream *best = nullptr;
    for (auto &[name, upstream] : m_upstreams) {
        if (!isUsable(now, upstream))
            continue;
        if (best == nullptr || upstream.busy < best->busy)
            best = &upstream;
    }
    return best;
}

Dispatcher::Upstream *Dispatcher::chooseForBaseline(TimePoint now)
{
    std::vector<BaselineCandidate> candidates;
    std::vector<Upstream *> upstreams;
    std::size_t position = 0;
    for (auto &[name, upstream] : m_upstreams) {
        ++position;
        if (!isUsable(now, upstream))
            continue;
        candidates.push_back({position, upstream.busy});
        upstreams.push_back(&upstream);
    }
    return upstreams.empty() ? nullptr : upstreams[m_baseline(candidates)];
}

} // namespace Citronpitch
