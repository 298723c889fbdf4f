#pragma once

#include "citronpitch/claimtable.h"
#include "citronpitch/configuration.h"
#include "citronpitch/job.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Citronpitch {

/// Number of jobs answered during one time bucket, and of those that missed the service-level objective
/// (SLO).
struct ServiceLevelBucket
{
    /// Bucket number: time since the Unix epoch divided by the bucket length.
    std::int64_t number = 0;
    std::uint64_t answered = 0;
    std::uint64_t missed = 0;
};

/**
 * @brief Ring buffer of the most recent time buckets.
 */
class ServiceLevelRingBuffer
{
public:
    /// Holds @p count buckets of @p length each.
    ServiceLevelRingBuffer(Duration length, std::size_t count);

    void add(TimePoint now, bool isMissed);

    /// Returns the non-empty buckets that have not expired at @p now, oldest first.
    std::vector<ServiceLevelBucket> buckets(TimePoint now) const;

private:
    std::int64_t bucketNumberOf(TimePoint moment) const;

    Duration m_length;
    std::vector<ServiceLevelBucket> m_buckets;
};

/// Number of SLO misses attributed to an upstream.
struct UpstreamMisses
{
    std::string upstream;
    std::uint64_t missed = 0;
};

/// SLO counters of one task class on one entry VM.
struct ClassServiceLevelCounts
{
    std::string name;
    /// Buckets of length serviceLevelMinuteBucket, for the last hour.
    std::vector<ServiceLevelBucket> minutes;
    /// Buckets of length serviceLevelQuarterHourBucket, for the last three days.
    std::vector<ServiceLevelBucket> quarters;
    std::vector<UpstreamMisses> upstreams;
};

constexpr Duration serviceLevelMinuteBucket = std::chrono::minutes(1);
constexpr Duration serviceLevelQuarterHourBucket = std::chrono::minutes(15);

/// Maximum number of tracked classes; jobs of further classes are not counted.
constexpr std::size_t maximumServiceLevelClasses = 1000;

/// Maximum number of upstreams tracked per class; misses of further ones share one counter.
constexpr std::size_t maximumServiceLevelUpstreams = 64;

/**
 * @brief Counts, per class, the jobs that this entry VM answered and those that missed the SLO.
 *
 * A job misses the SLO if it was not completed within the target time. Cancelled jobs, and jobs refused
 * because of an error of the caller, are not counted. EntryVm updates it only on the home VM of a key, so
 * each job counts once regardless of resubmissions.
 */
class ServiceLevelTracker
{
public:
    /// Records that a job of the class @p declaration was accepted.
    void jobAccepted(TimePoint now, JobId job, const ClassDeclaration &declaration);

    /// Records the end of an attempt of an open job; a miss is attributed to @p upstream if the target time
    /// has passed.
    void attemptEnded(TimePoint now, JobId job, const std::string &upstream);

    /// Records the answer to an accepted job; ignores unknown jobs.
    void jobAnswered(TimePoint now, JobId job, const Answer &answer);

    /// Records the refusal of a job of class @p name; only refusals caused by the service count, as misses.
    void jobRefused(TimePoint now, const std::string &name, Reason reason);

    /// Returns the counters of every class with at least one counted job.
    std::vector<ClassServiceLevelCounts> classes(TimePoint now) const;

private:
    struct OpenJob
    {
        std::string className;
        TimePoint acceptedAt;
        TimePoint targetAt;
        /// Upstream of the first attempt that ended after the target time; empty if none did.
        std::string lateUpstream;
    };

    struct Series
    {
        ServiceLevelRingBuffer minutes{serviceLevelMinuteBucket, 60};
        ServiceLevelRingBuffer quarters{serviceLevelQuarterHourBucket, 288};
        std::map<std::string, std::uint64_t> upstreams;
    };

    void count(TimePoint now, const std::string &name, bool isMissed, const std::string &upstream);

    std::map<JobId, OpenJob> m_open;
    std::map<std::string, Series> m_series;
};

} // namespace Citronpitch
