#include "store/journal.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <random>
#include <unistd.h>

using namespace Citronpitch;
namespace leaf = boost::leaf;

namespace {

class JournalTest : public testing::Test
{
protected:
    void SetUp() override
    {
        const auto *test = testing::UnitTest::GetInstance()->current_test_info();
        m_folder = testing::TempDir() + "journaltest-" + std::to_string(::getpid()) + "-" + test->name();
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

    /// Records of the file, or the error text as the only element.
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

// Guards against losing or reordering records, empty ones included, when the file is opened again.
TEST_F(JournalTest, recordsSurviveReopening)
{
    write({"one", "", "three"});
    EXPECT_EQ(read(), (std::vector<std::string>{"one", "", "three"}));
}

// Guards against a journal that can't be opened after a power loss in the middle of an append.
TEST_F(JournalTest, tornTailIsTruncatedAtEveryLength)
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

// Guards against silently dropping intact records after a damaged one; the operator needs the file and
// offset.
TEST_F(JournalTest, damageBeforeTheEndIsReportedWithFileAndOffset)
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

// Guards against rejecting a journal whose file had grown before a power loss, but whose data was not
// written.
TEST_F(JournalTest, zeroFilledTailIsTruncated)
{
    write({"one", "two"});
    const auto whole = std::filesystem::file_size(m_path);
    for (const auto zeros : {1U, 16U, 4096U}) {
        std::filesystem::resize_file(m_path, whole + zeros);
        EXPECT_EQ(read(), (std::vector<std::string>{"one", "two"})) << zeros;
    }
    std::filesystem::resize_file(m_path, whole - 1);
    std::filesystem::resize_file(m_path, whole + 4096);
    EXPECT_EQ(read(), (std::vector<std::string>{"one"}));
}

// Guards against reading the file of another format version as if it had this one.
TEST_F(JournalTest, unknownFormatVersionIsRejected)
{
    write({"one"});
    std::fstream file(m_path, std::ios::in | std::ios::out | std::ios::binary);
    file.seekp(6);
    file.put(static_cast<char>(journalFormatVersion + 1));
    file.close();
    EXPECT_NE(read().front().find("format version"), std::string::npos);
}

// Guards against returning a changed record after one byte of the file was corrupted.
TEST_F(JournalTest, corruptBytesGiveAPrefixOrAnError)
{
    const std::vector<std::string> records{"one", "two", "three", "four"};
    std::mt19937_64 random(1);
    write(records);
    std::ifstream original(m_path, std::ios::binary);
    const std::string whole{std::istreambuf_iterator<char>(original), {}};
    for (int i = 0; i < 2000; ++i) {
        auto changed = whole;
        changed[random() % changed.size()] = static_cast<char>(random());
        std::ofstream(m_path, std::ios::binary) << changed;
        const auto found = read();
        const bool isError = found.size() == 1 && found.front().find(m_path) != std::string::npos;
        const bool isPrefix =
            found.size() <= records.size() && std::equal(found.begin(), found.end(), records.begin());
        EXPECT_TRUE(isError || isPrefix) << i;
    }
}

// Guards against old records that survive a replacement, and against appends that go to the replaced file.
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
