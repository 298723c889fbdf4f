#pragma once

#include "citronpitch/timepoint.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace Citronpitch {

/// Index of an upstream in UpstreamTable; reused after the upstream is removed.
using UpstreamIndex = std::uint32_t;

/// Index of a class in ClassTable; never reused.
using ClassIndex = std::uint32_t;

/**
 * @brief Estimates service times per upstream and class.
 *
 * The logarithm of a time is modelled as the sum of a class term, an upstream term (its speed) and an
 * interaction term of the pair. The class term is relative to the declared times where these predict the
 * service time, and ignores them otherwise. Samples are successful tasks, and overdue tasks on upstreams with
 * few samples.
 */
class ServiceTimeModel
{
public:
    /// Adds a sample of a task that succeeded after @p took.
    void recordSuccess(TimePoint now, ClassIndex classIndex, UpstreamIndex upstream, Duration declared,
                       Duration took);

    /**
     * Adds a lower bound from a task that still runs on @p upstream after @p elapsed.
     *
     * Changes only the speed, and only of an upstream with few samples.
     */
    void recordStillRunning(TimePoint now, ClassIndex classIndex, UpstreamIndex upstream, Duration declared,
                            Duration elapsed);

    /// Whether the speed of @p upstream has too few samples to be known.
    bool hasFewSamples(UpstreamIndex upstream) const;

    /// Returns the expected time of a task on @p upstream; a @p declared time of zero means none.
    Duration expected(TimePoint now, ClassIndex classIndex, UpstreamIndex upstream, Duration declared) const;

    /// Returns the expected time of a task on an upstream of mean speed.
    Duration expected(ClassIndex classIndex, Duration declared) const;

    /// Returns the expected time on @p upstream of a task of no particular class, to compare upstreams.
    Duration typicalTime(UpstreamIndex upstream) const;

    /// Whether the class has enough samples for an estimate that needs no declared or default time.
    bool isLearned(ClassIndex classIndex) const;

    /// Returns the ratio of the 90th percentile of the times of a class to the expected time.
    double p90Factor(ClassIndex classIndex) const;

    /// Returns the time after which a running task is considered stuck.
    Duration stuckTimeout(TimePoint now, ClassIndex classIndex, UpstreamIndex upstream,
                          Duration declared) const;

    /// Discards all samples of @p upstream.
    void removeUpstream(UpstreamIndex upstream);

private:
    /// Exponentially weighted mean and variance of logarithms.
    struct LogMean
    {
        double mean = 0;
        double variance = 0;
        std::uint32_t samples = 0;
        void add(double value);
    };

    /// Moving average of the deviation of times from their estimate, as a logarithm.
    struct Residual
    {
        double value = 0;
        std::uint32_t samples = 0;
        void add(double error);
        /// Returns the value shrunk towards zero, as by @p priorSamples samples of zero.
        double shrunken(double priorSamples) const;
    };

    /// Mean of the shrunken residuals that have samples.
    struct ResidualMean
    {
        double sum = 0;
        std::uint32_t count = 0;
        double value() const;
    };

    struct ClassModel
    {
        LogMean absolute;
        /// Logarithm of the ratio of the time to the declared time.
        LogMean relative;
        std::vector<Residual> pairs;
        ResidualMean meanPair;
    };

    struct UpstreamSpeed
    {
        Residual residual;
        TimePoint learnedAt;
    };

    /// Adds @p error to @p residual and updates @p mean, which includes it.
    static void learn(Residual &residual, ResidualMean &mean, double error, double priorSamples);
    static void removeResidual(Residual &residual, ResidualMean &mean, double priorSamples);
    double meanLog(ClassIndex classIndex) const;
    double classLog(ClassIndex classIndex, Duration declared) const;
    double speedLog(TimePoint now, UpstreamIndex upstream) const;
    double pairLog(ClassIndex classIndex, UpstreamIndex upstream) const;
    bool usesDeclared(const ClassModel &model, Duration declared) const;

    std::vector<ClassModel> m_classes;
    std::vector<UpstreamSpeed> m_speeds;
    ResidualMean m_meanSpeed;
};

} // namespace Citronpitch
