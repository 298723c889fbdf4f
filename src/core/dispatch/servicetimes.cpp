#include "core/dispatch/servicetimes.h"

#include <algorithm>
#include <cmath>

namespace Citronpitch {

namespace {

/// Time of a class of which nothing is known, in microseconds.
constexpr double unknownTime = 100'000;
constexpr double shortestTime = 100;

/// Least weight of a new sample in a class's time.
constexpr double classWeight = 0.05;
/// Least weight of a new sample in the speed of an upstream or of a pair.
constexpr double speedWeight = 0.1;
/// Largest error learned from one sample, as a logarithm; one straggler does not make an upstream slow.
constexpr double largestError = 2;

constexpr double upstreamPriorSamples = 1;
constexpr double pairPriorSamples = 6;

/// Samples after which the spread of times tells whether declared times predict them.
constexpr std::uint32_t samplesForSpread = 8;
/// Declared times are followed when they leave less than this share of the variance.
constexpr double explainedShare = 0.7;
/// Samples of a class that outweigh a declared time.
constexpr std::uint32_t samplesOverDeclared = 3;

/// Samples after which the speed of an upstream counts as known.
constexpr std::uint32_t samplesOfKnownSpeed = 4;

/// A speed that is not confirmed is forgotten over this time, so that a slow upstream is tried again.
constexpr Duration speedMemory = std::chrono::seconds(60);

/// Deviations of the logarithm below which nine in ten times stay, and the factor while the spread is not
/// known.
constexpr double upperDeviations = 1.28;
constexpr double assumedUpperFactor = 1.7;

/// Slack of a stuck task over the expected time.
constexpr Duration stuckSlack = std::chrono::milliseconds(500);
constexpr double stuckFactor = 2;
constexpr double stuckDeviations = 3;
/// An upstream that is several times slower than the others is not stuck.
constexpr double leastStuckSpread = 1.4;
constexpr double largestStuckSpread = 2.3;

Duration durationOf(double logarithm)
{
    return Duration(static_cast<std::int64_t>(std::exp(logarithm)));
}

double logarithmOf(Duration time)
{
    return std::log(std::max(static_cast<double>(time.count()), shortestTime));
}

template <typename Entry> Entry &at(std::vector<Entry> &entries, std::size_t index)
{
    if (index >= entries.size())
        entries.resize(index + 1);
    return entries[index];
}

} // namespace

void ServiceTimes::succeeded(TimePoint now, ClassIndex of, UpstreamIndex upstream, Duration declared,
                             Duration took)
{
    auto &model = at(m_classes, of);
    auto &speed = at(m_speeds, upstream);
    const double time = logarithmOf(took);
    const double usual = speedLog(now, upstream) + pairLog(of, upstream);
    model.plain.add(time - usual);
    if (declared > Duration())
        model.relative.add(time - usual - logarithmOf(declared));
    const double ordinary =
        followsDeclared(model, declared) ? model.relative.mean + logarithmOf(declared) : model.plain.mean;
    const double error = time - ordinary - usual;
    learn(speed.residual, m_ordinarySpeed, error, upstreamPriorSamples);
    speed.learnedAt = now;
    learn(at(model.pairs, upstream), model.ordinaryPair, error, pairPriorSamples);
}

void ServiceTimes::stillRuns(TimePoint now, ClassIndex of, UpstreamIndex upstream, Duration declared,
                             Duration elapsed)
{
    const double error =
        logarithmOf(elapsed) - (classLog(of, declared) + speedLog(now, upstream) + pairLog(of, upstream));
    if (error <= 0 || !isLittleKnown(upstream))
        return;
    auto &speed = at(m_speeds, upstream);
    learn(speed.residual, m_ordinarySpeed, error, upstreamPriorSamples);
    speed.learnedAt = now;
}

bool ServiceTimes::isLittleKnown(UpstreamIndex upstream) const
{
    return upstream >= m_speeds.size() || m_speeds[upstream].residual.samples < samplesOfKnownSpeed;
}

Duration ServiceTimes::expected(TimePoint now, ClassIndex of, UpstreamIndex upstream, Duration declared) const
{
    return durationOf(classLog(of, declared) + speedLog(now, upstream) + pairLog(of, upstream));
}

Duration ServiceTimes::expected(ClassIndex of, Duration declared) const
{
    return durationOf(classLog(of, declared) + ordinaryLog(of));
}

Duration ServiceTimes::speed(UpstreamIndex upstream) const
{
    const bool isKnown = upstream < m_speeds.size() && m_speeds[upstream].residual.samples > 0;
    const double residual =
        isKnown ? m_speeds[upstream].residual.cautious(upstreamPriorSamples) : m_ordinarySpeed.value();
    return durationOf(std::log(unknownTime) + residual);
}

bool ServiceTimes::isLearned(ClassIndex of) const
{
    return of < m_classes.size() && m_classes[of].plain.samples >= samplesForSpread;
}

double ServiceTimes::upperFactor(ClassIndex of) const
{
    if (!isLearned(of))
        return assumedUpperFactor;
    return std::exp(upperDeviations * std::sqrt(m_classes[of].plain.variance));
}

Duration ServiceTimes::stuckAfter(TimePoint now, ClassIndex of, UpstreamIndex upstream,
                                  Duration declared) const
{
    double spread = largestStuckSpread;
    if (of < m_classes.size() && m_classes[of].plain.samples >= samplesForSpread)
        spread = std::clamp(stuckDeviations * std::sqrt(m_classes[of].plain.variance), leastStuckSpread,
                            largestStuckSpread);
    const double usual = classLog(of, declared) + speedLog(now, upstream) + pairLog(of, upstream);
    return durationOf(usual + spread + std::log(stuckFactor)) + stuckSlack;
}

void ServiceTimes::forgetUpstream(UpstreamIndex upstream)
{
    if (upstream < m_speeds.size())
        forget(m_speeds[upstream].residual, m_ordinarySpeed, upstreamPriorSamples);
    for (auto &it : m_classes) {
        if (upstream < it.pairs.size())
            forget(it.pairs[upstream], it.ordinaryPair, pairPriorSamples);
    }
}

void ServiceTimes::learn(Residual &residual, ResidualMean &ordinary, double error, double priorSamples)
{
    const bool isNew = residual.samples == 0;
    const double before = residual.cautious(priorSamples);
    residual.add(error);
    ordinary.sum += residual.cautious(priorSamples) - before;
    ordinary.count += isNew ? 1 : 0;
}

void ServiceTimes::forget(Residual &residual, ResidualMean &ordinary, double priorSamples)
{
    if (residual.samples == 0)
        return;
    ordinary.sum -= residual.cautious(priorSamples);
    --ordinary.count;
    residual = {};
}

double ServiceTimes::ordinaryLog(ClassIndex of) const
{
    const double pair = of < m_classes.size() ? m_classes[of].ordinaryPair.value() : 0;
    return m_ordinarySpeed.value() + pair;
}

double ServiceTimes::ResidualMean::value() const
{
    return count > 0 ? sum / count : 0;
}

double ServiceTimes::classLog(ClassIndex of, Duration declared) const
{
    const ClassModel *model = of < m_classes.size() ? &m_classes[of] : nullptr;
    if (model != nullptr && followsDeclared(*model, declared))
        return model->relative.mean + logarithmOf(declared);
    if (model != nullptr && model->plain.samples >= samplesOverDeclared)
        return model->plain.mean;
    if (declared > Duration())
        return logarithmOf(declared);
    return model != nullptr && model->plain.samples > 0 ? model->plain.mean : std::log(unknownTime);
}

double ServiceTimes::speedLog(TimePoint now, UpstreamIndex upstream) const
{
    const double ordinary = m_ordinarySpeed.value();
    if (upstream >= m_speeds.size() || m_speeds[upstream].residual.samples == 0)
        return ordinary;
    const auto &speed = m_speeds[upstream];
    const auto age = static_cast<double>((now - speed.learnedAt).count());
    const double special = speed.residual.cautious(upstreamPriorSamples) - ordinary;
    return ordinary + special * std::exp(-age / static_cast<double>(speedMemory.count()));
}

double ServiceTimes::pairLog(ClassIndex of, UpstreamIndex upstream) const
{
    if (of >= m_classes.size())
        return 0;
    const auto &model = m_classes[of];
    const bool isKnown = upstream < model.pairs.size() && model.pairs[upstream].samples > 0;
    return isKnown ? model.pairs[upstream].cautious(pairPriorSamples) : model.ordinaryPair.value();
}

bool ServiceTimes::followsDeclared(const ClassModel &model, Duration declared) const
{
    return declared > Duration() && model.relative.samples >= samplesForSpread
        && model.relative.variance < explainedShare * model.plain.variance;
}

void ServiceTimes::LogMean::add(double value)
{
    ++samples;
    const double weight = std::max(1.0 / samples, classWeight);
    const double error = value - mean;
    mean += weight * error;
    variance = (1 - weight) * (variance + weight * error * error);
}

void ServiceTimes::Residual::add(double error)
{
    ++samples;
    const double weight = std::max(1.0 / samples, speedWeight);
    value += weight * std::clamp(error, -largestError, largestError);
}

double ServiceTimes::Residual::cautious(double priorSamples) const
{
    return value * samples / (samples + priorSamples);
}

} // namespace Citronpitch
