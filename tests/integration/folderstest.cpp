#include "store/folders.h"

#include "citronpitch/steperror.h"

#include <gtest/gtest.h>

#include <cerrno>
#include <fstream>
#include <unistd.h>

using namespace Citronpitch;
namespace leaf = boost::leaf;
namespace fs = std::filesystem;

namespace {

class FoldersTest : public testing::Test
{
protected:
    void SetUp() override
    {
        const auto *test = testing::UnitTest::GetInstance()->current_test_info();
        m_root = fs::canonical(testing::TempDir())
            / ("folderstest-" + std::to_string(::getpid()) + "-" + test->name());
        fs::remove_all(m_root);
        fs::create_directories(m_root / "used/other");
    }

    void TearDown() override
    {
        fs::remove_all(m_root);
    }

    /// Creates @p path and returns the error, if any. Appends the synced folders to m_synced, and checks that
    /// nothing was created below the entry that is synced.
    std::string create(const fs::path &path)
    {
        m_synced.clear();
        const auto sync = [&](int descriptor) {
            const auto folder = fs::read_symlink("/proc/self/fd/" + std::to_string(descriptor));
            m_synced.push_back(folder.lexically_relative(m_root));
            for (const auto &it : fs::directory_iterator(folder))
                EXPECT_TRUE(it.path() == m_root / "used" || fs::is_empty(it)) << it.path();
            errno = EIO;
            return m_refused == m_synced.back() ? -1 : 0;
        };
        return leaf::try_handle_all(
            [&]() -> leaf::result<std::string> {
                BOOST_LEAF_CHECK(createFolders(path, sync));
                return std::string();
            },
            [](const StepError &error) { return error.text(); }, [] { return std::string("other error"); });
    }

    fs::path m_root;
    std::vector<std::string> m_synced;
    std::string m_refused;
};

using Paths = std::vector<std::string>;

} // namespace

// Guards against a power loss that takes a folder with all of its files.
TEST_F(FoldersTest, eachNewFolderIsSyncedBeforeTheNextIsCreated)
{
    EXPECT_EQ(create(m_root / "a/b/c"), "");
    EXPECT_EQ(m_synced, (Paths{".", "a", "a/b"}));
    EXPECT_TRUE(fs::is_directory(m_root / "a/b/c"));
    EXPECT_EQ(create(m_root / "a/b"), "");
    EXPECT_EQ(m_synced, Paths{}) << "it is used";
    EXPECT_EQ(create((m_root / "used/d").string() + "/"), "");
    EXPECT_EQ(m_synced, Paths{"used"});
}

// Guards against trusting a folder whose process ended, or whose sync failed, before its entry was synced.
TEST_F(FoldersTest, emptyFolderIsSyncedAgain)
{
    m_refused = "a";
    EXPECT_EQ(create(m_root / "a/b/c"),
              "sync data folder: " + (m_root / "a").string() + ": Input/output error");
    m_refused.clear();
    EXPECT_EQ(create(m_root / "a/b/c"), "");
    EXPECT_EQ(m_synced, (Paths{"a", "a/b"}));
    EXPECT_EQ(create(m_root / "a/b/c"), "");
    EXPECT_EQ(m_synced, Paths{"a/b"});
}

// Guards against an error that doesn't name the folder.
TEST_F(FoldersTest, fileInThePathIsReported)
{
    const auto path = m_root / "used/file";
    std::ofstream(path) << "content";
    EXPECT_EQ(create(path), "create data folder: " + path.string() + ": Not a directory");
    EXPECT_EQ(create(path / "a"), "create data folder: " + path.string() + ": Not a directory");
}
