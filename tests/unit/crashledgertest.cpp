#include "citronpitch/crashledger.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

using namespace Citronpitch;

namespace {

constexpr TimePoint start{std::chrono::seconds(1000)};

TaskCrash crashOn(const std::string &upstream, CrashState state, std::uint64_t incarnation = 1)
{
    return {"task", upstream, incarnation, state, {}};
}

} // namespace

TEST(CrashLedgerTest, crashSeenByTwoVmsCountsOnce)
{
    CrashLedger ledger;
    ledger.observe(start, crashOn("u0", CrashState::Confirmed));
    auto same = crashOn("u0", CrashState::Confirmed);
    same.expiresAt = start + crashRetention;
    EXPECT_FALSE(ledger.merge(same));
    EXPECT_EQ(ledger.permission("task"), StartPermission::Granted);
    ledger.observe(start, crashOn("u0", CrashState::Confirmed, 2));
    EXPECT_EQ(ledger.permission("task"), StartPermission::Denied);
}

TEST(CrashLedgerTest, copiesAgreeInWhateverOrderRecordsArrive)
{
    std::vector<TaskCrash> records;
    for (const auto state : {CrashState::Suspected, CrashState::Confirmed, CrashState::Refuted}) {
        records.push_back(crashOn("u0", state));
        records.back().expiresAt = start + crashRetention;
    }
    std::vector<std::size_t> order{0, 1, 2};
    do {
        CrashLedger ledger;
        for (const auto it : order)
            ledger.merge(records[it]);
        ASSERT_EQ(ledger.records().size(), 1U);
        EXPECT_EQ(ledger.records().front().state, CrashState::Refuted);
        EXPECT_FALSE(ledger.isSuspect("task"));
    } while (std::next_permutation(order.begin(), order.end()));
}

TEST(CrashLedgerTest, suspicionsAreResolvedByTheUpstream)
{
    CrashLedger ledger;
    ledger.observe(start, crashOn("u0", CrashState::Suspected));
    ledger.observe(start, crashOn("u1", CrashState::Suspected));
    EXPECT_EQ(ledger.permission("task"), StartPermission::Pending);
    ledger.upstreamEnded(start, "u0", 2);
    EXPECT_EQ(ledger.permission("task"), StartPermission::Pending);
    ledger.upstreamAnswered(start, "u1", 1);
    EXPECT_EQ(ledger.permission("task"), StartPermission::Granted);
    EXPECT_EQ(ledger.takeNews().size(), 4U);
}

TEST(CrashLedgerTest, startsWithoutAnAnswerNeverCountAsCrashes)
{
    CrashLedger ledger;
    for (int i = 0; i < 2; ++i) {
        const auto upstream = "u" + std::to_string(i);
        ledger.observe(start, crashOn(upstream, CrashState::StartUnanswered));
        ledger.upstreamEnded(start, upstream, 2);
    }
    EXPECT_EQ(ledger.permission("task"), StartPermission::Granted);
    // With a third one the task might have crashed three upstreams.
    ledger.observe(start, crashOn("u2", CrashState::Inconclusive));
    EXPECT_EQ(ledger.permission("task"), StartPermission::Pending);
}

TEST(CrashLedgerTest, recordsExpireAndTheirNumberIsLimited)
{
    CrashLedgerOptions options;
    options.maximumTasks = 3;
    CrashLedger ledger(options);
    for (int i = 0; i < 5; ++i)
        ledger.observe(start + std::chrono::seconds(i),
                       {"task" + std::to_string(i), "u0", 1, CrashState::Suspected, {}});
    EXPECT_EQ(ledger.size(), 3U);
    EXPECT_FALSE(ledger.isSuspect("task0"));
    ledger.expire(start + std::chrono::seconds(3) + crashRetention);
    EXPECT_EQ(ledger.size(), 1U);
    EXPECT_TRUE(ledger.isSuspect("task4"));
    ledger.upstreamEnded(start, "u0", 2);
    EXPECT_EQ(ledger.size(), 1U);
}
