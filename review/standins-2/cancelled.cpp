// A client cancels a running job: after the acknowledgement of its DELETE no task of it may start or run on.

#include "fleet.h"

#include <cstdlib>
#include <iostream>

using namespace Review;

namespace {

// Bounds of the pages.
constexpr int cancelMs = 3000;
constexpr int stopMs = 50;

constexpr int deadlineMs = 12'000;
constexpr unsigned tasks = 16;
constexpr int taskMs = 900;
constexpr int cancelAfterMs = 500;
constexpr auto id = "5c0e7a21d94b36f8";

int judge(Record &record, const std::vector<RunEvent> &runs, std::optional<std::int64_t> acknowledgedAt)
{
    int violations = 0;
    for (const auto &it : runs) {
        if (!acknowledgedAt)
            continue;
        const auto latest = *acknowledgedAt + cancelMs;
        const bool isStartedLate = it.startedAt > latest;
        const bool isRunningOn = it.endedAt.value_or(record.now()) > latest + stopMs;
        if (!isStartedLate && !isRunningOn)
            continue;
        ++violations;
        record.write("violation: " + it.task + " on " + it.executor + ", started "
                     + std::to_string(it.startedAt - *acknowledgedAt)
                     + " ms after the acknowledgement, ran until "
                     + std::to_string(it.endedAt.value_or(record.now()) - *acknowledgedAt) + " ms after it");
    }
    return violations;
}

} // namespace

int main(int, char **argv)
{
    const auto *trouble = std::getenv("TROUBLE");
    const bool isCancelling = trouble == nullptr || std::string(trouble) != "0";
    Record record(argv[1]);
    try {
        Fleet fleet(record, {{"west-a", "west-b", "west-c"}, 1, {}});
        if (!fleet.configure(configurationOf(7, deadlineMs)))
            return 2;
        ::sleep(2);
        Response answer;
        std::thread client([&] {
            record.write(std::string("client sends POST ") + id);
            answer = call(fleet.entries()[0], submission(id, tasks, taskMs, deadlineMs), deadlineMs + 500);
            record.write("client gets " + std::to_string(answer.status) + " " + answer.body);
        });
        std::optional<std::int64_t> acknowledgedAt;
        ::usleep(cancelAfterMs * 1000);
        const bool hasStarted = !fleet.runs().empty();
        if (isCancelling) {
            auto request = submission(id, tasks, taskMs, deadlineMs);
            request.method = "DELETE";
            request.body.clear();
            record.write(std::string("client sends DELETE ") + id);
            const auto response = call(fleet.entries()[0], request, 1000);
            record.write("client gets " + std::to_string(response.status) + " " + response.body);
            if (response.status / 100 == 2 || response.status == 410)
                acknowledgedAt = record.now();
        }
        client.join();
        if (!hasStarted || (!isCancelling && answer.status != 200)) {
            record.write("the case could not run");
            return 2;
        }
        const int violations = judge(record, fleet.runs(), acknowledgedAt);
        record.write(std::to_string(violations) + " violations");
        return violations > 0 ? 1 : 0;
    } catch (const std::exception &e) {
        record.write(std::string("error: ") + e.what());
        return 2;
    }
}
