#pragma once

#include "citronpitch/runorder.h"
#include "citronpitch/timepoint.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Citronpitch {

/// How an SimulatedUpstream behaves.
struct SimulatedUpstreamOptions
{
    std::string name = "u1";
    /// Tasks that run side by side.
    std::size_t slots = 2;
    Duration taskTime = std::chrono::milliseconds(100);
    Duration maximumLease = std::chrono::milliseconds(1000);
    /// Rate of its clock, in thousandths of real time.
    int clockRate = 1000;
};

/**
 * @brief An upstream that carries out orders under virtual time: runs, leases on its own clock, fencing
 * tokens and the list of ends. Used by tests of what dispatches to upstreams.
 */
class SimulatedUpstream
{
public:
    SimulatedUpstream(TimePoint now, const SimulatedUpstreamOptions &plan);

    /// Carries out @p order at @p now and returns its answer.
    OrderResult execute(TimePoint now, const RunOrder &order);

    /// Ends the runs that are due, and those whose lease is over.
    void advance(TimePoint now);

    /// Loses everything and starts again in a new life.
    void restart(TimePoint now);

    std::int64_t clockMs(TimePoint now) const;
    std::uint64_t incarnation() const;
    const std::string &name() const;

    /// Tasks that run, by name, with the numbers of their runs.
    std::map<std::string, std::uint32_t> running() const;

    /// Called with the task whenever a run starts.
    std::function<void(const std::string &task)> onStarted;

    /// How a run ends; done where nothing is set.
    std::function<RunEndKind(const std::string &task)> endKindOf;

private:
    struct Run
    {
        std::uint32_t run = 0;
        TimePoint endsAt;
    };

    void start(TimePoint now, const RunOrder &order, OrderResult &result);
    void end(std::string task, RunEndKind how);

    SimulatedUpstreamOptions m_plan;
    TimePoint m_startedAt;
    std::uint64_t m_incarnation = 1;
    std::uint64_t m_fence = 0;
    std::int64_t m_leaseMs = 0;
    std::map<std::string, Run> m_runs;
    std::map<std::string, std::uint32_t> m_highestEnded;
    std::vector<EndedRun> m_ended;
    std::uint64_t m_endCount = 0;
};

} // namespace Citronpitch
