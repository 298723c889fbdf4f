#pragma once

#include "citronpitch/timepoint.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace Citronpitch {

/// What a SoakLedger has counted.
struct SoakCounts
{
    std::uint64_t submitted = 0;
    std::uint64_t completed = 0;
    std::uint64_t refused = 0;
    std::uint64_t unknown = 0;
    std::uint64_t starts = 0;
    std::uint64_t accepted = 0;
    std::uint64_t reads = 0;
    std::uint64_t crashes = 0;
    std::uint64_t failed = 0;
};

/**
 * @brief What callers, operators and executors of a soak have seen, and which promise that breaks.
 *
 * Called from the threads of the callers and of the executors. Used by SoakRun.
 */
class SoakLedger
{
public:
    /// Executors.
    void started(const std::string &task, const std::vector<std::string> &alsoRunningOn);
    void done(const std::string &task);
    /// An executor has crashed while it ran @p tasks.
    void crashed(const std::vector<std::string> &tasks);

    /// Callers. A status of zero: no whole answer came.
    void submitted(const std::string &id, unsigned tasks);
    void answered(const std::string &id, int status);
    /// A job was answered as failed, since a task of it crashes its executors.
    void failed(const std::string &id);
    /// A request was cut off although nothing but planned work was going on.
    void cutOff(const std::string &id, const std::string &vm);

    /// Operators.
    void ordered(std::uint64_t version, const std::string &text);
    void accepted(TimePoint now, std::uint64_t version);
    void orderRefused(std::uint64_t version, int status);
    /// A read that was sent at @p sentAt to process @p life of @p vm.
    void read(TimePoint sentAt, const std::string &vm, std::uint64_t life, const std::string &body);
    /// Whether @p body is the newest configuration that may be in force.
    bool isNewest(const std::string &body) const;

    void fail(const std::string &text);

    /// Broken promises, in the order in which they were seen.
    std::vector<std::string> failures() const;
    SoakCounts counts() const;

private:
    struct Job
    {
        unsigned tasks = 0;
        std::set<std::string> done;
        bool hasStarted = false;
        /// Answers that say that it has not run, and others.
        unsigned refusals = 0;
        unsigned others = 0;
        unsigned open = 0;
        /// Crashes of executors before the first submission.
        std::uint64_t crashesBefore = 0;
    };

    /// Crashes of executors under one task, and its starts after the first crashLimit of them.
    struct CrashingTask
    {
        unsigned crashes = 0;
        unsigned startsAfterLimit = 0;
    };

    void failLocked(const std::string &text);
    void checkRefusal(const std::string &id, const Job &job);

    mutable std::mutex m_mutex;
    std::map<std::string, Job> m_jobs;
    std::map<std::uint64_t, std::string> m_ordered;
    std::map<std::uint64_t, TimePoint> m_acceptedAt;
    std::map<std::string, std::uint64_t> m_readByLife;
    std::map<std::string, CrashingTask> m_crashingTasks;
    std::vector<std::string> m_failures;
    SoakCounts m_counts;
};

} // namespace Citronpitch
