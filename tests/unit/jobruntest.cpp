#include "citronpitch/jobrun.h"

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

const AttemptResult declined{AttemptEnd::Declined, 503, {}};
const AttemptResult broken{AttemptEnd::Broken, 0, {}};
const AttemptResult success{AttemptEnd::Answered, 200, "ok"};

} // namespace

TEST(JobRunTest, isCompleteOnceEveryTaskSucceeded)
{
    JobRun run(submission(2, false));
    run.start(0, 1, "u");
    run.start(1, 2, "u");
    EXPECT_EQ(run.end(1, success), AfterAttempt::Continue);
    EXPECT_EQ(run.end(0, success), AfterAttempt::AnswerJob);
    EXPECT_EQ(run.finalAnswer().outcome, Outcome::Complete);
    EXPECT_EQ(run.finalAnswer().tasks.size(), 2U);
}

TEST(JobRunTest, aDeclinedTaskIsPlacedAgainAndIsNotRun)
{
    for (const bool idempotent : {false, true}) {
        JobRun run(submission(1, idempotent));
        run.start(0, 1, "u");
        EXPECT_EQ(run.end(0, declined), AfterAttempt::PlaceAgain);
        EXPECT_EQ(run.failedAnswer(Reason::DeadlinePassed, {}).tasks.front().state, TaskState::NotRun);
    }
}

TEST(JobRunTest, aTaskThatMayHaveRunFailsTheJob)
{
    for (const std::size_t tasks : {1U, 2U}) {
        JobRun run(submission(tasks, tasks > 1));
        run.start(0, 1, "u");
        EXPECT_EQ(run.end(0, broken), AfterAttempt::AnswerJob);
        EXPECT_EQ(run.finalAnswer().outcome, Outcome::Failed);
        EXPECT_EQ(run.finalAnswer().tasks.front().state, TaskState::MayHaveRun);
    }
}

TEST(JobRunTest, anIdempotentSingleTaskIsRetriedWithinItsBudget)
{
    JobRun run(submission(1, true));
    int starts = 0;
    auto next = AfterAttempt::PlaceAgain;
    while (next == AfterAttempt::PlaceAgain && starts < 10) {
        run.start(0, static_cast<AttemptId>(++starts), "u");
        next = run.end(0, broken);
    }
    EXPECT_EQ(next, AfterAttempt::AnswerJob);
    EXPECT_EQ(starts, 3);
}

TEST(JobRunTest, aBrokenAttemptIsRememberedThroughADeclinedOne)
{
    JobRun run(submission(1, true));
    run.start(0, 1, "u");
    EXPECT_EQ(run.end(0, broken), AfterAttempt::PlaceAgain);
    run.start(0, 2, "u");
    EXPECT_EQ(run.end(0, declined), AfterAttempt::PlaceAgain);
    EXPECT_EQ(run.failedAnswer(Reason::DeadlinePassed, {}).tasks.front().state, TaskState::MayHaveRun);
}

TEST(JobRunTest, aTaskStartedInAnEarlierLifeMayHaveRun)
{
    JobRun run(submission(2, false));
    run.startedEarlier(1);
    const auto answer = run.failedAnswer(Reason::OutcomeOfTaskUnknown, {});
    EXPECT_EQ(answer.tasks[0].state, TaskState::NotRun);
    EXPECT_EQ(answer.tasks[1].state, TaskState::MayHaveRun);
}
