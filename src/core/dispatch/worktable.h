#pragma once

#include "citronpitch/timepoint.h"

#include <cstdint>
#include <vector>

namespace Citronpitch {

/**
 * @brief Sums the expected run time of queued tasks by the latest time at which they have to start.
 *
 * Used by TaskQueue for the tasks whose jobs admission protects. Work is kept in narrow buckets, since the
 * time that a short job can wait is a fraction of its target.
 */
class WorkTable
{
public:
    struct Bucket
    {
        /// Number of the bucket; see end().
        std::int64_t number = 0;
        Duration work{};
    };

    /// Adds @p work, which may be negative, to the bucket of @p latestStart.
    void add(TimePoint latestStart, Duration work);

    /// Returns the buckets that contain work, in ascending order.
    const std::vector<Bucket> &buckets() const;

    /// Returns the number of the bucket of @p latestStart.
    static std::int64_t bucketOf(TimePoint latestStart);
    /// Returns the middle of bucket @p number.
    static TimePoint middleOf(std::int64_t number);

private:
    std::vector<Bucket> m_buckets;
};

} // namespace Citronpitch
