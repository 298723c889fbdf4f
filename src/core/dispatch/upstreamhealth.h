#pragma once

#include "core/dispatch/servicetimemodel.h"
#include "core/dispatch/upstreamchart.h"

#include <optional>
#include <vector>

namespace Citronpitch {

/// Outcome of a task as a signal of the health of its upstream.
enum class HealthSignal {
    Succeeded,
    /// The task failed on the upstream; the class may be the cause.
    TaskFailed,
    /// The connection broke or was not established.
    ConnectionFailed,
    /// The task is still running long after its expected end.
    Stuck,
};

/**
 * @brief Detects failing upstreams, ejects them, and readmits them after successful trials.
 *
 * A sequential probability ratio test weighs each outcome by its frequency on the other upstreams: a failure
 * that occurs on all of them is evidence against the class and not against an upstream. Speed is not
 * considered. An upstream that only fails, in several classes, is ejected also while nothing is known of the
 * others. The states are those of charts/upstream.json.
 */
class UpstreamHealth
{
public:
    UpstreamHealth();

    /// Starts to track @p upstream, without any history.
    void add(UpstreamIndex upstream);

    /// Stops tracking @p upstream.
    void remove(UpstreamIndex upstream);

    /// Records an outcome of a task of a class. Returns whether the upstream has changed its state.
    bool observe(TimePoint now, UpstreamIndex upstream, ClassIndex classIndex, HealthSignal signal);

    /// Puts an ejected upstream on trial if its backoff has passed. Returns whether its state changed.
    bool endBackoff(TimePoint now, UpstreamIndex upstream);

    UpstreamState state(UpstreamIndex upstream) const;

    /// Returns when endBackoff() has to be called for an ejected upstream.
    TimePoint backoffUntil(UpstreamIndex upstream) const;

    /// Returns how many tasks may be in flight on @p upstream; nothing if only its capacity limits them.
    std::optional<std::uint32_t> taskLimit(UpstreamIndex upstream) const;

private:
    enum class LastOutcome : std::uint8_t { None, Succeeded, Failed };

    /// Last outcome of one kind on each upstream, with totals.
    struct OutcomeTable
    {
        std::vector<LastOutcome> outcomes;
        std::uint32_t known = 0;
        std::uint32_t failed = 0;
        void record(UpstreamIndex upstream, LastOutcome outcome);
        /// Returns the share of the other upstreams whose last outcome is a failure, including the prior.
        double failedShareOfOthers(UpstreamIndex upstream) const;
    };

    struct TrackedUpstream
    {
        bool isTracked = false;
        UpstreamState state = UpstreamState::Serving;
        double evidence = 0;
        Duration backoff{};
        TimePoint backoffUntil;
        /// Failures of tasks since the last success: of the class that failed first, and of the others.
        ClassIndex firstFailedClass = 0;
        std::uint32_t failuresOfFirstClass = 0;
        std::uint32_t failuresOfOtherClasses = 0;
    };

    OutcomeTable &outcomesOf(ClassIndex classIndex, HealthSignal signal);
    bool handleEvent(TimePoint now, UpstreamIndex upstream, UpstreamEvent event);
    void performAction(TimePoint now, TrackedUpstream &entry, UpstreamAction action) const;
    bool canEject() const;
    bool observeServing(TimePoint now, UpstreamIndex upstream, double weight);
    /// Counts a failure of a task since the last success. Returns whether several classes only fail.
    static bool recordFailure(TrackedUpstream &entry, ClassIndex classIndex);
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
