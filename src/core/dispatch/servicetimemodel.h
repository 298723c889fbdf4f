#pragma once

#include "citronpitch/timepoint.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace Citronpitch {

/// Number of an upstream in the table of the failure domain; used again after the upstream is forgotten.
using UpstreamIndex = std::uint32_t;

/// Number of a class of work; never used again.
using ClassIndex = std::uint32_t;

/**
 * @brief Learned service times per upstream and class.
 *
 * A time is modelled in logarithms as the sum of the class's time, the upstream's speed and what is special
 * to the pair. The class's time follows the declared times when these are seen to predict it, and otherwise
 * ignores them. Only successes are learned from. Used by Dispatcher.
 */
class ServiceTimeModel
{
public:
    /// Learns from a task of class @p classIndex that succeeded on @p upstream after @p took.
    void recordSuccess(TimePoint now, ClassIndex classIndex, UpstreamIndex upstream, Duration declared,
                       Duration took);

    /**
     * Learns from a task that still runs on @p upstream after @p elapsed.
     *
     * Only the speed of an upstream of which little is known follows from it.
     */
    void recordStillRunning(TimePoint now, ClassIndex classIndex, UpstreamIndex upstream, Duration declared,
                            Duration elapsed);

    /// Whether recordStillRunning() would be of use.
    bool hasFewSamples(UpstreamIndex upstream) const;

    /// Expected time of a task of class @p classIndex with the declared time @p declared (zero: none) on @p
    /// upstream.
    Duration expected(TimePoint now, ClassIndex classIndex, UpstreamIndex upstream, Duration declared) const;

    /// Expected time on an upstream of ordinary speed.
    Duration expected(ClassIndex classIndex, Duration declared) const;

    /// Expected time on @p upstream of a task of no special class, for comparing upstreams.
    Duration typicalTime(UpstreamIndex upstream) const;

    /// Whether the times of class @p classIndex are learned rather than declared or assumed.
    bool isLearned(ClassIndex classIndex) const;

    /// Factor by which nine in ten tasks of class @p classIndex stay below their expected time.
    double p90Factor(ClassIndex classIndex) const;

    /// Time after which a task that has not ended is taken for stuck.
    Duration stuckTimeout(TimePoint now, ClassIndex classIndex, UpstreamIndex upstream,
                          Duration declared) const;

    /// Starts afresh for an upstream.
    void forgetUpstream(UpstreamIndex upstream);

private:
    /// Mean and variance of logarithms, with more weight on the recent ones.
    struct LogMean
    {
        double mean = 0;
        double variance = 0;
        std::uint32_t samples = 0;
        void add(double value);
    };

    /// How much longer than usual something takes, as a logarithm.
    struct Residual
    {
        double value = 0;
        std::uint32_t samples = 0;
        void add(double error);
        /// Value, drawn towards zero while there are few samples.
        double shrunken(double priorSamples) const;
    };

    /// Mean of the shrunken residuals that have samples: what is ordinary.
    struct ResidualMean
    {
        double sum = 0;
        std::uint32_t count = 0;
        double value() const;
    };

    struct ClassModel
    {
        LogMean absolute;
        /// Logarithm of the time divided by the declared one.
        LogMean relative;
        std::vector<Residual> pairs;
        ResidualMean meanPair;
    };

    struct UpstreamSpeed
    {
        Residual residual;
        TimePoint learnedAt;
    };

    /// Learns @p error in @p residual, which is one of those that @p mean is the mean of.
    static void learn(Residual &residual, ResidualMean &mean, double error, double priorSamples);
    static void forget(Residual &residual, ResidualMean &mean, double priorSamples);
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
