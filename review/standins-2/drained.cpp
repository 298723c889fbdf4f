// An entry VM is stopped with SIGTERM while jobs wait for room: each request that it has read must get an
// answer.

#include "fleet.h"

#include <csignal>
#include <cstdlib>
#include <list>
#include <unistd.h>

using namespace Review;

namespace {

// Bounds of the pages.
constexpr std::int64_t graceMs = 6000;

constexpr int timeoutMs = 12'000;
constexpr int taskMs = 3600;
/// Somewhat more than the executors have slots.
constexpr std::uint64_t jobs = 16;
constexpr int termAfterUs = 1'000'000;
constexpr std::size_t entry = 0;

struct Job
{
    std::string id;
    std::int64_t sentAt = 0;
    std::int64_t endedAt = 0;
    int status = 0;
};

/// Whether an executor was at work on the job in the last sixth of the grace period.
bool isExcused(const Job &job, const std::vector<RunEvent> &runs, std::int64_t stoppedAt)
{
    const auto begin = stoppedAt + graceMs * 5 / 6;
    const auto end = stoppedAt + graceMs;
    for (const auto &it : runs) {
        if (it.task.starts_with(job.id) && it.startedAt <= end && it.endedAt.value_or(end) >= begin)
            return true;
    }
    return false;
}

} // namespace

int main(int, char **argv)
{
    const auto *trouble = std::getenv("TROUBLE");
    const bool isTroubled = trouble == nullptr || std::string(trouble) != "0";
    Record record(argv[1]);
    try {
        Fleet fleet(record, {{"west-a", "west-b", "west-c"}, 2, true, {}});
        if (!fleet.configure(configurationOf(7, timeoutMs)))
            return 2;
        ::sleep(2);
        std::mutex mutex;
        std::list<Job> answers;
        std::list<std::thread> clients;
        for (std::uint64_t number = 1; number <= jobs; ++number)
            clients.emplace_back([&, number] {
                Job job{jobId(number), record.now()};
                const auto response =
                    call(fleet.entries()[entry], submission(job.id, 1, taskMs, timeoutMs), timeoutMs + 500);
                job.status = response.status;
                job.endedAt = record.now();
                record.write("client: POST " + job.id + ", sent at " + std::to_string(job.sentAt) + ", gets "
                             + (job.status == 0 ? "no answer: the connection ended"
                                                : std::to_string(job.status) + " " + response.body));
                const std::lock_guard lock(mutex);
                answers.push_back(job);
            });
        ::usleep(termAfterUs);
        const auto stoppedAt = record.now();
        const auto process = fleet.process(fleet.controls().size() + entry);
        if (isTroubled) {
            record.write("process " + std::to_string(process) + " gets SIGTERM");
            ::kill(process, SIGTERM);
        }
        for (auto &it : clients)
            it.join();
        const auto runs = fleet.runs();
        int served = 0;
        int violations = 0;
        for (const auto &it : answers) {
            served += it.status == 200 ? 1 : 0;
            const bool isLost = it.status == 0 && it.endedAt < it.sentAt + timeoutMs;
            if (!isLost || isExcused(it, runs, stoppedAt))
                continue;
            ++violations;
            record.write("violation: " + it.id + " got no answer; its connection ended "
                         + std::to_string(it.endedAt - stoppedAt) + " ms after SIGTERM, "
                         + std::to_string(it.endedAt - it.sentAt) + " ms after it was sent");
        }
        record.write(std::to_string(violations) + " violations, " + std::to_string(served) + " jobs served");
        if (served == 0)
            return 2;
        return violations > 0 ? 1 : 0;
    } catch (const std::exception &e) {
        record.write(std::string("error: ") + e.what());
        return 2;
    }
}
