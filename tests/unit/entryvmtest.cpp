#include "citronpitch/entryvm.h"

#include <gtest/gtest.h>

using namespace Citronpitch;
using namespace std::chrono_literals;

namespace {

/// One entry VM alone, with one upstream of one slot whose tasks take 1 s.
class EntryVmTest : public testing::Test
{
protected:
    EntryVmTest()
        : vm(options())
    {
        Configuration configuration;
        configuration.classes = {{"short", 990000, 300ms}};
        vm.setConfiguration(now, configuration);
        UpstreamAnnouncement upstream;
        upstream.name = "u";
        upstream.address = "127.0.0.1";
        upstream.port = 1;
        upstream.slots = 1;
        upstream.incarnation = 1;
        upstream.leaseDeadline = now + 1h;
        vm.handleAnnouncement(now, upstream);
        vm.takeActions();
    }

    static EntryVmOptions options()
    {
        EntryVmOptions options;
        options.self = {"a1", "a"};
        options.incarnation = 1;
        options.vms = {options.self};
        return options;
    }

    void submit(CallerId caller, Duration patience)
    {
        CallerRequest request;
        request.submission.team = "t";
        request.submission.key = "01890000-0000-7000-8000-" + std::to_string(100'000'000'000 + caller);
        request.submission.className = "short";
        request.submission.deadline = now + patience;
        request.submission.tasks.resize(1);
        vm.handleRequest(now, caller, request);
        execute();
    }

    /// Notes starts and answers.
    void execute()
    {
        for (const auto &it : vm.takeActions()) {
            if (const auto *start = std::get_if<StartTask>(&it))
                running = start->attempt;
            else if (const auto *answer = std::get_if<AnswerCaller>(&it))
                answers[answer->caller] = answer->answer;
        }
    }

    /// Lets the running task end after the time that every task takes.
    void finishRunning()
    {
        now += 1s;
        vm.attemptEnded(now, running, {AttemptEnd::Answered, 200, {}});
        execute();
    }

    /// The date in the keys.
    TimePoint now = timePointOf(0x018900000000LL * 1000);
    EntryVm vm;
    AttemptId running = 0;
    std::map<CallerId, Answer> answers;
};

} // namespace

TEST_F(EntryVmTest, aJobThatCannotMeetItsDeadlineIsAnsweredAtOnce)
{
    CallerId caller = 1;
    for (; caller <= 20; ++caller) {
        submit(caller, 1min);
        finishRunning();
        ASSERT_EQ(answers.at(caller).outcome, Outcome::Complete);
    }
    submit(caller, 1min);
    const auto late = caller + 1;
    submit(late, 2500ms);
    ASSERT_FALSE(answers.contains(late));
    // The task before it takes longer than such tasks do.
    now += 1900ms;
    vm.tick(now);
    execute();
    ASSERT_TRUE(answers.contains(late));
    EXPECT_EQ(answers.at(late).outcome, Outcome::Failed);
    EXPECT_EQ(answers.at(late).reason, Reason::DeadlineOutOfReach);
    EXPECT_GT(answers.at(late).retryAt, now);
    EXPECT_EQ(answers.at(late).tasks.at(0).state, TaskState::NotRun);
}
