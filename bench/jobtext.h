#pragma once

#include "net/httpclient.h"

#include <cstdint>
#include <string>

namespace Citronpitch {

/// A job as the experiments submit it: equal tasks for the fake upstreams.
struct JobText
{
    std::string team = "bench";
    std::string className = "check";
    /// Idempotency key; the tasks' ids are the key with their number.
    std::string key;
    std::uint32_t tasks = 1;
    double milliseconds = 0;
    /// What the caller declares, which may be wrong.
    std::uint64_t declaredMilliseconds = 0;
    /// Moment in milliseconds since the Unix epoch after which the answer is of no use; zero: the default.
    std::int64_t deadlineMilliseconds = 0;
    std::uint64_t memoryBytes = 0;
    /// The caller waits for the answer.
    bool wait = true;
};

/// The request that submits @p job.
ClientRequest submitRequest(const JobText &job);

/// The id in the payload of task @p number of the job with @p key.
std::string taskId(const std::string &key, std::uint32_t number);

/// The request that fetches the answer of @p key; it waits for the answer where @p wait is set.
ClientRequest fetchRequest(const std::string &team, const std::string &key, bool wait);

/// The request that cancels the job with @p key.
ClientRequest cancelRequest(const std::string &team, const std::string &key);

/// A fresh key in the form that VM @p vm issues, so that @p vm is its home.
std::string freshKey(const std::string &vm);

} // namespace Citronpitch
