#include "daemon/callerapi.h"

#include "citronpitch/idempotencykey.h"
#include "settings/jsonobjectreader.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <memory>

namespace Citronpitch {

namespace leaf = boost::leaf;
using Json = nlohmann::json;

namespace {

constexpr std::uint64_t maximumMillicores = 1'000'000;
constexpr std::uint64_t maximumMemoryBytes = std::uint64_t{1} << 50;
constexpr std::uint64_t maximumAccelerators = 1000;

constexpr std::string_view jobsPath = "/v1/jobs";

constexpr const char *step = "read request";

leaf::error_id requestError(std::string where, std::string what)
{
    return leaf::new_error(StepError{step, std::move(where), std::move(what)});
}

leaf::result<Resources> parseNeed(const Json &task, const std::string &where)
{
    const auto it = task.find("need");
    if (it == task.end())
        return Resources();
    const JsonObjectReader fields(*it, step, where + ".need");
    BOOST_LEAF_CHECK(fields.rejectUnknownFields({"millicores", "memoryBytes", "accelerators"}));
    return parseResources(fields);
}

leaf::result<TaskSpec> parseTask(const Json &from, const std::string &where)
{
    constexpr std::uint64_t maximumDeclaredMs = 86'400'000;
    const JsonObjectReader fields(from, step, where);
    BOOST_LEAF_CHECK(fields.rejectUnknownFields({"payload", "declaredMs", "need"}));
    TaskSpec task;
    const auto *payload = fields.find("payload");
    if (payload != nullptr)
        task.payload = payload->is_string() ? payload->get<std::string>() : payload->dump();
    if (task.payload.size() > maximumPayloadBytes)
        return fields.error("the payload has more than " + std::to_string(maximumPayloadBytes) + " bytes");
    BOOST_LEAF_ASSIGN(const auto declared, fields.optionalNumber("declaredMs", 0, 0, maximumDeclaredMs));
    task.declaredTime = std::chrono::milliseconds(declared);
    BOOST_LEAF_ASSIGN(task.need, parseNeed(from, where));
    return task;
}

/// Returns the hash of a submission, to detect a key that is reused for other work. Excludes the deadline, as
/// a resubmission may have another one, and the declared times of the tasks.
std::uint64_t submissionHash(const Submission &submission)
{
    const std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> state(XXH3_createState(), &XXH3_freeState);
    XXH3_64bits_reset(state.get());
    const auto addText = [&](const std::string &text) {
        const std::uint64_t size = text.size();
        XXH3_64bits_update(state.get(), &size, sizeof size);
        XXH3_64bits_update(state.get(), text.data(), text.size());
    };
    addText(submission.className);
    addText(submission.idempotent ? "idempotent" : "");
    for (const auto &it : submission.tasks) {
        addText(it.payload);
        const std::array<std::uint64_t, 3> need{it.need.millicores, it.need.memoryBytes,
                                                it.need.accelerators};
        XXH3_64bits_update(state.get(), need.data(), sizeof need);
    }
    return XXH3_64bits_digest(state.get());
}

leaf::result<void> parseTasks(const Json &body, Submission &submission)
{
    const auto tasks = body.find("tasks");
    if (tasks == body.end() || !tasks->is_array() || tasks->empty())
        return requestError("body", "field \"tasks\" must be a non-empty list");
    if (tasks->size() > maximumTasksPerJob)
        return requestError("body", "a job has at most " + std::to_string(maximumTasksPerJob) + " tasks");
    for (const auto &it : *tasks) {
        BOOST_LEAF_ASSIGN(auto task, parseTask(it, "tasks[" + std::to_string(submission.tasks.size()) + "]"));
        submission.tasks.push_back(std::move(task));
    }
    return {};
}

leaf::result<Submission> parseSubmission(const HttpRequest &request, TimePoint defaultDeadline)
{
    constexpr std::uint64_t latestDeadlineMs = 4'102'444'800'000;
    BOOST_LEAF_ASSIGN(const auto body, parseJson(request.body, step));
    const JsonObjectReader fields(body, step, "body");
    BOOST_LEAF_CHECK(fields.rejectUnknownFields({"team", "class", "deadline", "idempotent", "tasks"}));
    Submission submission;
    BOOST_LEAF_ASSIGN(submission.team, fields.requiredText("team"));
    BOOST_LEAF_ASSIGN(submission.className, fields.requiredText("class"));
    const auto fallback = static_cast<std::uint64_t>(microsecondsOf(defaultDeadline) / 1000);
    BOOST_LEAF_ASSIGN(const auto deadline, fields.optionalNumber("deadline", fallback, 0, latestDeadlineMs));
    submission.deadline = TimePoint(std::chrono::milliseconds(deadline));
    BOOST_LEAF_ASSIGN(submission.idempotent, fields.flag("idempotent"));
    BOOST_LEAF_CHECK(parseTasks(body, submission));
    submission.bodyHash = submissionHash(submission);
    return submission;
}

int statusOf(const Answer &answer)
{
    switch (answer.outcome) {
    case Outcome::Pending:
        return 202;
    case Outcome::Complete:
        return 200;
    case Outcome::Failed:
        return 500;
    case Outcome::Unknown:
        return answer.reason == Reason::KeyNotKnown ? 404 : 504;
    case Outcome::Refused:
        break;
    }
    switch (answer.reason) {
    case Reason::KeyConflict:
        return 409;
    case Reason::QuotaExceeded:
        return 429;
    case Reason::UnknownClass:
    case Reason::RetiredClass:
    case Reason::UnknownTeam:
    case Reason::NeverFits:
    case Reason::KeyMalformed:
    case Reason::DeadlinePassed:
        return 422;
    default:
        return 503;
    }
}

Json taskJson(const TaskReport &report)
{
    Json task{{"state", enumName(taskStateNames, report.state)}};
    if (report.status != 0)
        task["status"] = report.status;
    if (!report.result.empty())
        task["result"] = report.result;
    if (!report.upstream.empty())
        task["upstream"] = report.upstream;
    return task;
}

} // namespace

leaf::result<Resources> parseResources(const JsonObjectReader &fields)
{
    Resources resources;
    BOOST_LEAF_ASSIGN(const auto millicores, fields.optionalNumber("millicores", 0, 0, maximumMillicores));
    BOOST_LEAF_ASSIGN(resources.memoryBytes, fields.optionalNumber("memoryBytes", 0, 0, maximumMemoryBytes));
    BOOST_LEAF_ASSIGN(const auto accelerators,
                      fields.optionalNumber("accelerators", 0, 0, maximumAccelerators));
    resources.millicores = static_cast<std::uint32_t>(millicores);
    resources.accelerators = static_cast<std::uint32_t>(accelerators);
    return resources;
}

leaf::result<CallerRequest> parseCallerRequest(const HttpRequest &request, TimePoint defaultDeadline)
{
    CallerRequest parsed;
    if (request.method == "POST") {
        BOOST_LEAF_ASSIGN(parsed.submission, parseSubmission(request, defaultDeadline));
        if (const auto *key = request.findHeader("Idempotency-Key"))
            parsed.submission.key = *key;
        const auto *preference = request.findHeader("Prefer");
        parsed.wait = preference == nullptr || preference->find("respond-async") == std::string::npos;
    } else {
        parsed.kind = request.method == "DELETE" ? RequestKind::Cancel : RequestKind::Fetch;
        if (request.path.size() <= jobsPath.size() + 1)
            return requestError("path", "missing key after /v1/jobs/");
        parsed.submission.key = request.path.substr(jobsPath.size() + 1);
        const auto *team = request.findQuery("team");
        if (team == nullptr || team->empty())
            return requestError("query", "missing parameter \"team\"");
        parsed.submission.team = *team;
        const auto *wait = request.findQuery("wait");
        parsed.wait = wait != nullptr && *wait == "true";
    }
    const auto &key = parsed.submission.key;
    if (!key.empty() && !parseIdempotencyKey(key))
        return requestError("Idempotency-Key", "a key is 1 to 200 printable ASCII characters without spaces");
    return parsed;
}

HttpResponse answerResponse(TimePoint now, const Answer &answer)
{
    Json body{{"key", answer.key}, {"outcome", enumName(outcomeNames, answer.outcome)}};
    if (answer.reason != Reason::None)
        body["reason"] = enumName(reasonNames, answer.reason);
    if (!answer.detail.empty())
        body["detail"] = answer.detail;
    if (answer.outcome == Outcome::Refused)
        body["ran"] = "not run";
    HttpResponse response;
    response.status = statusOf(answer);
    if (answer.retryAt) {
        const auto wait = std::chrono::ceil<std::chrono::seconds>(*answer.retryAt - now);
        response.headers.push_back({"Retry-After", std::to_string(std::max<std::int64_t>(wait.count(), 1))});
        body["retryAt"] = microsecondsOf(*answer.retryAt) / 1000;
    }
    if (!answer.tasks.empty()) {
        auto &tasks = body["tasks"] = Json::array();
        for (const auto &it : answer.tasks)
            tasks.push_back(taskJson(it));
    }
    response.body = body.dump(-1, ' ', false, Json::error_handler_t::replace);
    return response;
}

HttpResponse errorResponse(int status, const std::string &text)
{
    return {status, Json{{"error", text}}.dump(-1, ' ', false, Json::error_handler_t::replace), {}};
}

} // namespace Citronpitch
