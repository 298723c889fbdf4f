// An executor that doesn't guard its capacity crashes and starts again under its id, unchanged, while the
// control VM that it reports to is frozen: what runs there must fit, also when its first heartbeat comes
// through.

#include "fleet.h"

#include <csignal>
#include <cstdlib>
#include <unistd.h>

using namespace Review;

namespace {

constexpr int timeoutMs = 12'000;
constexpr int taskMs = 900;
constexpr unsigned tasks = 16;
constexpr auto label = "a";
constexpr int calmUs = 600'000;
constexpr int downUs = 300'000;
constexpr int frozenUs = 3'000'000;
constexpr std::size_t restarted = 0;
constexpr std::size_t frozenControl = 1;

} // namespace

int main(int, char **argv)
{
    const auto *trouble = std::getenv("TROUBLE");
    const bool isTroubled = trouble == nullptr || std::string(trouble) != "0";
    Record record(argv[1]);
    try {
        Fleet fleet(record, {{"west-a", "west-b", "west-c"}, 3, false, "b", {}});
        if (!fleet.configure(configurationOf(7, timeoutMs, false)))
            return 2;
        ::sleep(2);
        Response answer;
        std::thread client([&] {
            const auto request = submission(jobId(1), tasks, taskMs, timeoutMs, label);
            record.write("client sends POST " + jobId(1));
            answer = call(fleet.entries()[0], request, timeoutMs + 500);
            record.write("client gets " + std::to_string(answer.status) + " " + answer.body);
        });
        ::usleep(calmUs);
        if (isTroubled) {
            const auto process = fleet.process(frozenControl);
            record.write("process " + std::to_string(process) + " is frozen");
            ::kill(process, SIGSTOP);
            fleet.crash(restarted);
            ::usleep(downUs);
            fleet.revive(restarted, [](ExecutorPlan &executor) {
                std::swap(executor.controls[0], executor.controls[frozenControl]);
            });
            ::usleep(frozenUs);
            ::kill(process, SIGCONT);
            record.write("process " + std::to_string(process) + " continues");
        }
        client.join();
        int violations = 0;
        const auto runs = fleet.runs();
        for (const auto &it : runs) {
            if (it.usedCpu <= it.cpu)
                continue;
            ++violations;
            record.write("violation: " + it.task + " started on " + it.executor + " at "
                         + std::to_string(it.startedAt) + ", which has " + std::to_string(it.cpu) + ", with "
                         + std::to_string(it.usedCpu) + " in use");
        }
        record.write(std::to_string(violations) + " violations");
        if (runs.empty() || (!isTroubled && answer.status != 200))
            return 2;
        return violations > 0 ? 1 : 0;
    } catch (const std::exception &e) {
        record.write(std::string("error: ") + e.what());
        return 2;
    }
}
