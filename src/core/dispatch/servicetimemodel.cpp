#include "core/dispatch/servicetimemodel.h"

#include <algorithm>
#include <cmath>

namespace Citronpitch {

namespace {

/// Expected time of a class without samples or declared time.
constexpr double defaultTimeMicroseconds = 100'000;
constexpr double minimumTimeMicroseconds = 100;

/// Minimum weight of a new sample in the time of a class.
constexpr double minimumClassWeight = 0.05;
/// Minimum weight of a new sample in the term of an upstream or a pair.
constexpr double minimumSpeedWeight = 0.1;
/// Limit of the error of one sample, as a logarithm, so that one straggler does not make an upstream slow.
constexpr double maximumLogError = 2;

/// Weights, in samples, of the prior of zero for the term of an upstream and of a pair.
constexpr double upstreamPriorSamples = 1;
constexpr double pairPriorSamples = 6;

/// Samples after which the variance tells whether declared times predict the service times.
constexpr std::uint32_t samplesForSpread = 8;
/// Declared times are used if they leave less than this share of the variance unexplained.
constexpr double maximumUnexplainedShare = 0.7;
/// Samples of a class from which its mean replaces a declared time.
constexpr std::uint32_t samplesToOverrideDeclared = 3;

/// Samples after which the speed of an upstream counts as known.
constexpr std::uint32_t samplesForKnownSpeed = 4;

/// Time constant with which the speed of an unused upstream decays to the mean, so that a slow upstream is
/// tried again.
constexpr Duration speedDecayTime = std::chrono::seconds(60);

/// 90th percentile in standard deviations of the logarithm, and the factor while the variance is unknown.
constexpr double p90Deviations = 1.28;
constexpr double assumedP90Factor = 1.7;

/// Margin of the timeout of a stuck task over its expected time: a constant, a factor, and a number of
/// standard deviations.
constexpr Duration stuckSlack = std::chrono::milliseconds(500);
constexpr double stuckFactor = 2;
constexpr double stuckDeviations = 3;
/// Bounds of the deviation, as a logarithm. The minimum keeps tasks on an upstream that is several times
/// slower than the others from counting as stuck.
constexpr double minimumStuckSpread = 1.4;
constexpr double maximumStuckSpread = 2.3;

Duration durationOf(double logarithm)
{
    return Duration(static_cast<std::int64_t>(std::exp(logarithm)));
}

double logarithmOf(Duration time)
{
    return std::log(std::max(static_cast<double>(time.count()), minimumTimeMicroseconds));
}

template <typename Entry> Entry &at(std::vector<Entry> &entries, std::size_t index)
{
    if (index >= entries.size())
        entries.resize(index + 1);
    return entries[index];
}

} // namespace

void ServiceTimeModel::recordSuccess(TimePoint now, ClassIndex classIndex, UpstreamIndex upstream,
                                     Duration declared, Duration took)
{
    auto &model = at(m_classes, classIndex);
    auto &speed = at(m_speeds, upstream);
    const double time = logarithmOf(took);
    const double typical = speedLog(now, upstream) + pairLog(classIndex, upstream);
    model.absolute.add(time - typical);
    if (declared > Duration())
        model.relative.add(time - typical - logarithmOf(declared));
    const double classTime =
        usesDeclared(model, declared) ? model.relative.mean + logarithmOf(declared) : model.absolute.mean;
    const double error = time - classTime - typical;
    learn(speed.residual, m_meanSpeed, error, upstreamPriorSamples);
    speed.learnedAt = now;
    learn(at(model.pairs, upstream), model.meanPair, error, pairPriorSamples);
}

void ServiceTimeModel::recordStillRunning(TimePoint now, ClassIndex classIndex, UpstreamIndex upstream,
                                          Duration declared, Duration elapsed)
{
    const double error = logarithmOf(elapsed)
        - (classLog(classIndex, declared) + speedLog(now, upstream) + pairLog(classIndex, upstream));
    if (error <= 0 || !hasFewSamples(upstream))
        return;
    auto &speed = at(m_speeds, upstream);
    learn(speed.residual, m_meanSpeed, error, upstreamPriorSamples);
    speed.learnedAt = now;
}

bool ServiceTimeModel::hasFewSamples(UpstreamIndex upstream) const
{
    return upstream >= m_speeds.size() || m_speeds[upstream].residual.samples < samplesForKnownSpeed;
}

Duration ServiceTimeModel::expected(TimePoint now, ClassIndex classIndex, UpstreamIndex upstream,
                                    Duration declared) const
{
    return durationOf(classLog(classIndex, declared) + speedLog(now, upstream)
                      + pairLog(classIndex, upstream));
}

Duration ServiceTimeModel::expected(ClassIndex classIndex, Duration declared) const
{
    return durationOf(classLog(classIndex, declared) + meanLog(classIndex));
}

Duration ServiceTimeModel::typicalTime(UpstreamIndex upstream) const
{
    const bool isKnown = upstream < m_speeds.size() && m_speeds[upstream].residual.samples > 0;
    const double residual =
        isKnown ? m_speeds[upstream].residual.shrunken(upstreamPriorSamples) : m_meanSpeed.value();
    return durationOf(std::log(defaultTimeMicroseconds) + residual);
}

bool ServiceTimeModel::isLearned(ClassIndex classIndex) const
{
    return classIndex < m_classes.size() && m_classes[classIndex].absolute.samples >= samplesForSpread;
}

double ServiceTimeModel::p90Factor(ClassIndex classIndex) const
{
    if (!isLearned(classIndex))
        return assumedP90Factor;
    return std::exp(p90Deviations * std::sqrt(m_classes[classIndex].absolute.variance));
}

Duration ServiceTimeModel::stuckTimeout(TimePoint now, ClassIndex classIndex, UpstreamIndex upstream,
                                        Duration declared) const
{
    double spread = maximumStuckSpread;
    if (classIndex < m_classes.size() && m_classes[classIndex].absolute.samples >= samplesForSpread)
        spread = std::clamp(stuckDeviations * std::sqrt(m_classes[classIndex].absolute.variance),
                            minimumStuckSpread, maximumStuckSpread);
    const double typical =
        classLog(classIndex, declared) + speedLog(now, upstream) + pairLog(classIndex, upstream);
    return durationOf(typical + spread + std::log(stuckFactor)) + stuckSlack;
}

void ServiceTimeModel::removeUpstream(UpstreamIndex upstream)
{
    if (upstream < m_speeds.size())
        removeResidual(m_speeds[upstream].residual, m_meanSpeed, upstreamPriorSamples);
    for (auto &it : m_classes) {
        if (upstream < it.pairs.size())
            removeResidual(it.pairs[upstream], it.meanPair, pairPriorSamples);
    }
}

void ServiceTimeModel::learn(Residual &residual, ResidualMean &mean, double error, double priorSamples)
{
    const bool isNew = residual.samples == 0;
    const double before = residual.shrunken(priorSamples);
    residual.add(error);
    mean.sum += residual.shrunken(priorSamples) - before;
    mean.count += isNew ? 1 : 0;
}

void ServiceTimeModel::removeResidual(Residual &residual, ResidualMean &mean, double priorSamples)
{
    if (residual.samples == 0)
        return;
    mean.sum -= residual.shrunken(priorSamples);
    --mean.count;
    residual = {};
}

double ServiceTimeModel::meanLog(ClassIndex classIndex) const
{
    const double pair = classIndex < m_classes.size() ? m_classes[classIndex].meanPair.value() : 0;
    return m_meanSpeed.value() + pair;
}

double ServiceTimeModel::ResidualMean::value() const
{
    return count > 0 ? sum / count : 0;
}

double ServiceTimeModel::classLog(ClassIndex classIndex, Duration declared) const
{
    const ClassModel *model = classIndex < m_classes.size() ? &m_classes[classIndex] : nullptr;
    if (model != nullptr && usesDeclared(*model, declared))
        return model->relative.mean + logarithmOf(declared);
    if (model != nullptr && model->absolute.samples >= samplesToOverrideDeclared)
        return model->absolute.mean;
    if (declared > Duration())
        return logarithmOf(declared);
    return model != nullptr && model->absolute.samples > 0 ? model->absolute.mean
                                                           : std::log(defaultTimeMicroseconds);
}

double ServiceTimeModel::speedLog(TimePoint now, UpstreamIndex upstream) const
{
    const double mean = m_meanSpeed.value();
    if (upstream >= m_speeds.size() || m_speeds[upstream].residual.samples == 0)
        return mean;
    const auto &speed = m_speeds[upstream];
    const auto age = static_cast<double>((now - speed.learnedAt).count());
    const double special = speed.residual.shrunken(upstreamPriorSamples) - mean;
    return mean + special * std::exp(-age / static_cast<double>(speedDecayTime.count()));
}

double ServiceTimeModel::pairLog(ClassIndex classIndex, UpstreamIndex upstream) const
{
    if (classIndex >= m_classes.size())
        return 0;
    const auto &model = m_classes[classIndex];
    const bool isKnown = upstream < model.pairs.size() && model.pairs[upstream].samples > 0;
    return isKnown ? model.pairs[upstream].shrunken(pairPriorSamples) : model.meanPair.value();
}

bool ServiceTimeModel::usesDeclared(const ClassModel &model, Duration declared) const
{
    return declared > Duration() && model.relative.samples >= samplesForSpread
        && model.relative.variance < maximumUnexplainedShare * model.absolute.variance;
}

void ServiceTimeModel::LogMean::add(double value)
{
    ++samples;
    const double weight = std::max(1.0 / samples, minimumClassWeight);
    const double error = value - mean;
    mean += weight * error;
    variance = (1 - weight) * (variance + weight * error * error);
}

void ServiceTimeModel::Residual::add(double error)
{
    ++samples;
    const double weight = std::max(1.0 / samples, minimumSpeedWeight);
    value += weight * std::clamp(error, -maximumLogError, maximumLogError);
}

double ServiceTimeModel::Residual::shrunken(double priorSamples) const
{
    return value * samples / (samples + priorSamples);
}

} // namespace Citronpitch
