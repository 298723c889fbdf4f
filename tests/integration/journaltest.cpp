#include "store/journal.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>

using namespace Citronpitch;
namespace leaf = boost::leaf;

namespace {

class JournalTest : public testing::Test
{
protected:
    void SetUp() override
    {
        const auto *test = testing::UnitTest::GetInstance()->current_test_info();
        m_folder = testing::TempDir() + "journaltest-" + test->name();
        std::filesystem::remove_all(m_folder);
        std::filesystem::create_directories(m_folder);
        m_path = m_folder + "/journal";
    }

    void write(const std::vector<std::string> &records)
    {
        auto journal = Journal::open(m_path);
        ASSERT_TRUE(journal.has_value());
        for (const auto &it : records)
            ASSERT_TRUE(static_cast<bool>(journal->append(it)));
    }

    /// Records of the file, or the text of the error alone.
    std::vector<std::string> read()
    {
        return leaf::try_handle_all(
            [&]() -> leaf::result<std::vector<std::string>> {
                BOOST_LEAF_ASSIGN(auto journal, Journal::open(m_path));
                return journal.takeRecovered();
            },
            [](const StepError &error) { return std::vector<std::string>{error.text()}; },
            [] { return std::vector<std::string>{"other error"}; });
    }

    std::string m_folder;
    std::string m_path;
};

} // namespace

TEST_F(JournalTest, recordsSurviveReopening)
{
    write({"one", "", "three"});
    EXPECT_EQ(read(), (std::vector<std::string>{"one", "", "three"}));
}

TEST_F(JournalTest, tornTailIsCutAtEveryLength)
{
    write({"one", "two"});
    const auto whole = std::filesystem::file_size(m_path);
    for (auto size = whole - 1; size > whole - 3 - 16; --size) {
        std::filesystem::resize_file(m_path, size);
        EXPECT_EQ(read(), (std::vector<std::string>{"one"}));
        std::filesystem::remove(m_path);
        write({"one", "two"});
    }
}

TEST_F(JournalTest, damageBeforeTheEndIsRefusedWithFileAndOffset)
{
    write({"one", "two", "three"});
    std::fstream file(m_path, std::ios::in | std::ios::out | std::ios::binary);
    file.seekp(10 + 16);
    file.put('X');
    file.close();
    const auto records = read();
    ASSERT_EQ(records.size(), 1U);
    EXPECT_NE(records.front().find(m_path), std::string::npos);
    EXPECT_NE(records.front().find("offset 10"), std::string::npos);
}

TEST_F(JournalTest, replaceKeepsOnlyTheNewRecords)
{
    write({"one", "two"});
    {
        auto journal = Journal::open(m_path);
        ASSERT_TRUE(journal.has_value());
        ASSERT_TRUE(static_cast<bool>(journal->replace({"three"})));
        ASSERT_TRUE(static_cast<bool>(journal->append("four")));
    }
    EXPECT_EQ(read(), (std::vector<std::string>{"three", "four"}));
}
