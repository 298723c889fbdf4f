#pragma once

#include "citronpitch/entryvm.h"
#include "citronpitch/job.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Citronpitch {

/// One body that a caller may submit under a key.
struct TestJob
{
    std::string key;
    std::uint32_t body = 0;
    std::uint32_t tasks = 1;
    bool idempotent = false;

    /// What the start message of task @p index carries.
    std::string payload(std::uint32_t index) const;

    auto operator<=>(const TestJob &) const = default;
};

/// The result that an upstream gives for @p payload.
std::string expectedResult(const std::string &payload);

/**
 * @brief Says whether what callers and upstreams see keeps the promises, knowing nothing of how it is done.
 *
 * Is told of every request, answer and start. The first reportViolation is kept as text. Used by Simulation.
 */
class Oracle
{
public:
    void requested(std::uint64_t request, RequestKind kind, const TestJob &testJob, bool wait);
    void callerDisconnected(std::uint64_t request);
    void answered(std::uint64_t request, const Answer &answer);

    /// An upstream starts the task with @p payload while @p running attempts of it are known to run.
    void started(const std::string &payload, std::uint32_t running);

    /// Faults have ended and time has passed: nobody may wait any more.
    void checkAllAnswered();

    /// Notes a reportViolation that was found elsewhere.
    void reportViolation(const std::string &text);

    const std::optional<std::string> &violation() const;
    std::uint64_t checkedStarts() const;
    std::uint64_t checkedAnswers() const;

private:
    struct Request
    {
        RequestKind kind = RequestKind::Submit;
        TestJob testJob;
        bool wait = true;
        /// Starts of the testJob when the request was made.
        std::uint32_t startsBefore = 0;
    };

    struct TaskRef
    {
        TestJob testJob;
        std::uint32_t index = 0;
    };

    void checkComplete(const TestJob &testJob, const Answer &answer);
    void checkFailed(const TestJob &testJob, const Answer &answer);
    void checkRefused(const Request &request, const Answer &answer);
    void checkAnswerUnchanged(const Answer &answer);
    std::uint32_t startsOf(const TestJob &testJob) const;
    const TestJob *findStarted(const std::string &key) const;

    std::map<std::uint64_t, Request> m_open;
    std::map<std::string, TaskRef> m_tasks;
    std::map<std::string, std::uint32_t> m_starts;
    /// Body that started under each key.
    std::map<std::string, TestJob> m_startedJobs;
    /// Submissions of each body that were not refused.
    std::map<TestJob, int> m_unrefusedSubmissions;
    std::set<std::string> m_reportedNotRun;
    std::map<std::string, Answer> m_finalAnswers;
    std::optional<std::string> m_violation;
    std::uint64_t m_checkedStarts = 0;
    std::uint64_t m_checkedAnswers = 0;
};

} // namespace Citronpitch
