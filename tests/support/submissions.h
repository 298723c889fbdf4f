#pragma once

#include "net/httpclient.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <string>

namespace Citronpitch {

/// A job for fake upstreams, as a test or an experiment submits it.
struct TestJob
{
    std::string key;
    int tasks = 1;
    int milliseconds = 0;
    bool isIdempotent = false;
    /// Time until the deadline of the job.
    Duration patience = std::chrono::seconds(20);
    bool wait = true;
    /// Added to the id of each task, which comes back in its result; makes large answers.
    std::string padding;
};

/// The request that submits @p job for team "t" and class "casework". The id of task N is KEY/N.
ClientRequest submissionOf(const TestJob &job);

/// The request that fetches the answer of @p key, or waits for it.
ClientRequest fetchOf(const std::string &key, bool wait);

/// Body of a response as JSON; an empty object where there is none.
nlohmann::json bodyOf(const ClientResponse &response);

/// Whether @p condition comes true within a generous time.
bool eventually(const std::function<bool()> &condition);

} // namespace Citronpitch
