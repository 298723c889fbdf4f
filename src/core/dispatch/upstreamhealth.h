#pragma once

#include "core/dispatch/servicetimemodel.h"
#include "core/dispatch/upstreamchart.h"

#include <optional>
#include <vector>

namespace Citronpitch {

/// What an outcome says about the health of an upstream.
enum class HealthSignal {
    Succeeded,
    /// The task failed on the upstream: the class may be to blame.
    TaskFailed,
    /// The connection broke or was never made.
    ConnectionFailed,
    /// The task has not ended long past its expected time.
    Stuck,
};

/**
 * @brief Tells failing upstreams from failing work, and keeps failing upstreams to a trickle.
 *
 * A sequential probability ratio test weighs each outcome by how often the same kind of outcome is seen on
 * the other upstreams: a failure that all upstreams show says nothing about one. UpstreamSpeed plays no part.
 * The life of an upstream follows charts/upstream.json. Used by Dispatcher.
 */
class UpstreamHealth
{
public:
    UpstreamHealth();

    /// Starts to watch @p upstream afresh.
    void add(UpstreamIndex upstream);

    /// Stops watching @p upstream.
    void remove(UpstreamIndex upstream);

    /// Learns from an outcome of a task of class @p classIndex. Returns whether the state changed.
    bool observe(TimePoint now, UpstreamIndex upstream, ClassIndex classIndex, HealthSignal signal);

    /// Moves an ejected upstream on when its backoff has passed. Returns whether the state changed.
    bool endBackoff(TimePoint now, UpstreamIndex upstream);

    UpstreamState state(UpstreamIndex upstream) const;

    /// When endBackoff() has to be called for an ejected upstream.
    TimePoint backoffUntil(UpstreamIndex upstream) const;

    /// How many tasks may be in flight on @p upstream; nothing where only its capacity limits it.
    std::optional<std::uint32_t> taskLimit(UpstreamIndex upstream) const;

private:
    enum class LastOutcome : std::uint8_t { None, Succeeded, Failed };

    /// Last outcome of one kind on each upstream.
    struct OutcomeTable
    {
        std::vector<LastOutcome> outcomes;
        std::uint32_t known = 0;
        std::uint32_t failed = 0;
        void record(UpstreamIndex upstream, LastOutcome outcome);
        /// Share of the other upstreams that failed last.
        double failedShareOfOthers(UpstreamIndex upstream) const;
    };

    struct TrackedUpstream
    {
        bool isTracked = false;
        UpstreamState state = UpstreamState::Serving;
        double evidence = 0;
        Duration backoff{};
        TimePoint backoffUntil;
    };

    OutcomeTable &outcomesOf(ClassIndex classIndex, HealthSignal signal);
    bool handleEvent(TimePoint now, UpstreamIndex upstream, UpstreamEvent event);
    void performAction(TimePoint now, TrackedUpstream &entry, UpstreamAction action) const;
    bool canEject() const;
    bool observeServing(TimePoint now, UpstreamIndex upstream, double weight);
    void recordSuccess(UpstreamIndex upstream, ClassIndex classIndex);

    const UpstreamChart &m_chart;
    std::vector<TrackedUpstream> m_upstreams;
    std::vector<OutcomeTable> m_classOutcomes;
    OutcomeTable m_connectionOutcomes;
    OutcomeTable m_stuckOutcomes;
    std::uint32_t m_upstreamCount = 0;
    std::uint32_t m_outOfService = 0;
};

} // namespace Citronpitch
