#pragma once

#include "citronpitch/action.h"
#include "citronpitch/faultinjection.h"
#include "citronpitch/job.h"
#include "citronpitch/jobexplanation.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace Citronpitch {

/// What EntryVm has to do after an attempt has ended.
enum class NextStep {
    /// Nothing; other tasks of the job are not finished.
    Continue,
    /// Requeue the task, because it did not start or may be retried.
    RequeueTask,
    /// Send the final answer of the job.
    AnswerJob,
};

/**
 * @brief Tracks the state of each task of an accepted job and builds the final answer.
 *
 * A task that may have run is never retried, unless it is the only task of an idempotent job, and then only a
 * bounded number of times. The job fails as soon as one task can no longer succeed. Used by EntryVm.
 */
class JobProgress
{
public:
    explicit JobProgress(Submission submission, const FaultInjection &faults = {});

    const Submission &submission() const;

    /// Records that the start message of @p task may be sent to @p upstream from now on.
    void attemptStarted(std::uint32_t task, AttemptId attempt, const std::string &upstream);

    /// Records that a previous incarnation of the VM may have sent a start message for @p task.
    void markStartedBeforeRestart(std::uint32_t task);

    /**
     * Records the result of the current attempt of @p task.
     *
     * @p takeRetry is called before an idempotent single task that may have run is retried, and returns
     * whether the retry budget allows it. If null, only the maximum number of attempts limits retries.
     */
    NextStep attemptEnded(std::uint32_t task, const AttemptResult &result,
                          const std::function<bool()> &takeRetry = nullptr);

    /// Returns the attempts in flight.
    std::vector<AttemptId> openAttempts() const;

    /// Whether any attempt is in flight.
    bool hasOpenAttempts() const;

    /// Whether a start message for @p task may have been sent, also by a previous incarnation.
    bool hasStarted(std::uint32_t task) const;

    /// Whether every task has either run or has an attempt in flight.
    bool isEveryTaskPlaced() const;

    /// Returns the upstream of the last attempt of @p task; empty if there was none.
    const std::string &upstreamOf(std::uint32_t task) const;

    /// Returns the placement of each task so far.
    std::vector<TaskPlacement> placements() const;

    /// Returns the answer of a completed job; every task must have succeeded.
    Answer completeAnswer() const;

    /// Returns a failed answer for @p reason; tasks in flight are reported as TaskState::MayHaveRun.
    Answer failedAnswer(Reason reason, std::string detail) const;

    /// Returns the answer to send after NextStep::AnswerJob.
    Answer finalAnswer() const;

private:
    struct Task
    {
        std::optional<AttemptId> attempt;
        /// Number of attempts in this incarnation, including the one in flight.
        std::uint32_t attempts = 0;
        /// Number of attempts of which it is not known whether the task ran; those of previous incarnations
        /// count as one.
        std::uint32_t unresolvedAttempts = 0;
        bool hasStarted = false;
        TaskReport report;
    };

    bool mayRetry(const Task &task, const std::function<bool()> &takeRetry) const;
    NextStep fail(Reason reason, std::string detail);

    Submission m_submission;
    FaultInjection m_faults;
    std::vector<Task> m_tasks;
    std::size_t m_succeededTasks = 0;
    Reason m_failure = Reason::None;
    std::string m_failureDetail;
};

} // namespace Citronpitch
