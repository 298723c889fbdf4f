#include "core/dispatch/upstreamhealth.h"

#include <algorithm>
#include <cmath>

namespace Citronpitch {

namespace {

/// Share of failures that a broken upstream shows.
constexpr double brokenFailureShare = 0.95;
/// Failures expected of a sound upstream when no other has failed.
constexpr double leastFailureShare = 0.02;
/// Share of failures that is assumed before other upstreams have shown any outcome, and its weight among
/// them.
constexpr double assumedShare = 0.1;
constexpr double assumedWeight = 1;

/// Evidence, as the logarithm of a likelihood ratio, at which an upstream is ejected.
constexpr double evidenceLimit = 5;
/// Evidence below which a failed trial shows no more than the other upstreams do.
constexpr double tellingEvidence = 0.5;

constexpr Duration firstBackoff = std::chrono::seconds(2);
constexpr Duration longestBackoff = std::chrono::seconds(30);

/// At most one in this many upstreams is out of service for failures alone.
constexpr std::uint32_t ejectableDivisor = 2;

} // namespace

UpstreamHealth::UpstreamHealth()
    : m_chart(upstreamChart())
{
}

void UpstreamHealth::add(UpstreamIndex upstream)
{
    remove(upstream);
    if (upstream >= m_watched.size())
        m_watched.resize(upstream + 1);
    m_watched[upstream] = {true, m_chart.initial(), 0, firstBackoff, {}};
    ++m_count;
}

void UpstreamHealth::remove(UpstreamIndex upstream)
{
    if (upstream >= m_watched.size() || !m_watched[upstream].isWatched)
        return;
    if (m_watched[upstream].state != UpstreamState::Serving)
        --m_outOfService;
    m_watched[upstream] = {};
    --m_count;
    for (auto &it : m_classes)
        it.note(upstream, LastOutcome::None);
    m_connections.note(upstream, LastOutcome::None);
    m_progress.note(upstream, LastOutcome::None);
}

bool UpstreamHealth::observe(TimePoint now, UpstreamIndex upstream, ClassIndex of, HealthSign sign)
{
    auto &witnesses = this->witnesses(of, sign);
    const double sound =
        std::clamp(witnesses.failedShareOfOthers(upstream), leastFailureShare, brokenFailureShare);
    const bool hasSucceeded = sign == HealthSign::Succeeded;
    const double weight = hasSucceeded ? std::log((1 - brokenFailureShare) / (1 - sound))
                                       : std::log(brokenFailureShare / sound);
    if (hasSucceeded)
        noteSuccess(upstream, of);
    else
        witnesses.note(upstream, LastOutcome::Failed);
    auto &watched = m_watched[upstream];
    if (watched.state == UpstreamState::Serving)
        return observeServing(now, upstream, weight);
    const bool isSound = hasSucceeded || weight < tellingEvidence;
    return fire(now, upstream, isSound ? UpstreamEvent::TrialSucceeded : UpstreamEvent::TrialFailed);
}

bool UpstreamHealth::passTime(TimePoint now, UpstreamIndex upstream)
{
    return now >= m_watched[upstream].backoffUntil && fire(now, upstream, UpstreamEvent::BackoffPassed);
}

UpstreamState UpstreamHealth::state(UpstreamIndex upstream) const
{
    return m_watched[upstream].state;
}

TimePoint UpstreamHealth::backoffUntil(UpstreamIndex upstream) const
{
    return m_watched[upstream].backoffUntil;
}

std::optional<std::uint32_t> UpstreamHealth::taskLimit(UpstreamIndex upstream) const
{
    switch (m_watched[upstream].state) {
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

UpstreamHealth::Witnesses &UpstreamHealth::witnesses(ClassIndex of, HealthSign sign)
{
    if (sign == HealthSign::ConnectionFailed)
        return m_connections;
    if (sign == HealthSign::Stuck)
        return m_progress;
    if (of >= m_classes.size())
        m_classes.resize(of + 1);
    return m_classes[of];
}

void UpstreamHealth::noteSuccess(UpstreamIndex upstream, ClassIndex of)
{
    witnesses(of, HealthSign::Succeeded).note(upstream, LastOutcome::Succeeded);
    m_connections.note(upstream, LastOutcome::Succeeded);
    m_progress.note(upstream, LastOutcome::Succeeded);
}

bool UpstreamHealth::observeServing(TimePoint now, UpstreamIndex upstream, double weight)
{
    auto &watched = m_watched[upstream];
    watched.evidence = std::clamp(watched.evidence + weight, 0.0, evidenceLimit);
    return watched.evidence >= evidenceLimit && mayEject()
        && fire(now, upstream, UpstreamEvent::EvidenceReached);
}

bool UpstreamHealth::fire(TimePoint now, UpstreamIndex upstream, UpstreamEvent event)
{
    auto &watched = m_watched[upstream];
    const auto *step = m_chart.find(watched.state, event);
    if (step == nullptr)
        return false;
    const bool wasServing = watched.state == UpstreamState::Serving;
    const bool isServing = step->target == UpstreamState::Serving;
    watched.state = step->target;
    for (const auto it : step->actions)
        perform(now, watched, it);
    if (wasServing && !isServing)
        ++m_outOfService;
    if (!wasServing && isServing)
        --m_outOfService;
    return true;
}

void UpstreamHealth::perform(TimePoint now, Watched &watched, UpstreamAction action) const
{
    switch (action) {
    case UpstreamAction::StartBackoff:
        watched.backoffUntil = now + watched.backoff;
        break;
    case UpstreamAction::LengthenBackoff:
        watched.backoff = std::min(watched.backoff * 2, longestBackoff);
        break;
    case UpstreamAction::ClearEvidence:
        watched.evidence = 0;
        watched.backoff = firstBackoff;
        break;
    }
}

bool UpstreamHealth::mayEject() const
{
    return (m_outOfService + 1) * ejectableDivisor <= m_count;
}

void UpstreamHealth::Witnesses::note(UpstreamIndex upstream, LastOutcome outcome)
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

double UpstreamHealth::Witnesses::failedShareOfOthers(UpstreamIndex upstream) const
{
    const auto own = upstream < outcomes.size() ? outcomes[upstream] : LastOutcome::None;
    const double others = known - (own == LastOutcome::None ? 0 : 1);
    const double failures = failed - (own == LastOutcome::Failed ? 1 : 0);
    return (failures + assumedShare * assumedWeight) / (others + assumedWeight);
}

} // namespace Citronpitch
