#pragma once

#include "citronpitch/runorder.h"
#include "citronpitch/timepoint.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Citronpitch {

/// Options of a SimulatedUpstream.
struct SimulatedUpstreamOptions
{
    std::string name = "u1";
    /// Number of tasks that it runs concurrently.
    std::size_t slots = 2;
    Duration taskTime = std::chrono::milliseconds(100);
    Duration maximumLease = std::chrono::milliseconds(1000);
    /// Rate of its clock, in thousandths of the virtual time.
    int clockRate = 1000;
};

/**
 * @brief Simulates an upstream in virtual time: runs, leases by its own clock, fencing tokens and the list of
 * ended runs.
 */
class SimulatedUpstream
{
public:
    SimulatedUpstream(TimePoint now, const SimulatedUpstreamOptions &options);

    /// Executes @p order at @p now and returns the answer.
    OrderResult execute(TimePoint now, const RunOrder &order);

    /// Ends the runs whose task time has passed or whose lease has expired by @p now.
    void advance(TimePoint now);

    /// Restarts with a new incarnation. The runs, the fencing token, the lease and the list of ended runs are
    /// lost, and the clock restarts at zero.
    void restart(TimePoint now);

    std::int64_t clockMs(TimePoint now) const;
    std::uint64_t incarnation() const;
    const std::string &name() const;

    /// Returns the names of the running tasks, with the numbers of their runs.
    std::map<std::string, std::uint32_t> running() const;

    /// Called with the task whenever a run starts.
    std::function<void(const std::string &task)> onStarted;

    /// Returns how the run of a task ends; RunEndKind::Done if it is not set.
    std::function<RunEndKind(const std::string &task)> endKindOf;

private:
    struct Run
    {
        std::uint32_t run = 0;
        TimePoint endsAt;
    };

    void start(TimePoint now, const RunOrder &order, OrderResult &result);
    void end(std::string task, RunEndKind how);

    SimulatedUpstreamOptions m_options;
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
