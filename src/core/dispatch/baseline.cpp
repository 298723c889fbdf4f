#include "core/dispatch/baseline.h"

#include <algorithm>
#include <random>

namespace Citronpitch {

namespace {

BaselineSelector roundRobin()
{
    return [next = std::size_t{0}](const std::vector<BaselineCandidate> &candidates) mutable {
        const auto isLater = [&](const auto &it) { return it.upstream >= next; };
        auto it = std::find_if(candidates.begin(), candidates.end(), isLater);
        if (it == candidates.end())
            it = candidates.begin();
        next = it->upstream + 1;
        return static_cast<std::size_t>(it - candidates.begin());
    };
}

BaselineSelector seededRandom(std::uint64_t seed)
{
    return [generator = std::mt19937_64(seed)](const std::vector<BaselineCandidate> &candidates) mutable {
        return static_cast<std::size_t>(generator() % candidates.size());
    };
}

std::size_t leastOutstanding(const std::vector<BaselineCandidate> &candidates)
{
    const auto it =
        std::min_element(candidates.begin(), candidates.end(), [](const auto &left, const auto &right) {
            return left.outstanding < right.outstanding;
        });
    return static_cast<std::size_t>(it - candidates.begin());
}

} // namespace

BaselineSelector makeBaselineSelector(PlacementPolicy policy, std::uint64_t seed)
{
    switch (policy) {
    case PlacementPolicy::RoundRobin:
        return roundRobin();
    case PlacementPolicy::Random:
        return seededRandom(seed);
    case PlacementPolicy::LeastOutstanding:
        return leastOutstanding;
    case PlacementPolicy::Target:
        break;
    }
    return nullptr;
}

} // namespace Citronpitch
