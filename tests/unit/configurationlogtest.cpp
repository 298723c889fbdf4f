#include "citronpitch/configurationlog.h"

#include <gtest/gtest.h>

using namespace Citronpitch;

namespace {

const std::vector<Voter> founders{{"a", 0}, {"b", 0}, {"c", 0}};
const std::vector<Voter> fewer{{"a", 0}, {"b", 0}};

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
    result.kind = EntryKind::Voters;
    result.voters = voters;
    return result;
}

} // namespace

TEST(ConfigurationLogTest, truncatingAVotersEntryBringsBackTheVotersBefore)
{
    ConfigurationLog log(founders);
    log.append(entry(1, 1));
    log.append(votersEntry(2, 1, fewer));
    EXPECT_EQ(log.voters(), fewer);
    EXPECT_EQ(log.votersAt(1), founders);
    log.truncateFrom(2);
    EXPECT_EQ(log.voters(), founders);
    EXPECT_EQ(log.votersIndex(), 0U);
    EXPECT_EQ(log.lastIndex(), 1U);
}

TEST(ConfigurationLogTest, compactionKeepsTermsVotersAndIndexes)
{
    ConfigurationLog log(founders);
    log.append(entry(1, 1));
    log.append(votersEntry(2, 1, fewer));
    log.append(entry(3, 4));
    log.compactTo(2);
    EXPECT_EQ(log.snapshotIndex(), 2U);
    EXPECT_EQ(log.snapshotTerm(), 1U);
    EXPECT_EQ(log.termAt(1), std::nullopt);
    EXPECT_EQ(log.termAt(2), 1U);
    EXPECT_EQ(log.termAt(3), 4U);
    EXPECT_EQ(log.termAt(4), std::nullopt);
    EXPECT_EQ(log.voters(), fewer);
    log.truncateFrom(3);
    EXPECT_EQ(log.lastIndex(), 2U);
    EXPECT_EQ(log.lastTerm(), 1U);
    EXPECT_EQ(log.voters(), fewer);
}
