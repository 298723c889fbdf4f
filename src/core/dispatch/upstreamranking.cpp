#include "core/dispatch/upstreamranking.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <limits>
#include <map>

namespace Citronpitch {

namespace {

constexpr std::size_t bitsPerWord = 64;
constexpr std::size_t notRanked = std::numeric_limits<std::size_t>::max();

/// Ratio between the bounds of a time bucket; upstreams in the same bucket are tied.
constexpr double timeBucketRatio = 1.25;

int timeBucketOf(Duration time)
{
    const double microseconds = std::max(static_cast<double>(time.count()), 1.0);
    return static_cast<int>(std::floor(std::log(microseconds) / std::log(timeBucketRatio)));
}

struct SortKey
{
    int bucket = 0;
    /// Number of preceding upstreams of the same rack and time bucket.
    std::uint32_t rackOccurrence = 0;
    std::size_t position = 0;
    auto operator<=>(const SortKey &) const = default;
};

} // namespace

void UpstreamRanking::rebuild(std::vector<RankedUpstream> upstreams)
{
    struct RackBucket
    {
        RackIndex rack = 0;
        int bucket = 0;
        auto operator<=>(const RackBucket &) const = default;
    };
    std::map<RackBucket, std::uint32_t> rackOccurrences;
    std::vector<SortKey> keys;
    keys.reserve(upstreams.size());
    UpstreamIndex highest = 0;
    for (std::size_t i = 0; i < upstreams.size(); ++i) {
        const int bucket = timeBucketOf(upstreams[i].time);
        keys.push_back({bucket, rackOccurrences[{upstreams[i].rack, bucket}]++, i});
        highest = std::max(highest, upstreams[i].upstream);
    }
    std::sort(keys.begin(), keys.end());
    m_ranked.clear();
    m_timeBuckets.clear();
    m_throughputs.assign(1, 0);
    m_free.assign(upstreams.size() / bitsPerWord + 1, 0);
    m_rankOf.assign(upstreams.empty() ? 0 : highest + 1, notRanked);
    for (const auto &it : keys) {
        const auto &upstream = upstreams[it.position];
        m_rankOf[upstream.upstream] = m_ranked.size();
        m_ranked.push_back(upstream);
        m_timeBuckets.push_back(it.bucket);
        const double throughput = upstream.time > Duration()
            ? upstream.parallelTasks / static_cast<double>(upstream.time.count())
            : 0;
        m_throughputs.push_back(m_throughputs.back() + throughput);
        setFree(upstream.upstream, upstream.isFree);
    }
}

void UpstreamRanking::setFree(UpstreamIndex upstream, bool isFree)
{
    if (upstream >= m_rankOf.size() || m_rankOf[upstream] == notRanked)
        return;
    const auto rank = m_rankOf[upstream];
    const auto bit = std::uint64_t{1} << (rank % bitsPerWord);
    auto &word = m_free[rank / bitsPerWord];
    word = isFree ? word | bit : word & ~bit;
}

std::optional<std::size_t> UpstreamRanking::nextFree(std::size_t rank) const
{
    if (rank >= m_ranked.size())
        return std::nullopt;
    auto index = rank / bitsPerWord;
    auto word = m_free[index] & (~std::uint64_t{0} << (rank % bitsPerWord));
    while (word == 0) {
        if (++index == m_free.size())
            return std::nullopt;
        word = m_free[index];
    }
    return index * bitsPerWord + static_cast<std::size_t>(std::countr_zero(word));
}

std::optional<std::size_t> UpstreamRanking::previousFree(std::size_t rank) const
{
    rank = std::min(rank, m_ranked.size());
    if (rank == 0)
        return std::nullopt;
    auto index = (rank - 1) / bitsPerWord;
    const auto unused = bitsPerWord - 1 - (rank - 1) % bitsPerWord;
    auto word = m_free[index] & (~std::uint64_t{0} >> unused);
    while (word == 0) {
        if (index-- == 0)
            return std::nullopt;
        word = m_free[index];
    }
    return index * bitsPerWord + bitsPerWord - 1 - static_cast<std::size_t>(std::countl_zero(word));
}

const RankedUpstream &UpstreamRanking::at(std::size_t rank) const
{
    return m_ranked[rank];
}

Duration UpstreamRanking::timeOn(UpstreamIndex upstream) const
{
    const bool isRanked = upstream < m_rankOf.size() && m_rankOf[upstream] != notRanked;
    return isRanked ? m_ranked[m_rankOf[upstream]].time : Duration();
}

std::size_t UpstreamRanking::size() const
{
    return m_ranked.size();
}

bool UpstreamRanking::areTied(std::size_t left, std::size_t right) const
{
    return m_timeBuckets[left] == m_timeBuckets[right];
}

std::size_t UpstreamRanking::countFasterThan(Duration time) const
{
    const auto it = std::lower_bound(m_timeBuckets.begin(), m_timeBuckets.end(), timeBucketOf(time));
    return static_cast<std::size_t>(it - m_timeBuckets.begin());
}

double UpstreamRanking::throughputOf(std::size_t ranks) const
{
    return m_throughputs[ranks];
}

} // namespace Citronpitch
