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

/// Job that a caller may submit under a key; a key has several, which differ in their request body.
struct TestJob
{
    std::string key;
    std::uint32_t body = 0;
    std::uint32_t tasks = 1;
    bool idempotent = false;

    /// Returns the payload of the start message of task @p index.
    std::string payload(std::uint32_t index) const;

    auto operator<=>(const TestJob &) const = default;
};

/// Returns the result that an upstream computes for @p payload.
std::string expectedResult(const std::string &payload);

/**
 * @brief Test oracle that checks the externally visible behaviour against the invariants.
 *
 * Simulation reports every request, answer and task start to it; it knows nothing of the implementation. Only
 * the first violation is kept.
 */
class Oracle
{
public:
    void requested(std::uint64_t request, RequestKind kind, const TestJob &testJob, bool wait);
    void callerDisconnected(std::uint64_t request);
    void answered(std::uint64_t request, const Answer &answer);

    /// Records that an upstream starts the task with @p payload while @p running other attempts of it are in
    /// flight.
    void started(const std::string &payload, std::uint32_t running);

    /// Checks that no caller waits for an answer; to be called after all faults were removed and time has
    /// passed.
    void checkAllAnswered();

    /// Records a violation; all but the first are ignored.
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
        /// Number of starts of the job's tasks at the time of the request.
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
    /// Job that started first under each key.
    std::map<std::string, TestJob> m_startedJobs;
    /// Number of submissions of each job that were not refused.
    std::map<TestJob, int> m_unrefusedSubmissions;
    std::set<std::string> m_reportedNotRun;
    std::map<std::string, Answer> m_finalAnswers;
    std::optional<std::string> m_violation;
    std::uint64_t m_checkedStarts = 0;
    std::uint64_t m_checkedAnswers = 0;
};

} // namespace Citronpitch
