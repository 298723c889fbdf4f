#include "net/curvekeypair.h"

#include <gtest/gtest.h>

#include <cerrno>
#include <filesystem>
#include <unistd.h>

using namespace Citronpitch;
namespace leaf = boost::leaf;
namespace fs = std::filesystem;

namespace {

/// Thrown where the process ends.
struct ProcessEnded
{
};

class CurveKeyPairTest : public testing::Test
{
protected:
    void SetUp() override
    {
        const auto *test = testing::UnitTest::GetInstance()->current_test_info();
        m_folder = fs::canonical(testing::TempDir())
            / ("curvekeypairtest-" + std::to_string(::getpid()) + "-" + test->name());
        fs::remove_all(m_folder);
        fs::create_directories(m_folder);
        m_path = m_folder / "vm.key";
    }

    void TearDown() override
    {
        fs::remove_all(m_folder);
    }

    /// The public key; empty if the file can't be created.
    std::string create(const std::function<int(int)> &sync = ::fsync)
    {
        return leaf::try_handle_all([&] { return createCurveKeyFile(m_path, sync); },
                                    [] { return std::string(); });
    }

    /// The public key of the file; empty if it can't be read.
    std::string read()
    {
        return leaf::try_handle_all(
            [&]() -> leaf::result<std::string> {
                BOOST_LEAF_ASSIGN(const auto pair, readCurveKeyFile(m_path));
                return pair.publicKey;
            },
            [] { return std::string(); });
    }

    fs::path m_folder;
    fs::path m_path;
};

} // namespace

// Guards against a VM that can neither read its key nor get another, after an attempt that ended or failed.
TEST_F(CurveKeyPairTest, interruptedAttemptDoesNotBlockTheNext)
{
    EXPECT_EQ(create([](int) -> int { throw ProcessEnded(); }), "");
    EXPECT_FALSE(fs::exists(m_path));
    for (const int refused : {1, 2}) {
        int syncs = 0;
        EXPECT_EQ(create([&](int) {
                      errno = EIO;
                      return ++syncs == refused ? -1 : 0;
                  }),
                  "")
            << refused;
        EXPECT_FALSE(fs::exists(m_path)) << refused;
    }
    const auto publicKey = create();
    EXPECT_NE(publicKey, "");
    EXPECT_EQ(read(), publicKey);
    EXPECT_EQ(create(), "") << "the file exists";
    EXPECT_EQ(read(), publicKey);
}

// Guards against a power loss that takes a key whose public half is already in use, or leaves it torn.
TEST_F(CurveKeyPairTest, fileIsSyncedBeforeItHasItsNameAndThenTheFolder)
{
    std::vector<bool> isNamed;
    std::string last;
    EXPECT_NE(create([&](int descriptor) {
                  isNamed.push_back(fs::exists(m_path));
                  last = fs::read_symlink("/proc/self/fd/" + std::to_string(descriptor));
                  return 0;
              }),
              "");
    EXPECT_EQ(isNamed, (std::vector<bool>{false, true}));
    EXPECT_EQ(last, m_folder);
    EXPECT_EQ(std::distance(fs::directory_iterator(m_folder), {}), 1) << "no other file is left";
}

// Guards against a process that ends after the file has its name, and leaves half a key.
TEST_F(CurveKeyPairTest, fileThatHasItsNameIsComplete)
{
    const auto endsAtFolder = [this](int) {
        if (fs::exists(m_path))
            throw ProcessEnded();
        return 0;
    };
    EXPECT_EQ(create(endsAtFolder), "");
    EXPECT_NE(read(), "");
}
