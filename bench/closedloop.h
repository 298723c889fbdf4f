#pragma once

#include "distribution.h"
#include "jobtext.h"
#include "settings/settings.h"

#include <cstdint>
#include <string>

namespace Citronpitch {

/// A stream of equal jobs that keeps a number of them in flight.
struct ClosedLoopPlan
{
    Endpoint callers;
    /// Home of the keys.
    std::string home;
    JobText job;
    std::uint32_t jobsInFlight = 1;
    std::uint32_t threads = 1;
    /// The run ends after this time, or after @ref jobs where that is not zero.
    Duration time = std::chrono::seconds(2);
    std::uint64_t jobs = 0;
};

/// What came of it.
struct ClosedLoopResult
{
    std::uint64_t jobsAnswered = 0;
    std::uint64_t tasksRan = 0;
    /// Jobs with any answer other than complete, or with none.
    std::uint64_t otherAnswers = 0;
    double seconds = 0;
};

/// Runs @p plan with its own threads and connections, which are kept.
ClosedLoopResult runClosedLoop(const ClosedLoopPlan &plan);

/// Sends @p request and waits for its response, over and over on one kept connection.
class SequentialCaller
{
public:
    SequentialCaller();
    ~SequentialCaller();
    SequentialCaller(const SequentialCaller &) = delete;
    SequentialCaller &operator=(const SequentialCaller &) = delete;

    /// Response to one request; @p milliseconds is set to the time it took.
    ClientResponse call(const Endpoint &endpoint, const ClientRequest &request, double &milliseconds);

private:
    class Loop;
    std::unique_ptr<Loop> m_loop;
};

} // namespace Citronpitch
