#include "core/dispatch/upstreamhealth.h"

#include <algorithm>
#include <cmath>

namespace Citronpitch {

namespace {

/// Failure probability of an unhealthy upstream.
constexpr double failingUpstreamFailureShare = 0.95;
/// Lower bound of the failure probability of a healthy upstream.
constexpr double minimumHealthyFailureShare = 0.02;
/// Prior of the failure share of the other upstreams, and its weight in upstreams.
constexpr double priorFailureShare = 0.1;
constexpr double priorWeight = 1;

/// Log-likelihood ratio at which an upstream is ejected.
constexpr double ejectionEvidence = 5;
/// Log-likelihood ratio below which a failed trial is explained by failures on the other upstreams.
constexpr double significantEvidence = 0.5;

constexpr Duration firstBackoff = std::chrono::seconds(2);
constexpr Duration maximumBackoff = std::chrono::seconds(30);

/// Failures in a row, of one class and of all others each, at which an upstream is ejected whatever happens
/// on the other upstreams. One of each may be chance while another class fails everywhere.
constexpr std::uint32_t failuresPerClass = 2;

/// At most one in this many upstreams is ejected or on trial.
constexpr std::uint32_t ejectableDivisor = 2;

} // namespace

UpstreamHealth::UpstreamHealth()
    : m_chart(upstreamChart())
{
}

void UpstreamHealth::add(UpstreamIndex upstream)
{
    remove(upstream);
    if (upstream >= m_upstreams.size())
        m_upstreams.resize(upstream + 1);
    m_upstreams[upstream] = {true, m_chart.initial(), 0, firstBackoff, {}};
    ++m_upstreamCount;
}

void UpstreamHealth::remove(UpstreamIndex upstream)
{
    if (upstream >= m_upstreams.size() || !m_upstreams[upstream].isTracked)
        return;
    if (m_upstreams[upstream].state != UpstreamState::Serving)
        --m_outOfService;
    m_upstreams[upstream] = {};
    --m_upstreamCount;
    for (auto &it : m_classOutcomes)
        it.record(upstream, LastOutcome::None);
    m_connectionOutcomes.record(upstream, LastOutcome::None);
    m_stuckOutcomes.record(upstream, LastOutcome::None);
}

bool UpstreamHealth::observe(TimePoint now, UpstreamIndex upstream, ClassIndex classIndex,
                             HealthSignal signal)
{
    auto &outcomes = outcomesOf(classIndex, signal);
    const double healthyShare = std::clamp(outcomes.failedShareOfOthers(upstream), minimumHealthyFailureShare,
                                           failingUpstreamFailureShare);
    const bool hasSucceeded = signal == HealthSignal::Succeeded;
    const double weight = hasSucceeded ? std::log((1 - failingUpstreamFailureShare) / (1 - healthyShare))
                                       : std::log(failingUpstreamFailureShare / healthyShare);
    if (hasSucceeded)
        recordSuccess(upstream, classIndex);
    else
        outcomes.record(upstream, LastOutcome::Failed);
    auto &entry = m_upstreams[upstream];
    if (hasSucceeded)
        entry.failuresOfFirstClass = entry.failuresOfOtherClasses = 0;
    const bool onlyFails = signal == HealthSignal::TaskFailed && recordFailure(entry, classIndex);
    if (entry.state == UpstreamState::Serving)
        return observeServing(now, upstream, onlyFails ? ejectionEvidence : weight);
    const bool isHealthy = hasSucceeded || weight < significantEvidence;
    return handleEvent(now, upstream, isHealthy ? UpstreamEvent::TrialSucceeded : UpstreamEvent::TrialFailed);
}

bool UpstreamHealth::endBackoff(TimePoint now, UpstreamIndex upstream)
{
    return now >= m_upstreams[upstream].backoffUntil
        && handleEvent(now, upstream, UpstreamEvent::BackoffPassed);
}

UpstreamState UpstreamHealth::state(UpstreamIndex upstream) const
{
    return m_upstreams[upstream].state;
}

TimePoint UpstreamHealth::backoffUntil(UpstreamIndex upstream) const
{
    return m_upstreams[upstream].backoffUntil;
}

std::optional<std::uint32_t> UpstreamHealth::taskLimit(UpstreamIndex upstream) const
{
    switch (m_upstreams[upstream].state) {
    case UpstreamState::Serving:
        return std::nullopt;
    case UpstreamState::Ejected:
        return 0;
    case UpstreamState::Trial:
    case UpstreamState::Recovering:
        break;
    }
    return 1;
}

UpstreamHealth::OutcomeTable &UpstreamHealth::outcomesOf(ClassIndex classIndex, HealthSignal signal)
{
    if (signal == HealthSignal::ConnectionFailed)
        return m_connectionOutcomes;
    if (signal == HealthSignal::Stuck)
        return m_stuckOutcomes;
    if (classIndex >= m_classOutcomes.size())
        m_classOutcomes.resize(classIndex + 1);
    return m_classOutcomes[classIndex];
}

void UpstreamHealth::recordSuccess(UpstreamIndex upstream, ClassIndex classIndex)
{
    outcomesOf(classIndex, HealthSignal::Succeeded).record(upstream, LastOutcome::Succeeded);
    m_connectionOutcomes.record(upstream, LastOutcome::Succeeded);
    m_stuckOutcomes.record(upstream, LastOutcome::Succeeded);
}

bool UpstreamHealth::observeServing(TimePoint now, UpstreamIndex upstream, double weight)
{
    auto &entry = m_upstreams[upstream];
    entry.evidence = std::clamp(entry.evidence + weight, 0.0, ejectionEvidence);
    return entry.evidence >= ejectionEvidence && canEject()
        && handleEvent(now, upstream, UpstreamEvent::EvidenceReached);
}

bool UpstreamHealth::recordFailure(TrackedUpstream &entry, ClassIndex classIndex)
{
    if (entry.failuresOfFirstClass == 0)
        entry.firstFailedClass = classIndex;
    ++(classIndex == entry.firstFailedClass ? entry.failuresOfFirstClass : entry.failuresOfOtherClasses);
    return entry.failuresOfFirstClass >= failuresPerClass && entry.failuresOfOtherClasses >= failuresPerClass;
}

bool UpstreamHealth::handleEvent(TimePoint now, UpstreamIndex upstream, UpstreamEvent event)
{
    auto &entry = m_upstreams[upstream];
    const auto *step = m_chart.find(entry.state, event);
    if (step == nullptr)
        return false;
    const bool wasServing = entry.state == UpstreamState::Serving;
    const bool isServing = step->target == UpstreamState::Serving;
    entry.state = step->target;
    for (const auto it : step->actions)
        performAction(now, entry, it);
    if (wasServing && !isServing)
        ++m_outOfService;
    if (!wasServing && isServing)
        --m_outOfService;
    return true;
}

void UpstreamHealth::performAction(TimePoint now, TrackedUpstream &entry, UpstreamAction action) const
{
    switch (action) {
    case UpstreamAction::StartBackoff:
        entry.backoffUntil = now + entry.backoff;
        break;
    case UpstreamAction::LengthenBackoff:
        entry.backoff = std::min(entry.backoff * 2, maximumBackoff);
        break;
    case UpstreamAction::ClearEvidence:
        entry.evidence = 0;
        entry.failuresOfFirstClass = entry.failuresOfOtherClasses = 0;
        entry.backoff = firstBackoff;
        break;
    }
}

bool UpstreamHealth::canEject() const
{
    return (m_outOfService + 1) * ejectableDivisor <= m_upstreamCount;
}

void UpstreamHealth::OutcomeTable::record(UpstreamIndex upstream, LastOutcome outcome)
{
    if (upstream >= outcomes.size()) {
        if (outcome == LastOutcome::None)
            return;
        outcomes.resize(upstream + 1);
    }
    auto &last = outcomes[upstream];
    if (last != LastOutcome::None)
        --known;
    if (last == LastOutcome::Failed)
        --failed;
    last = outcome;
    if (last != LastOutcome::None)
        ++known;
    if (last == LastOutcome::Failed)
        ++failed;
}

double UpstreamHealth::OutcomeTable::failedShareOfOthers(UpstreamIndex upstream) const
{
    const auto own = upstream < outcomes.size() ? outcomes[upstream] : LastOutcome::None;
    const double others = known - (own == LastOutcome::None ? 0 : 1);
    const double failures = failed - (own == LastOutcome::Failed ? 1 : 0);
    return (failures + priorFailureShare * priorWeight) / (others + priorWeight);
}

} // namespace Citronpitch
