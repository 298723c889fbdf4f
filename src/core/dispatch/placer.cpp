#include "core/dispatch/placer.h"

#include <algorithm>

namespace Citronpitch {

namespace {

/// Equal upstreams that are looked at for one task.
constexpr std::size_t comparedUpstreams = 8;

/// How much longer an upstream takes that is slow enough to wait for a faster one.
constexpr double slowRatio = 1.5;

std::uint32_t startedIn(const JobTrace &job, RackIndex rack)
{
    return rack < job.perRack.size() ? job.perRack[rack] : 0;
}

/// Whether a task ends sooner when it waits for one of the upstreams that are clearly faster than @p rank.
bool isWaitingBetter(const UpstreamRanking &ranking, std::size_t rank, std::uint32_t ahead)
{
    const double time = static_cast<double>(ranking.at(rank).time.count());
    const auto faster = ranking.fasterThan(Duration(static_cast<std::int64_t>(time / slowRatio)));
    const double rate = ranking.rateOf(faster);
    if (rate <= 0)
        return false;
    const double fastTime = static_cast<double>(ranking.at(faster - 1).time.count());
    return ahead / rate + fastTime < time;
}

} // namespace

Placer::Placer(const UpstreamTable &upstreams)
    : m_upstreams(upstreams)
{
}

PlacerChoice Placer::choose(const UpstreamRanking &ranking, const Resources &need, const JobTrace &job,
                            std::uint32_t ahead) const
{
    std::optional<std::size_t> avoided;
    for (auto rank = ranking.nextFree(0); rank; rank = ranking.nextFree(*rank + 1)) {
        const auto upstream = ranking.at(*rank).upstream;
        if (!fits(upstream, need) || (ranking.at(*rank).isForSingles && job.tasks > 1))
            continue;
        if (isAvoided(upstream, job)) {
            avoided = avoided.value_or(*rank);
            continue;
        }
        if (isWaitingBetter(ranking, *rank, ahead))
            return {PlacerVerdict::WaitForFaster, 0};
        return {PlacerVerdict::Start, ranking.at(bestOfEqual(ranking, *rank, need, job)).upstream};
    }
    if (avoided)
        return {PlacerVerdict::Start, ranking.at(*avoided).upstream};
    return {};
}

std::optional<UpstreamIndex> Placer::chooseSufficient(const UpstreamRanking &ranking, const Resources &need,
                                                      const JobTrace &job, Duration longest) const
{
    std::size_t looked = 0;
    auto rank = ranking.previousFree(ranking.fasterThan(longest));
    for (; rank && ++looked <= comparedUpstreams; rank = ranking.previousFree(*rank)) {
        const auto &it = ranking.at(*rank);
        const bool isOpen = !it.isForSingles || job.tasks == 1;
        if (isOpen && fits(it.upstream, need) && !isAvoided(it.upstream, job))
            return it.upstream;
    }
    return std::nullopt;
}

bool Placer::fits(UpstreamIndex upstream, const Resources &need) const
{
    const auto &entry = m_upstreams.at(upstream);
    return entry.free().contains(costOf(need, entry.whole));
}

bool Placer::isAvoided(UpstreamIndex upstream, const JobTrace &job) const
{
    return std::find(job.avoided.begin(), job.avoided.end(), upstream) != job.avoided.end();
}

std::size_t Placer::bestOfEqual(const UpstreamRanking &ranking, std::size_t first, const Resources &need,
                                const JobTrace &job) const
{
    auto best = first;
    auto bestUse = startedIn(job, ranking.at(first).rack);
    std::size_t compared = 1;
    for (auto rank = ranking.nextFree(first + 1); rank && bestUse > 0; rank = ranking.nextFree(*rank + 1)) {
        if (++compared > comparedUpstreams || !ranking.areEqual(first, *rank))
            break;
        const auto use = startedIn(job, ranking.at(*rank).rack);
        const auto upstream = ranking.at(*rank).upstream;
        const bool isOpen = !ranking.at(*rank).isForSingles || job.tasks == 1;
        if (use >= bestUse || !isOpen || !fits(upstream, need) || isAvoided(upstream, job))
            continue;
        best = *rank;
        bestUse = use;
    }
    return best;
}

} // namespace Citronpitch
