#include "core/dispatch/worktable.h"

#include <algorithm>

namespace Citronpitch {

namespace {

/// An eighth of the time that the shortest job of the deployments can wait.
constexpr Duration bucketWidth = std::chrono::milliseconds(10);

} // namespace

void WorkTable::add(TimePoint latestStart, Duration work)
{
    const auto number = bucketOf(latestStart);
    const auto it = std::lower_bound(m_buckets.begin(), m_buckets.end(), number,
                                     [](const auto &bucket, auto value) { return bucket.number < value; });
    if (it == m_buckets.end() || it->number != number) {
        if (work > Duration())
            m_buckets.insert(it, {number, work});
        return;
    }
    it->work += work;
    if (it->work <= Duration())
        m_buckets.erase(it);
}

const std::vector<WorkTable::Bucket> &WorkTable::buckets() const
{
    return m_buckets;
}

std::int64_t WorkTable::bucketOf(TimePoint latestStart)
{
    return latestStart.time_since_epoch() / bucketWidth;
}

TimePoint WorkTable::middleOf(std::int64_t number)
{
    return TimePoint(number * bucketWidth + bucketWidth / 2);
}

} // namespace Citronpitch
