#include "core/dispatch/placer.h"

#include <algorithm>

namespace Citronpitch {

namespace {

/// Maximum number of upstreams that are compared for one task.
constexpr std::size_t maximumComparedUpstreams = 8;

/// Ratio of expected times from which a task may wait for the faster upstream.
constexpr double slowRatio = 1.5;

std::uint32_t startsInRack(const JobPlacementState &job, RackIndex rack)
{
    return rack < job.startsPerRack.size() ? job.startsPerRack[rack] : 0;
}

} // namespace

Placer::Placer(const UpstreamTable &upstreams)
    : m_upstreams(upstreams)
{
}

PlacementChoice Placer::choose(const UpstreamRanking &ranking, const Resources &need,
                               const JobPlacementState &job, std::uint32_t tasksAhead) const
{
    std::optional<std::size_t> avoided;
    std::uint32_t mostFree = 0;
    UpstreamIndex roomiest = 0;
    for (auto rank = ranking.nextFree(0); rank; rank = ranking.nextFree(*rank + 1)) {
        const auto upstream = ranking.at(*rank).upstream;
        if (ranking.at(*rank).isSingleTaskOnly && job.tasks > 1)
            continue;
        if (!isAllowed(upstream, job))
            continue;
        if (!hasRoom(upstream, need)) {
            const auto free = m_upstreams.at(upstream).free().resources.millicores;
            if (free > mostFree) {
                mostFree = free;
                roomiest = upstream;
            }
            continue;
        }
        if (isAvoided(upstream, job)) {
            avoided = avoided.value_or(*rank);
            continue;
        }
        if (isWaitingBetter(ranking, *rank, tasksAhead, job))
            return {PlacementOutcome::WaitForFaster, 0};
        return {PlacementOutcome::Start, ranking.at(bestOfTied(ranking, *rank, need, job)).upstream};
    }
    if (avoided)
        return {PlacementOutcome::Start, ranking.at(*avoided).upstream};
    return {PlacementOutcome::NoFreeUpstream, roomiest, mostFree > 0};
}

bool Placer::isSuitable(UpstreamIndex upstream, const Resources &need, const JobPlacementState &job) const
{
    return mayTake(upstream, need, job) && !isAvoided(upstream, job);
}

bool Placer::mayTake(UpstreamIndex upstream, const Resources &need, const JobPlacementState &job) const
{
    return isAllowed(upstream, job) && hasRoom(upstream, need);
}

bool Placer::isHeldByLimit(const Resources &need, const JobPlacementState &job) const
{
    if (job.constraints.maximumPerUpstream == 0)
        return false;
    return std::any_of(job.attemptsPerUpstream.begin(), job.attemptsPerUpstream.end(), [&](const auto &it) {
        const auto &entry = m_upstreams.at(it.first);
        return entry.isFree && entry.hasLabel(job.constraints.requiredLabel) && hasReachedLimit(it.first, job)
            && hasRoom(it.first, need);
    });
}

void Placer::reserve(UpstreamIndex upstream)
{
    m_reserved.push_back(upstream);
}

void Placer::releaseReserved()
{
    m_reserved.clear();
}

std::optional<UpstreamIndex> Placer::chooseSufficient(const UpstreamRanking &ranking, const Resources &need,
                                                      const JobPlacementState &job,
                                                      Duration maximumTime) const
{
    std::size_t examined = 0;
    auto rank = ranking.previousFree(ranking.countFasterThan(maximumTime));
    for (; rank && examined < maximumComparedUpstreams; rank = ranking.previousFree(*rank)) {
        const auto &it = ranking.at(*rank);
        if (!isAllowed(it.upstream, job))
            continue;
        ++examined;
        const bool isUsable = !it.isSingleTaskOnly || job.tasks == 1;
        if (isUsable && hasRoom(it.upstream, need) && !isAvoided(it.upstream, job))
            return it.upstream;
    }
    return std::nullopt;
}

bool Placer::hasRoom(UpstreamIndex upstream, const Resources &need) const
{
    const auto &entry = m_upstreams.at(upstream);
    return entry.free().contains(costOf(need, entry.total));
}

bool Placer::isAllowed(UpstreamIndex upstream, const JobPlacementState &job) const
{
    return m_upstreams.at(upstream).hasLabel(job.constraints.requiredLabel) && !hasReachedLimit(upstream, job)
        && std::find(m_reserved.begin(), m_reserved.end(), upstream) == m_reserved.end();
}

bool Placer::hasReachedLimit(UpstreamIndex upstream, const JobPlacementState &job) const
{
    const auto limit = job.constraints.maximumPerUpstream;
    if (limit == 0)
        return false;
    const auto it = job.attemptsPerUpstream.find(upstream);
    return it != job.attemptsPerUpstream.end() && it->second >= limit;
}

bool Placer::isAvoided(UpstreamIndex upstream, const JobPlacementState &job) const
{
    return std::find(job.avoidedUpstreams.begin(), job.avoidedUpstreams.end(), upstream)
        != job.avoidedUpstreams.end();
}

bool Placer::isWaitingBetter(const UpstreamRanking &ranking, std::size_t rank, std::uint32_t tasksAhead,
                             const JobPlacementState &job) const
{
    const double time = static_cast<double>(ranking.at(rank).time.count());
    const auto faster = ranking.countFasterThan(Duration(static_cast<std::int64_t>(time / slowRatio)));
    double rate = ranking.throughputOf(faster);
    if (rate <= 0)
        return false;
    double fastTime = static_cast<double>(ranking.at(faster - 1).time.count());
    if (!job.constraints.isEmpty()) {
        // Upstreams that take no task of the job don't shorten its wait.
        rate = 0;
        for (std::size_t i = 0; i < faster; ++i) {
            const auto &it = ranking.at(i);
            if (it.time <= Duration() || !m_upstreams.at(it.upstream).hasLabel(job.constraints.requiredLabel))
                continue;
            fastTime = static_cast<double>(it.time.count());
            rate += job.constraints.limited(it.parallelTasks) / fastTime;
        }
        if (rate <= 0)
            return false;
    }
    return tasksAhead / rate + fastTime < time;
}

std::size_t Placer::bestOfTied(const UpstreamRanking &ranking, std::size_t first, const Resources &need,
                               const JobPlacementState &job) const
{
    auto best = first;
    auto bestUse = startsInRack(job, ranking.at(first).rack);
    std::size_t compared = 1;
    for (auto rank = ranking.nextFree(first + 1); rank && bestUse > 0; rank = ranking.nextFree(*rank + 1)) {
        if (++compared > maximumComparedUpstreams || !ranking.areTied(first, *rank))
            break;
        const auto use = startsInRack(job, ranking.at(*rank).rack);
        const auto upstream = ranking.at(*rank).upstream;
        const bool isUsable = !ranking.at(*rank).isSingleTaskOnly || job.tasks == 1;
        if (use >= bestUse || !isUsable || !mayTake(upstream, need, job) || isAvoided(upstream, job))
            continue;
        best = *rank;
        bestUse = use;
    }
    return best;
}

} // namespace Citronpitch
