#include "settings/jsonobjectreader.h"

#include <gtest/gtest.h>

using namespace Citronpitch;
using Json = nlohmann::json;
namespace leaf = boost::leaf;

namespace {

std::string repeated(std::string_view part, std::size_t times)
{
    std::string text;
    for (std::size_t i = 0; i < times; ++i)
        text += part;
    return text;
}

/// Returns the text of the error, or nothing if @p text is accepted.
std::string errorOf(std::string_view text, JsonComments comments = JsonComments::Rejected)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::string> {
            BOOST_LEAF_ASSIGN(const auto json, parseJson(text, "read", comments));
            // Recursive in the library.
            return Json(json).dump().substr(0, 0);
        },
        [](const StepError &error) { return error.text(); }, [] { return std::string("unknown error"); });
}

} // namespace

// A value of 100,000 nested lists exhausted the stack of each process that copied or printed it.
TEST(JsonTextTest, depthIsBoundedWhileTextIsParsed)
{
    for (const auto *it : {"[", "{\"a\":", "{\"a\":[", "[{\"\\\"]\\\\\":"}) {
        EXPECT_NE(errorOf(repeated(it, 100'000)).find("nested"), std::string::npos) << it;
        EXPECT_NE(errorOf(repeated(it, 100'000), JsonComments::Ignored).find("nested"), std::string::npos);
    }
    EXPECT_EQ(errorOf(repeated("[", maximumJsonDepth) + repeated("]", maximumJsonDepth)), "");
    EXPECT_EQ(errorOf(repeated("[", maximumJsonDepth + 1) + repeated("]", maximumJsonDepth + 1)),
              "read: body, byte 101: more than 100 lists and objects are nested");
}

// Brackets that don't nest must not count, and none that does may be hidden.
TEST(JsonTextTest, depthCountsOnlyBracketsOfTheStructure)
{
    const auto brackets = repeated("[", 1000);
    EXPECT_EQ(errorOf("[\"" + brackets + "\"]"), "");
    EXPECT_EQ(errorOf("[\"\\\"" + brackets + "\"]"), "");
    EXPECT_EQ(errorOf("[" + repeated("[],", 1000) + "{}]"), "");
    EXPECT_EQ(errorOf("// " + brackets + "\n[1]", JsonComments::Ignored), "");
    EXPECT_EQ(errorOf("/* " + brackets + " \" **/[1]", JsonComments::Ignored), "");
    for (const std::string &it : {std::string("// \" \n"), std::string("// \" \r"), std::string("/* \" */"),
                                  std::string("/*/ \" */")})
        EXPECT_NE(errorOf(it + brackets, JsonComments::Ignored).find("nested"), std::string::npos) << it;
    EXPECT_NE(errorOf("[\"\\\\\"," + brackets).find("nested"), std::string::npos);
}

// An exception of the library other than its parse error left the decoder.
TEST(JsonTextTest, unreadableTextsAreErrorsWithAReason)
{
    EXPECT_NE(errorOf("{\"a\":1e999}").find("1e999"), std::string::npos);
    for (const auto *it :
         {"", "{", "\"", "\"\\", "/", "/*", "//", "[1,]", "\xff", "nul", "-", "\"\\ud800\""}) {
        EXPECT_NE(errorOf(it), "") << it;
        EXPECT_NE(errorOf(it, JsonComments::Ignored), "") << it;
    }
}

// Errors quote what was received, and are logged and sent back.
TEST(JsonTextTest, errorTextsAreBounded)
{
    EXPECT_LT(errorOf("\"" + std::string(1 << 20, 'x')).size(), 400U);
}
