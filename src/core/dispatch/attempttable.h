#pragma once

#include "citronpitch/action.h"
#include "citronpitch/claimbook.h"
#include "core/dispatch/upstreamtable.h"

#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Citronpitch {

/// An attempt whose end is not known.
struct InFlight
{
    JobId job = 0;
    ClassIndex of = 0;
    std::string team;
    UpstreamIndex upstream = 0;
    /// Incarnation of the upstream that got the start.
    std::uint64_t incarnation = 0;
    /// What the attempt takes of the upstream.
    Capacity cost;
    Duration declared{};
    TimePoint startedAt;
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
    AttemptId add(const InFlight &attempt);

    /// Takes out an attempt; nothing for an unknown one.
    std::optional<InFlight> remove(AttemptId attempt);

    /// Notes that nobody waits for @p attempt any more; it is not taken for stuck from now on.
    void abandon(AttemptId attempt);

    /// Attempts that became stuck by @p now; each is returned once.
    std::vector<InFlight> takeStuck(TimePoint now);

private:
    struct StuckKey
    {
        TimePoint stuckAt;
        AttemptId attempt = 0;
        auto operator<=>(const StuckKey &) const = default;
    };

    std::unordered_map<AttemptId, InFlight> m_attempts;
    std::set<StuckKey> m_stuck;
    AttemptId m_next = 1;
};

} // namespace Citronpitch
