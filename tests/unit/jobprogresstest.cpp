#include "citronpitch/jobprogress.h"

#include <gtest/gtest.h>

using namespace Citronpitch;

namespace {

Submission submission(std::size_t tasks, bool idempotent)
{
    Submission submission;
    submission.key = "order";
    submission.idempotent = idempotent;
    submission.tasks.resize(tasks);
    return submission;
}

const AttemptResult declined{AttemptOutcome::Declined, 503, {}};
const AttemptResult broken{AttemptOutcome::Broken, 0, {}};
const AttemptResult success{AttemptOutcome::Answered, 200, "ok"};

} // namespace

// Guards against an answer that is sent before the last task has ended.
TEST(JobProgressTest, completesWhenEveryTaskSucceeded)
{
    JobProgress progress(submission(2, false));
    progress.attemptStarted(0, 1, "u");
    progress.attemptStarted(1, 2, "u");
    EXPECT_EQ(progress.attemptEnded(1, success), NextStep::Continue);
    EXPECT_EQ(progress.attemptEnded(0, success), NextStep::AnswerJob);
    EXPECT_EQ(progress.finalAnswer().outcome, Outcome::Complete);
    EXPECT_EQ(progress.finalAnswer().tasks.size(), 2U);
}

// Guards against a declined task that is reported as possibly run: an upstream declines before it starts a
// task.
TEST(JobProgressTest, requeuesDeclinedTaskAndReportsItAsNotRun)
{
    for (const bool idempotent : {false, true}) {
        JobProgress progress(submission(1, idempotent));
        progress.attemptStarted(0, 1, "u");
        EXPECT_EQ(progress.attemptEnded(0, declined), NextStep::RequeueTask);
        EXPECT_EQ(progress.failedAnswer(Reason::DeadlinePassed, {}).tasks.front().state, TaskState::NotRun);
    }
}

// Guards against a second run after a lost connection. Only an idempotent job of one task may be retried.
TEST(JobProgressTest, failsJobIfTaskMayHaveRun)
{
    for (const std::size_t tasks : {1U, 2U}) {
        JobProgress progress(submission(tasks, tasks > 1));
        progress.attemptStarted(0, 1, "u");
        EXPECT_EQ(progress.attemptEnded(0, broken), NextStep::AnswerJob);
        EXPECT_EQ(progress.finalAnswer().outcome, Outcome::Failed);
        EXPECT_EQ(progress.finalAnswer().tasks.front().state, TaskState::MayHaveRun);
    }
}

// Guards against endless retries of a task that breaks every connection.
TEST(JobProgressTest, retriesIdempotentSingleTaskUpToLimit)
{
    JobProgress progress(submission(1, true));
    int starts = 0;
    auto next = NextStep::RequeueTask;
    while (next == NextStep::RequeueTask && starts < 10) {
        progress.attemptStarted(0, static_cast<AttemptId>(++starts), "u");
        next = progress.attemptEnded(0, broken);
    }
    EXPECT_EQ(next, NextStep::AnswerJob);
    EXPECT_EQ(starts, 3);
}

// Guards against a wrong "not run": the first attempt may have run, and only the second one was declined.
TEST(JobProgressTest, keepsUnresolvedAttemptAfterDeclinedOne)
{
    JobProgress progress(submission(1, true));
    progress.attemptStarted(0, 1, "u");
    EXPECT_EQ(progress.attemptEnded(0, broken), NextStep::RequeueTask);
    progress.attemptStarted(0, 2, "u");
    EXPECT_EQ(progress.attemptEnded(0, declined), NextStep::RequeueTask);
    EXPECT_EQ(progress.failedAnswer(Reason::DeadlinePassed, {}).tasks.front().state, TaskState::MayHaveRun);
}

// Guards against a wrong "not run" for a task that a previous incarnation of the VM may have started.
TEST(JobProgressTest, reportsTaskStartedBeforeRestartAsMayHaveRun)
{
    JobProgress progress(submission(2, false));
    progress.markStartedBeforeRestart(1);
    const auto answer = progress.failedAnswer(Reason::TaskOutcomeUnknown, {});
    EXPECT_EQ(answer.tasks[0].state, TaskState::NotRun);
    EXPECT_EQ(answer.tasks[1].state, TaskState::MayHaveRun);
}
