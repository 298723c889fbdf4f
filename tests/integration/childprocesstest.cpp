#include "support/childprocess.h"

#include <gtest/gtest.h>

#include <fcntl.h>
#include <fstream>
#include <sstream>
#include <unistd.h>

using namespace Citronpitch;

TEST(ChildProcessTest, HoldsNoDescriptorOfTheParent)
{
    const int opened = ::open("/dev/null", O_RDONLY);
    ASSERT_GT(opened, STDERR_FILENO);
    const std::string log = std::string(CITRONPITCH_PROGRAMS) + "/integration-descriptors.log";
    ::unlink(log.c_str());
    ChildProcess child("/bin/sh", {"-c", "readlink /proc/$$/fd/" + std::to_string(opened) + "; echo end"},
                       log);
    EXPECT_EQ(child.wait(), 0);
    ::close(opened);
    std::ifstream file(log);
    std::ostringstream text;
    text << file.rdbuf();
    EXPECT_EQ(text.str(), "end\n");
}
