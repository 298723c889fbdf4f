#pragma once

#include "core/dispatch/servicetimes.h"
#include "core/dispatch/upstreamlife.h"

#include <optional>
#include <vector>

namespace Citronpitch {

/// What an outcome says about the health of an upstream.
enum class HealthSign {
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
 * the other upstreams: a failure that all upstreams show says nothing about one. Speed plays no part. The
 * life of an upstream follows charts/upstream.json. Used by Dispatcher.
 */
class UpstreamHealth
{
public:
    UpstreamHealth();

    /// Starts to watch @p upstream afresh.
    void add(UpstreamIndex upstream);

    /// Stops watching @p upstream.
    void remove(UpstreamIndex upstream);

    /// Learns from an outcome of a task of class @p of. Returns whether the state changed.
    bool observe(TimePoint now, UpstreamIndex upstream, ClassIndex of, HealthSign sign);

    /// Moves an ejected upstream on when its backoff has passed. Returns whether the state changed.
    bool passTime(TimePoint now, UpstreamIndex upstream);

    UpstreamState state(UpstreamIndex upstream) const;

    /// When passTime() has to be called for an ejected upstream.
    TimePoint backoffUntil(UpstreamIndex upstream) const;

    /// How many tasks may be in flight on @p upstream; nothing where only its capacity limits it.
    std::optional<std::uint32_t> taskLimit(UpstreamIndex upstream) const;

private:
    enum class LastOutcome : std::uint8_t { None, Succeeded, Failed };

    /// Last outcome of one kind on each upstream.
    struct Witnesses
    {
        std::vector<LastOutcome> outcomes;
        std::uint32_t known = 0;
        std::uint32_t failed = 0;
        void note(UpstreamIndex upstream, LastOutcome outcome);
        /// Share of the other upstreams that failed last.
        double failedShareOfOthers(UpstreamIndex upstream) const;
    };

    struct Watched
    {
        bool isWatched = false;
        UpstreamState state = UpstreamState::Serving;
        double evidence = 0;
        Duration backoff{};
        TimePoint backoffUntil;
    };

    Witnesses &witnesses(ClassIndex of, HealthSign sign);
    bool fire(TimePoint now, UpstreamIndex upstream, UpstreamEvent event);
    void perform(TimePoint now, Watched &watched, UpstreamAction action) const;
    bool mayEject() const;
    bool observeServing(TimePoint now, UpstreamIndex upstream, double weight);
    void noteSuccess(UpstreamIndex upstream, ClassIndex of);

    const UpstreamChart &m_chart;
    std::vector<Watched> m_watched;
    std::vector<Witnesses> m_classes;
    Witnesses m_connections;
    Witnesses m_progress;
    std::uint32_t m_count = 0;
    std::uint32_t m_outOfService = 0;
};

} // namespace Citronpitch
