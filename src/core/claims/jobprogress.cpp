#include "citronpitch/jobprogress.h"

#include <algorithm>
#include <utility>

namespace Citronpitch {

namespace {

/// Maximum number of attempts of an idempotent task that end without an answer.
constexpr std::uint32_t maximumUnresolvedAttempts = 3;

} // namespace

JobProgress::JobProgress(Submission submission, const FaultInjection &faults)
    : m_submission(std::move(submission))
    , m_faults(faults)
    , m_tasks(m_submission.tasks.size())
{
}

const Submission &JobProgress::submission() const
{
    return m_submission;
}

void JobProgress::attemptStarted(std::uint32_t task, AttemptId attempt, const std::string &upstream)
{
    auto &it = m_tasks.at(task);
    it.attempt = attempt;
    ++it.attempts;
    it.hasStarted = true;
    it.report.upstream = upstream;
}

void JobProgress::markStartedBeforeRestart(std::uint32_t task)
{
    auto &it = m_tasks.at(task);
    it.hasStarted = true;
    ++it.unresolvedAttempts;
}

NextStep JobProgress::attemptEnded(std::uint32_t task, const AttemptResult &result,
                                   const std::function<bool()> &takeRetry)
{
    auto &it = m_tasks.at(task);
    it.attempt.reset();
    if (result.outcome == AttemptOutcome::NotSent || result.outcome == AttemptOutcome::Declined)
        return NextStep::RequeueTask;
    if (result.outcome == AttemptOutcome::Broken) {
        ++it.unresolvedAttempts;
        if (mayRetry(it, takeRetry))
            return NextStep::RequeueTask;
        it.report.state = TaskState::MayHaveRun;
        return fail(Reason::TaskOutcomeUnknown,
                    "start: no answer from upstream " + it.report.upstream + "; the task may have run");
    }
    it.report.state = TaskState::Ran;
    it.report.status = result.status;
    it.report.result = result.body;
    if (!isSuccess(result.status))
        return fail(Reason::TaskFailed, "task: upstream " + it.report.upstream + " returned an error");
    ++m_succeededTasks;
    return m_succeededTasks == m_tasks.size() || m_faults.answersPartially ? NextStep::AnswerJob
                                                                           : NextStep::Continue;
}

std::vector<AttemptId> JobProgress::openAttempts() const
{
    std::vector<AttemptId> attempts;
    for (const auto &it : m_tasks) {
        if (it.attempt)
            attempts.push_back(*it.attempt);
    }
    return attempts;
}

bool JobProgress::hasOpenAttempts() const
{
    return std::any_of(m_tasks.begin(), m_tasks.end(), [](const auto &it) { return it.attempt.has_value(); });
}

bool JobProgress::hasStarted(std::uint32_t task) const
{
    return m_tasks.at(task).hasStarted;
}

bool JobProgress::isEveryTaskPlaced() const
{
    return std::all_of(m_tasks.begin(), m_tasks.end(),
                       [](const auto &it) { return it.attempt || it.report.state == TaskState::Ran; });
}

const std::string &JobProgress::upstreamOf(std::uint32_t task) const
{
    return m_tasks.at(task).report.upstream;
}

std::vector<TaskPlacement> JobProgress::placements() const
{
    std::vector<TaskPlacement> list;
    for (const auto &it : m_tasks) {
        const bool hasEnded = it.report.state == TaskState::Ran;
        const auto idle = hasEnded ? TaskStage::Ended : TaskStage::Waiting;
        list.push_back({it.attempt ? TaskStage::Running : idle, it.report.upstream, it.hasStarted});
    }
    return list;
}

Answer JobProgress::completeAnswer() const
{
    Answer answer{m_submission.key, Outcome::Complete, Reason::None, {}, {}, {}};
    answer.tasks.reserve(m_tasks.size());
    for (const auto &it : m_tasks)
        answer.tasks.push_back(it.report);
    if (m_faults.reversesResults)
        std::reverse(answer.tasks.begin(), answer.tasks.end());
    return answer;
}

Answer JobProgress::failedAnswer(Reason reason, std::string detail) const
{
    Answer answer{m_submission.key, Outcome::Failed, reason, std::move(detail), {}, {}};
    answer.tasks.reserve(m_tasks.size());
    for (const auto &it : m_tasks) {
        answer.tasks.push_back(it.report);
        const bool isUnknown = it.attempt || it.unresolvedAttempts > 0;
        if (isUnknown && !m_faults.reportsInFlightAsNotRun && it.report.state == TaskState::NotRun)
            answer.tasks.back().state = TaskState::MayHaveRun;
    }
    return answer;
}

Answer JobProgress::finalAnswer() const
{
    return m_failure == Reason::None ? completeAnswer() : failedAnswer(m_failure, m_failureDetail);
}

bool JobProgress::mayRetry(const Task &task, const std::function<bool()> &takeRetry) const
{
    const bool isRetryable =
        (m_submission.idempotent && m_tasks.size() == 1) || m_faults.retriesUnresolvedAttempts;
    return isRetryable && task.unresolvedAttempts < maximumUnresolvedAttempts && (!takeRetry || takeRetry());
}

NextStep JobProgress::fail(Reason reason, std::string detail)
{
    m_failure = reason;
    m_failureDetail = std::move(detail);
    return NextStep::AnswerJob;
}

} // namespace Citronpitch
