#include "citronpitch/configurationlog.h"

#include <gtest/gtest.h>

using namespace Citronpitch;

namespace {

const std::vector<Voter> initialVoters{{"a", 0}, {"b", 0}, {"c", 0}};
const std::vector<Voter> remainingVoters{{"a", 0}, {"b", 0}};

LogEntry entry(std::uint64_t index, std::uint64_t term)
{
    LogEntry entry;
    entry.index = index;
    entry.term = term;
    return entry;
}

LogEntry votersEntry(std::uint64_t index, std::uint64_t term, const std::vector<Voter> &voters)
{
    auto result = entry(index, term);
    result.kind = LogEntryKind::Voters;
    result.voters = voters;
    return result;
}

} // namespace

// Guards against counting majorities with voters whose log entry was removed: a new leader may replace an
// uncommitted entry that sets the voters.
TEST(ConfigurationLogTest, truncatingAVotersEntryRestoresThePreviousVoters)
{
    ConfigurationLog log(initialVoters);
    log.append(entry(1, 1));
    log.append(votersEntry(2, 1, remainingVoters));
    EXPECT_EQ(log.voters(), remainingVoters);
    EXPECT_EQ(log.votersAt(1), initialVoters);
    log.truncateFrom(2);
    EXPECT_EQ(log.voters(), initialVoters);
    EXPECT_EQ(log.votersEntryIndex(), 0U);
    EXPECT_EQ(log.lastIndex(), 1U);
}

// Guards against losing the voters or the term of the snapshot when the entries that set them are compacted.
TEST(ConfigurationLogTest, compactionKeepsTermsVotersAndIndexes)
{
    ConfigurationLog log(initialVoters);
    log.append(entry(1, 1));
    log.append(votersEntry(2, 1, remainingVoters));
    log.append(entry(3, 4));
    log.compactTo(2);
    EXPECT_EQ(log.snapshotIndex(), 2U);
    EXPECT_EQ(log.snapshotTerm(), 1U);
    EXPECT_EQ(log.termAt(1), std::nullopt);
    EXPECT_EQ(log.termAt(2), 1U);
    EXPECT_EQ(log.termAt(3), 4U);
    EXPECT_EQ(log.termAt(4), std::nullopt);
    EXPECT_EQ(log.voters(), remainingVoters);
    log.truncateFrom(3);
    EXPECT_EQ(log.lastIndex(), 2U);
    EXPECT_EQ(log.lastTerm(), 1U);
    EXPECT_EQ(log.voters(), remainingVoters);
}
