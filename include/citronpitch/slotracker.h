#pragma once

#include "citronpitch/claimtable.h"
#include "citronpitch/configuration.h"
#include "citronpitch/job.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Citronpitch {

/// Jobs answered within one bucket of time, and how many of them missed the target.
struct SloBucket
{
    /// Number of the bucket: time since the Unix epoch over the length of a bucket.
    std::int64_t number = 0;
    std::uint64_t answered = 0;
    std::uint64_t missed = 0;
};

/**
 * @brief The newest buckets of a series, in bounded memory.
 */
class SloRingBuffer
{
public:
    /// Keeps @p count buckets of @p length each.
    SloRingBuffer(Duration length, std::size_t count);

    void add(TimePoint now, bool isMissed);

    /// The buckets with any job that are not too old at @p now, oldest first.
    std::vector<SloBucket> buckets(TimePoint now) const;

private:
    std::int64_t bucketNumberOf(TimePoint moment) const;

    Duration m_length;
    std::vector<SloBucket> m_buckets;
};

/// How often an upstream was the cause of a miss.
struct UpstreamMisses
{
    std::string upstream;
    std::uint64_t missed = 0;
};

/// What one entry VM knows of one class's service level.
struct ClassSloCounts
{
    std::string name;
    /// Buckets of sloMinuteBucket over the last hour.
    std::vector<SloBucket> minutes;
    /// Buckets of sloQuarterHourBucket over the last three days.
    std::vector<SloBucket> quarters;
    std::vector<UpstreamMisses> upstreams;
};

constexpr Duration sloMinuteBucket = std::chrono::minutes(1);
constexpr Duration sloQuarterHourBucket = std::chrono::minutes(15);

/// Most classes that are counted apart; jobs of further ones are not counted.
constexpr std::size_t maximumSloClasses = 1000;

/// Most upstreams a class whose misses are counted apart; the rest is counted together.
constexpr std::size_t maximumSloUpstreams = 64;

/**
 * @brief Counts, for each class, the jobs that this entry VM answered and those that missed the target.
 *
 * A job misses when it was not answered complete within the target time. A job that was cancelled, or refused
 * for a fault of its caller, is not counted. Used by EntryVm at the home of a key, so each job counts once
 * however often it is submitted.
 */
class SloTracker
{
public:
    /// A job was accepted; @p declaration is its class.
    void jobAccepted(TimePoint now, JobId job, const ClassDeclaration &declaration);

    /// An attempt of an open job ended; the upstream is blamed if the job is late by now.
    void attemptEnded(TimePoint now, JobId job, const std::string &upstream);

    /// An accepted job was answered.
    void jobAnswered(TimePoint now, JobId job, const Answer &answer);

    /// A job of class @p name was refused for @p reason.
    void jobRefused(TimePoint now, const std::string &name, Reason reason);

    /// The counts of every class that had a job.
    std::vector<ClassSloCounts> classes(TimePoint now) const;

private:
    struct OpenJob
    {
        std::string className;
        TimePoint acceptedAt;
        TimePoint targetAt;
        /// Upstream of the first attempt that ended after the target time.
        std::string lateUpstream;
    };

    struct Series
    {
        SloRingBuffer minutes{sloMinuteBucket, 60};
        SloRingBuffer quarters{sloQuarterHourBucket, 288};
        std::map<std::string, std::uint64_t> upstreams;
    };

    void count(TimePoint now, const std::string &name, bool isMissed, const std::string &upstream);

    std::map<JobId, OpenJob> m_open;
    std::map<std::string, Series> m_series;
};

} // namespace Citronpitch
