#include "support/submissions.h"

#include <chrono>
#include <thread>

namespace Citronpitch {

using Json = nlohmann::json;

namespace {

constexpr int polls = 1000;
constexpr auto pollPeriod = std::chrono::milliseconds(20);
constexpr auto requestTimeout = std::chrono::seconds(60);

} // namespace

ClientRequest submissionOf(const TestJob &job)
{
    Json tasks = Json::array();
    for (int i = 0; i < job.tasks; ++i) {
        const Json payload{{"id", job.key + "/" + std::to_string(i) + job.padding}, {"ms", job.milliseconds}};
        tasks.push_back({{"payload", payload.dump()}, {"declaredMs", job.milliseconds}});
    }
    const auto deadline = std::chrono::system_clock::now() + job.patience;
    const auto milliseconds =
        std::chrono::duration_cast<std::chrono::milliseconds>(deadline.time_since_epoch());
    ClientRequest request;
    request.method = "POST";
    request.target = "/v1/jobs";
    request.headers = {{"Idempotency-Key", job.key}};
    if (!job.wait)
        request.headers.push_back({"Prefer", "respond-async"});
    request.body = Json{
        {"team", "t"},
        {"class", "casework"},
        {"idempotent", job.isIdempotent},
        {"deadline", milliseconds.count()},
        {"tasks",
         tasks}}.dump();
    request.timeout = requestTimeout;
    return request;
}

ClientRequest fetchOf(const std::string &key, bool wait)
{
    ClientRequest request;
    request.target = "/v1/jobs/" + percentEncode(key) + "?team=t" + (wait ? "&wait=true" : "");
    request.timeout = requestTimeout;
    return request;
}

Json bodyOf(const ClientResponse &response)
{
    const auto body = Json::parse(response.response.body, nullptr, false);
    return body.is_object() ? body : Json::object();
}

bool eventually(const std::function<bool()> &condition)
{
    for (int i = 0; i < polls; ++i) {
        if (condition())
            return true;
        std::this_thread::sleep_for(pollPeriod);
    }
    return false;
}

} // namespace Citronpitch
