#pragma once

namespace Citronpitch {

/**
 * @brief Injectable faults, each of which violates an invariant that the fuzzer checks.
 *
 * All are disabled by default. Tests enable one at a time to verify that the fuzzer detects the violation.
 */
struct FaultInjection
{
    /// Runs the job again if an answered key is resubmitted.
    bool rerunsAnsweredKeys = false;
    /// Does not advance the claim cutoffs after a loss of journal records.
    bool omitsRecoveryCutoffs = false;
    /// Requeues tasks after a restart although they may have run.
    bool ignoresStartIntents = false;
    /// Starts the job of a key without a date before its claim is synced.
    bool startsBeforeSync = false;
    /// Retries a task whose attempt ended without an answer although the job is not idempotent.
    bool retriesUnresolvedAttempts = false;
    /// Reports a job as complete as soon as its first task has succeeded.
    bool answersPartially = false;
    /// Returns the results of a complete job in reverse order.
    bool reversesResults = false;
    /// Sends an answer to the wrong caller.
    bool misroutesAnswers = false;
    /// Answers a request as refused, instead of unknown, if the home VM is unreachable.
    bool refusesWhenHomeUnreachable = false;
    /// Reports a task in flight as not run.
    bool reportsInFlightAsNotRun = false;
    /// Handles a duplicate of a refused forwarded request as a new request.
    bool dropsCachedRefusals = false;
    /// Does not fail jobs whose deadline has passed.
    bool ignoresDeadlines = false;
};

} // namespace Citronpitch
