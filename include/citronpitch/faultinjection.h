#pragma once

namespace Citronpitch {

/**
 * @brief Deliberate breaches of the promises, one for each invariant that the fuzzer checks.
 *
 * All are off. Only tests turn one on, to show that the fuzzer finds it.
 */
struct FaultInjection
{
    /// A resubmitted key that was answered runs again.
    bool rerunsAnsweredKeys = false;
    /// A life that lost records raises no floors.
    bool omitsRecoveryFloors = false;
    /// After a restart, tasks that may have run are placed again.
    bool ignoresStartIntents = false;
    /// A job of a key without a date starts before its claim is synced.
    bool startsBeforeSync = false;
    /// A task whose attempt broke is placed again, idempotent or not.
    bool retriesBrokenAttempts = false;
    /// A job counts as complete when its first task has succeeded.
    bool answersPartially = false;
    /// Results of a complete job come in the opposite order.
    bool reversesResults = false;
    /// A caller gets the answer of another key.
    bool misroutesAnswers = false;
    /// A request whose home is out of reach is refused as not run.
    bool refusesWhenHomeUnreachable = false;
    /// A task in flight is reported as not run.
    bool reportsInFlightAsNotRun = false;
    /// A copy of a refused forwarded request is handled as a new one.
    bool dropsCachedRefusals = false;
    /// Late jobs are not answered.
    bool ignoresDeadlines = false;
};

} // namespace Citronpitch
