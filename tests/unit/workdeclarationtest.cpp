#include "citronpitch/workdeclaration.h"
#include "citronpitch/configurationstate.h"

#include <gtest/gtest.h>

using namespace Citronpitch;

namespace {

WorkDeclaration validDeclaration()
{
    WorkDeclaration declaration;
    declaration.version = 1;
    declaration.pools = {{"pool"}};
    declaration.queues = {{"one", "host", "/a/", "pool", std::chrono::seconds(1)},
                          {"two", "host", "/a/b/", "pool", std::chrono::seconds(1)}};
    return declaration;
}

ConfigurationChange replacement(std::uint64_t version, const std::string &text)
{
    ConfigurationChange change;
    change.kind = ChangeKind::ReplaceDocument;
    change.id = std::to_string(version) + text;
    change.document = {version, text};
    return change;
}

} // namespace

// Guards against checks that reject a valid declaration.
TEST(WorkDeclarationTest, validDeclarationIsAccepted)
{
    EXPECT_EQ(checkDeclaration(validDeclaration()), "");
}

// Guards against routing a request to a queue with a shorter prefix, or to a queue of another host.
TEST(WorkDeclarationTest, longestPrefixSelectsTheQueue)
{
    const auto declaration = validDeclaration();
    EXPECT_EQ(declaration.findQueue("host", "/a/b/x")->name, "two");
    EXPECT_EQ(declaration.findQueue("host", "/a/x")->name, "one");
    EXPECT_EQ(declaration.findQueue("host", "/c/x"), nullptr);
    EXPECT_EQ(declaration.findQueue("other", "/a/x"), nullptr);
}

// Guards against a queue whose jobs no pool can run.
TEST(WorkDeclarationTest, unknownPoolIsRejected)
{
    auto declaration = validDeclaration();
    declaration.queues[0].pool = "none";
    EXPECT_NE(checkDeclaration(declaration).find("no pool is named"), std::string::npos);
}

// Guards against two queues that match the same requests equally well.
TEST(WorkDeclarationTest, duplicateHostAndPrefixAreRejected)
{
    auto declaration = validDeclaration();
    declaration.queues[1].pathPrefix = "/a/";
    EXPECT_NE(checkDeclaration(declaration).find("same host and path prefix"), std::string::npos);
}

// Guards against a queue whose requests time out at once.
TEST(WorkDeclarationTest, zeroTimeoutIsRejected)
{
    auto declaration = validDeclaration();
    declaration.queues[0].timeout = {};
    EXPECT_NE(checkDeclaration(declaration).find("timeout"), std::string::npos);
}

// Guards against an older document, for example a resent one, that replaces a newer one.
TEST(DeclaredDocumentTest, highestVersionWinsAndAnOlderOneIsIgnored)
{
    ConfigurationState state;
    EXPECT_EQ(state.apply(replacement(5, "five")).outcome, ChangeOutcome::Accepted);
    EXPECT_EQ(state.apply(replacement(3, "three")).outcome, ChangeOutcome::Accepted);
    EXPECT_EQ(state.configuration().document.text, "five");
    EXPECT_EQ(state.apply(replacement(7, "seven")).outcome, ChangeOutcome::Accepted);
    EXPECT_EQ(state.configuration().document.version, 7U);
    EXPECT_EQ(state.apply(replacement(5, "five")).outcome, ChangeOutcome::Accepted);
    EXPECT_EQ(state.configuration().document.version, 7U);
}

// Guards against two documents with the same version, of which VMs could use either.
TEST(DeclaredDocumentTest, differentContentUnderTheActiveVersionIsRejected)
{
    ConfigurationState state;
    state.apply(replacement(5, "five"));
    EXPECT_EQ(state.apply(replacement(5, "other")).outcome, ChangeOutcome::Superseded);
    EXPECT_EQ(state.apply(replacement(5, "five")).outcome, ChangeOutcome::Accepted);
    EXPECT_EQ(state.configuration().document.text, "five");
}

// Guards against two holders with the same fencing token: an assignment that does not name the current token
// is based on an older holder and must not take effect.
TEST(GroupHolderTest, fencesIncreaseAndAStaleAssignmentIsIgnored)
{
    ConfigurationState state;
    ConfigurationChange change;
    change.kind = ChangeKind::SetHolder;
    change.holder = {"a", "x", 1, 0};
    EXPECT_EQ(state.apply(change).outcome, ChangeOutcome::Accepted);
    EXPECT_EQ(state.configuration().findHolder("a")->fence, 1U);
    EXPECT_EQ(state.apply(change).outcome, ChangeOutcome::Superseded);
    change.holder = {"a", "y", 1, 1};
    EXPECT_EQ(state.apply(change).outcome, ChangeOutcome::Accepted);
    EXPECT_EQ(state.configuration().findHolder("a")->fence, 2U);
}
