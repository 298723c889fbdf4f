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

/// What has to happen after an attempt has ended.
enum class NextStep {
    /// The job goes on; nothing is to be done for this task.
    Continue,
    /// The task did not start and has to be placed again.
    RequeueTask,
    /// The job has its final answer.
    AnswerJob,
};

/**
 * @brief Progress of one accepted job: what is known of each of its tasks, and the final answer.
 *
 * A task that may have run is never placed again, unless it is the only one of a job declared idempotent, and
 * then a bounded number of times. The job fails as soon as one task cannot succeed any more. Used by EntryVm.
 */
class JobProgress
{
public:
    explicit JobProgress(Submission submission, const FaultInjection &faults = {});

    const Submission &submission() const;

    /// Notes that the start message of @p task may be sent to @p upstream from now on.
    void attemptStarted(std::uint32_t task, AttemptId attempt, const std::string &upstream);

    /// Notes that an earlier life of the VM may have sent a start message of @p task.
    void markStartedBeforeRestart(std::uint32_t task);

    /**
     * Notes how the attempt of @p task ended.
     *
     * @p takeRetry is asked before an idempotent single request that may have run is tried again; without it
     * nothing limits retries but their number.
     */
    NextStep attemptEnded(std::uint32_t task, const AttemptResult &result,
                          const std::function<bool()> &takeRetry = nullptr);

    /// Attempts whose end is not known.
    std::vector<AttemptId> openAttempts() const;

    /// Whether a task of the job has an attempt whose end is not known.
    bool hasOpenAttempts() const;

    /// Whether a start message of the task may ever have been sent.
    bool hasStarted(std::uint32_t task) const;

    /// Whether every task has succeeded or has an attempt whose end is not known.
    bool isEveryTaskPlaced() const;

    /// Upstream of the last attempt of @p task; empty where there was none.
    const std::string &upstreamOf(std::uint32_t task) const;

    /// Where each task was placed so far.
    std::vector<TaskPlacement> placements() const;

    /// Complete answer; every task must have succeeded.
    Answer completeAnswer() const;

    /// Failed answer for @p reason; tasks in flight are reported as such that may have run.
    Answer failedAnswer(Reason reason, std::string detail) const;

    /// Reason and detail that led to NextStep::AnswerJob.
    Answer finalAnswer() const;

private:
    struct Task
    {
        std::optional<AttemptId> attempt;
        /// Attempts of this life, the one in flight included.
        std::uint32_t attempts = 0;
        /// Attempts whose end will never be known.
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
