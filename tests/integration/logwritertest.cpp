#include "log/logwriter.h"
#include "log/eventlog.h"
#include "support/logpipe.h"
#include "support/platformfleet.h"

#include <gtest/gtest.h>

#include <chrono>
#include <optional>
#include <regex>

using namespace Citronpitch;

namespace {

using Clock = std::chrono::steady_clock;

/// Long for a busy machine, and far below what a caller that waits for the reader takes.
constexpr auto promptly = std::chrono::seconds(3);
constexpr std::uint64_t lines = 10'000;

/// Logs to a pipe without a limit on repeats.
class LogWriterTest : public testing::Test
{
protected:
    LogWriterTest()
    {
        LogSettings settings;
        settings.repeatLimit = 2 * lines;
        configureEventLog(settings);
        thread.emplace(pipe.writeEnd());
    }

    ~LogWriterTest() override
    {
        thread.reset();
        configureEventLog({});
    }

    /// Logs @p n events that are numbered in ascending order.
    void log(std::uint64_t n)
    {
        for (std::uint64_t i = 0; i < n; ++i)
            logEvent(Event::PeerAlive,
                     {{"peer", std::to_string(++m_number)}, {"failureDomain", std::string(100, 'a')}});
    }

    /// Whether the reader gets @p text in the end; counts that are due are logged as by the programs' timers.
    bool isRead(const std::string &text)
    {
        return waitFor([&] {
            logSuppressedCounts();
            return pipe.read().find(text) != std::string::npos;
        });
    }

    std::vector<std::uint64_t> numbersRead()
    {
        std::vector<std::uint64_t> numbers;
        const std::regex pattern("E301 .* peer=([0-9]+) ");
        const auto &text = pipe.read();
        for (auto it = std::sregex_iterator(text.begin(), text.end(), pattern); it != std::sregex_iterator();
             ++it)
            numbers.push_back(std::stoull((*it)[1]));
        return numbers;
    }

    LogPipe pipe;
    std::optional<EventLogThread> thread;

private:
    std::uint64_t m_number = 0;
};

} // namespace

// The event loop waited for the reader of the log.
TEST_F(LogWriterTest, linesThatNobodyReadsAreDroppedAndReported)
{
    const auto begin = Clock::now();
    log(lines);
    logEvent(Event::PeerSuspected, {{"peer", "kept"}, {"failureDomain", "a"}});
    EXPECT_LT(Clock::now() - begin, promptly);
    const auto lost = lostLogLines();
    EXPECT_GT(lost, 0U);
    EXPECT_LT(lost, lines);

    const auto report = "E114 lines of the log were lost lines=" + std::to_string(lost)
        + " total=" + std::to_string(lost) + "\n";
    ASSERT_TRUE(isRead(report));
    log(1);
    ASSERT_TRUE(isRead("peer=" + std::to_string(lines + 1) + " "));
    const auto numbers = numbersRead();
    ASSERT_EQ(numbers.size(), lines - lost + 1);
    for (std::uint64_t i = 0; i < lines - lost; ++i)
        ASSERT_EQ(numbers[i], i + 1) << "lines are out of order, or were dropped before the queue was full";
    const auto &text = pipe.read();
    const auto gap = text.find("E114");
    EXPECT_LT(text.find("peer=kept "), gap) << "a warning was dropped before the queue was full";
    EXPECT_LT(text.find("peer=" + std::to_string(numbers[lines - lost - 1]) + " "), gap);
    EXPECT_GT(text.find("peer=" + std::to_string(lines + 1) + " "), gap);
    EXPECT_EQ(text.find("E114", gap + 1), std::string::npos) << "the same loss was reported twice";
    EXPECT_EQ(lostLogLines(), lost);
}

// The memory of an entry VM is small: not even warnings may fill it.
TEST_F(LogWriterTest, queueIsBoundedForWarningsToo)
{
    const std::string peer(1000, 'a');
    pipe.fill();
    for (std::uint64_t i = 0; i < lines; ++i)
        logEvent(Event::PeerSuspected, {{"peer", peer}, {"failureDomain", "a"}});
    EXPECT_GE(lostLogLines(), lines - LogWriter::maximumQueuedBytes / peer.size());
}

TEST_F(LogWriterTest, lastLinesAreWrittenBeforeTheEnd)
{
    log(100);
    logEvent(Event::Stopped, {{"vm", "v"}});
    thread.reset();
    EXPECT_EQ(numbersRead().size(), 100U);
    EXPECT_NE(pipe.read().find("E101 stopped vm=v\n"), std::string::npos);
}

// A process didn't end on SIGTERM while nobody read its log.
TEST_F(LogWriterTest, endDoesNotWaitForAReaderThatDoesNotRead)
{
    pipe.fill();
    log(100);
    const auto begin = Clock::now();
    thread.reset();
    EXPECT_LT(Clock::now() - begin, promptly);
}

// SIGPIPE ended the process.
TEST_F(LogWriterTest, linesAreDroppedAfterTheReaderHasGone)
{
    pipe.closeReadEnd();
    log(100);
    EXPECT_TRUE(waitFor([&] {
        logSuppressedCounts();
        return lostLogLines() >= 100;
    }));
}
