#pragma once

#include "citronpitch/action.h"
#include "citronpitch/claimtable.h"
#include "core/dispatch/upstreamtable.h"

#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Citronpitch {

/// An attempt whose end is not known.
struct InFlightAttempt
{
    JobId job = 0;
    ClassIndex classIndex = 0;
    std::string team;
    UpstreamIndex upstream = 0;
    /// Incarnation of the upstream that got the start.
    std::uint64_t incarnation = 0;
    /// What the attempt takes of the upstream.
    Capacity cost;
    Duration declared{};
    TimePoint startedAt;
    /// When the attempt has taken clearly longer than expected; nothing where that does not matter.
    std::optional<TimePoint> overdueAt;
    /// When the attempt is taken for stuck.
    TimePoint stuckAt;
    /// Nobody waits for the result any more.
    bool isAbandoned = false;
};

/**
 * @brief The attempts in flight, and which of them have taken too long.
 *
 * Used by Dispatcher.
 */
class AttemptTable
{
public:
    /// Adds an attempt and returns its number.
    AttemptId add(const InFlightAttempt &attempt);

    /// Takes out an attempt; nothing for an unknown one.
    std::optional<InFlightAttempt> remove(AttemptId attempt);

    /// Number of attempts in flight.
    std::size_t size() const;

    /// Notes that nobody waits for @p attempt any more; it is not taken for stuck from now on.
    void abandon(AttemptId attempt);

    /// Attempts that became late by @p now; each is returned again when twice the time has passed.
    std::vector<InFlightAttempt> takeOverdue(TimePoint now);

    /// Attempts that became stuck by @p now; each is returned once.
    std::vector<InFlightAttempt> takeStuck(TimePoint now);

private:
    struct Due
    {
        TimePoint at;
        AttemptId attempt = 0;
        auto operator<=>(const Due &) const = default;
    };

    std::unordered_map<AttemptId, InFlightAttempt> m_attempts;
    std::set<Due> m_stuck;
    std::set<Due> m_overdue;
    AttemptId m_next = 1;
};

} // namespace Citronpitch
