#include "citronpitch/claimreplay.h"
#include "citronpitch/entryvm.h"
#include "citronpitch/wireconvert.h"

#include "wire/peer.pb.h"

#include <gtest/gtest.h>

using namespace Citronpitch;
namespace wire = citronpitch::wire;

namespace {

const auto now = timePointOf(1'700'000'000'000'000);

std::string claimRecord(const std::string &key, std::size_t tasks)
{
    Submission submission;
    submission.team = "team";
    submission.key = key;
    submission.className = "casework";
    submission.deadline = now + std::chrono::seconds(10);
    submission.bodyHash = 1;
    submission.tasks.resize(tasks);
    wire::ClaimJournalRecord record;
    toWire(submission, record.mutable_claim()->mutable_submission());
    return record.SerializeAsString();
}

std::string intentRecord(const std::string &key, std::uint32_t task)
{
    wire::ClaimJournalRecord record;
    record.mutable_intent()->set_team("team");
    record.mutable_intent()->set_key(key);
    record.mutable_intent()->add_tasks(task);
    return record.SerializeAsString();
}

std::string answerRecord(const std::string &key, const std::string &result)
{
    Answer answer{key, Outcome::Complete, Reason::None, {}, {}, {}};
    answer.tasks.push_back({TaskState::Ran, 200, result, "u"});
    wire::ClaimJournalRecord record;
    record.mutable_answer()->set_team("team");
    record.mutable_answer()->set_key(key);
    record.mutable_answer()->set_answered_at_us(microsecondsOf(now));
    toWire(answer, record.mutable_answer()->mutable_answer());
    return record.SerializeAsString();
}

/// Returns the answer to a fetch of @p key on a VM that recovered from @p recovery.
Answer fetchAfterRecovery(const ClaimRecovery &recovery, const std::string &key)
{
    EntryVmOptions options;
    options.self = {"a1", "a"};
    options.incarnation = 2;
    options.vms = {{"a1", "a"}};
    EntryVm vm(options);
    vm.recover(now, recovery);
    vm.takeActions();
    CallerRequest request;
    request.kind = RequestKind::Fetch;
    request.wait = false;
    request.submission.team = "team";
    request.submission.key = key;
    vm.handleRequest(now, 1, request);
    for (const auto &it : vm.takeActions()) {
        if (const auto *answer = std::get_if<AnswerCaller>(&it))
            return answer->answer;
    }
    return {};
}

} // namespace

// Guards against the loss of results that are not valid UTF-8.
TEST(ClaimReplayTest, preservesBinaryResults)
{
    const std::string bytes("\xff\x00\xc3", 3);
    const auto replay = replayClaims({claimRecord("one", 1), answerRecord("one", bytes)});
    EXPECT_EQ(replay.malformedRecords, 0U);
    EXPECT_EQ(replay.claims.at({"team", "one"}).answer->tasks.front().result, bytes);
}

// Guards against a second start after a restart: a start intent in the journal means that the task may have
// run. Jobs without one must continue.
TEST(ClaimReplayTest, continuesUnstartedJobAndFailsStartedJob)
{
    const ClaimRecovery whole{JournalCompleteness::Whole,
                              {claimRecord("unsent", 2), claimRecord("sent", 2), intentRecord("sent", 1)}};
    EXPECT_EQ(fetchAfterRecovery(whole, "unsent").outcome, Outcome::Pending);
    const auto sent = fetchAfterRecovery(whole, "sent");
    EXPECT_EQ(sent.outcome, Outcome::Failed);
    EXPECT_EQ(sent.tasks.at(0).state, TaskState::NotRun);
    EXPECT_EQ(sent.tasks.at(1).state, TaskState::MayHaveRun);
}

// Guards against a second start after a power loss, which may have removed start intents from the end of the
// journal. A key without a date and without a record was never started, because its claim is synced first.
TEST(ClaimReplayTest, reportsOpenJobAsUnknownIfRecordsMayBeLost)
{
    const ClaimRecovery torn{JournalCompleteness::TailMayBeLost, {claimRecord("one", 1)}};
    EXPECT_EQ(fetchAfterRecovery(torn, "one").reason, Reason::MemoryLost);
    EXPECT_EQ(fetchAfterRecovery(torn, "two").reason, Reason::KeyNotKnown);
    EXPECT_EQ(fetchAfterRecovery({JournalCompleteness::Lost, {}}, "two").reason, Reason::MemoryLost);
}

// Guards against a second start of a job whose record is damaged: the record may concern any key.
TEST(ClaimReplayTest, treatsMalformedRecordAsLostJournal)
{
    EXPECT_EQ(fetchAfterRecovery({JournalCompleteness::Whole, {"\xff\xff"}}, "one").reason,
              Reason::MemoryLost);
}
