#include "jobtext.h"

#include "citronpitch/idempotencykey.h"
#include "citronpitch/timepoint.h"

#include <nlohmann/json.hpp>

#include <random>

namespace Citronpitch {

using Json = nlohmann::json;

ClientRequest submitRequest(const JobText &job)
{
    auto tasks = Json::array();
    for (std::uint32_t i = 0; i < job.tasks; ++i) {
        const Json payload{{"id", taskId(job.key, i)}, {"ms", job.milliseconds}};
        Json task{{"payload", payload.dump()}, {"declaredMs", job.declaredMilliseconds}};
        if (job.memoryBytes > 0)
            task["need"] = {{"memoryBytes", job.memoryBytes}};
        tasks.push_back(std::move(task));
    }
    Json body{{"team", job.team}, {"class", job.className}, {"tasks", std::move(tasks)}};
    if (job.deadlineMilliseconds > 0)
        body["deadline"] = job.deadlineMilliseconds;
    ClientRequest request;
    request.method = "POST";
    request.target = "/v1/jobs";
    if (!job.key.empty())
        request.headers.push_back({"Idempotency-Key", job.key});
    if (!job.wait)
        request.headers.push_back({"Prefer", "respond-async"});
    request.body = body.dump();
    return request;
}

std::string taskId(const std::string &key, std::uint32_t number)
{
    return key + "#" + std::to_string(number);
}

ClientRequest fetchRequest(const std::string &team, const std::string &key, bool wait)
{
    ClientRequest request;
    request.target = "/v1/jobs/" + percentEncode(key) + "?team=" + team + (wait ? "&wait=true" : "");
    return request;
}

ClientRequest cancelRequest(const std::string &team, const std::string &key)
{
    ClientRequest request;
    request.method = "DELETE";
    request.target = "/v1/jobs/" + percentEncode(key) + "?team=" + team;
    return request;
}

std::string freshKey(const std::string &vm)
{
    thread_local std::mt19937_64 random(std::random_device{}());
    const auto now = std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now());
    const auto high = random();
    return issueIdempotencyKey(vm, now, high, random());
}

} // namespace Citronpitch
