// An executor leaves one start order unanswered and confirms its stop. It is then cut off one way, crashes
// and starts again under its id, and the order is carried out late: the task already runs on another
// executor.

#include "fleet.h"

#include <cstdlib>
#include <unistd.h>

using namespace Review;

namespace {

constexpr int timeoutMs = 12'000;
/// The largest work of the site's means-assessment.
constexpr int taskMs = 3600;
constexpr int lateMs = 2500;
constexpr int cutAfterUs = 500'000;
constexpr int downUs = 800'000;
constexpr int restUs = 8'000'000;

int judge(Record &record, const std::vector<RunEvent> &runs)
{
    int violations = 0;
    for (std::size_t i = 0; i < runs.size(); ++i) {
        for (std::size_t k = i + 1; k < runs.size(); ++k) {
            const auto begin = std::max(runs[i].startedAt, runs[k].startedAt);
            const auto end =
                std::min(runs[i].endedAt.value_or(record.now()), runs[k].endedAt.value_or(record.now()));
            if (runs[i].task != runs[k].task || begin >= end)
                continue;
            ++violations;
            record.write("violation: " + runs[i].task + " ran on " + runs[i].executor + " and on "
                         + runs[k].executor + " for " + std::to_string(end - begin) + " ms, from "
                         + std::to_string(begin));
        }
    }
    return violations;
}

} // namespace

int main(int, char **argv)
{
    const auto *trouble = std::getenv("TROUBLE");
    const bool isTroubled = trouble == nullptr || std::string(trouble) != "0";
    Record record(argv[1]);
    try {
        Fleet fleet(record, {{"west-a", "west-b", "west-c"}, 3, true, "a", {}});
        if (!fleet.configure(configurationOf(7, timeoutMs)))
            return 2;
        ::sleep(2);
        std::atomic<int> late = -1;
        if (isTroubled)
            fleet.delayNextStart(lateMs, late);
        Response answer;
        std::thread client([&] {
            const auto request = submission(jobId(1), 1, taskMs, timeoutMs);
            record.write("client sends POST " + jobId(1));
            answer = call(fleet.entries()[0], request, timeoutMs + 500);
            record.write("client gets " + std::to_string(answer.status) + " " + answer.body);
        });
        ::usleep(cutAfterUs);
        if (late >= 0) {
            const auto number = static_cast<std::size_t>(late.load());
            fleet.cutAnswers(number, true);
            fleet.crash(number);
            ::usleep(downUs);
            fleet.revive(number, [](ExecutorPlan &) {});
            ::usleep(lateMs * 1000);
            fleet.cutAnswers(number, false);
        }
        client.join();
        const int violations = judge(record, fleet.runs());
        record.write(std::to_string(violations) + " violations");
        if (answer.status != 200 || (isTroubled && late < 0))
            return 2;
        return violations > 0 ? 1 : 0;
    } catch (const std::exception &e) {
        record.write(std::string("error: ") + e.what());
        return 2;
    }
}
