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

/// An attempt whose result is not known yet.
struct InFlightAttempt
{
    JobId job = 0;
    ClassIndex classIndex = 0;
    std::string team;
    UpstreamIndex upstream = 0;
    /// Incarnation of the upstream that the attempt was started on.
    std::uint64_t incarnation = 0;
    /// Capacity of the upstream that the attempt occupies.
    Capacity cost;
    Duration declared{};
    TimePoint startedAt;
    TimePoint expectedEnd;
    /// When the attempt becomes overdue; nothing if the upstream has enough samples already.
    std::optional<TimePoint> overdueAt;
    /// When the attempt is considered stuck.
    TimePoint stuckAt;
    /// The job has been removed; the result is not needed any more.
    bool isAbandoned = false;
};

/**
 * @brief Keeps the attempts in flight and finds those that are overdue or stuck.
 */
class AttemptTable
{
public:
    /// Adds an attempt and returns its identifier.
    AttemptId add(const InFlightAttempt &attempt);

    /// Removes and returns an attempt; nothing if it is unknown.
    std::optional<InFlightAttempt> remove(AttemptId attempt);

    /// Number of attempts in flight.
    std::size_t size() const;

    /// Returns the attempts in flight, in any order.
    const std::unordered_map<AttemptId, InFlightAttempt> &all() const;

    /// Marks @p attempt as abandoned, after which it is not reported as stuck.
    void abandon(AttemptId attempt);

    /// Returns the attempts that became overdue by @p now; each is returned again at twice its age.
    std::vector<InFlightAttempt> takeOverdue(TimePoint now);

    /// Returns the attempts that became stuck by @p now; each is returned once.
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
