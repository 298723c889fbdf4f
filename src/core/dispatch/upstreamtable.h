#pragma once

#include "core/dispatch/capacity.h"
#include "core/dispatch/servicetimemodel.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Citronpitch {

/// Number of a rack of the failure domain.
using RackIndex = std::uint32_t;

/// One upstream of the failure domain and what this entry VM has in flight on it.
struct UpstreamEntry
{
    UpstreamAnnouncement announcement;
    Capacity total;
    /// Part of @ref total that this entry VM may use.
    Capacity usable;
    /// Part of @ref usable that attempts of this incarnation take.
    Capacity used;
    /// Attempts in flight on this incarnation.
    std::uint32_t inFlight = 0;
    RackIndex rack = 0;
    /// Starts that the upstream declined one after the other.
    std::uint32_t consecutiveDeclines = 0;
    /// No start before this moment.
    TimePoint blockedUntil;
    /// Whether its owner lets no start pass for a while.
    bool isPaused = false;
    /// Whether a start is possible now; kept by Dispatcher.
    bool isFree = false;
    /// Tasks side by side that this entry VM counts on; zero while the upstream takes no work.
    std::uint32_t parallelTasks = 0;

    /// What is left of @ref usable.
    Capacity free() const;
};

/// What an announcement changed.
enum class AnnouncementEffect {
    /// It is of an ended incarnation.
    Ignored,
    Renewed,
    /// The upstream is new, or has a new incarnation.
    Added,
};

/**
 * @brief The upstreams of the failure domain by name and by number.
 *
 * Knows incarnations, leases and leaving; nothing of health or speed. Used by Dispatcher.
 */
class UpstreamTable
{
public:
    struct AnnounceResult
    {
        UpstreamIndex upstream = 0;
        AnnouncementEffect effect = AnnouncementEffect::Ignored;
    };

    /// Takes over @p announcement unless its incarnation has ended.
    AnnounceResult announce(const UpstreamAnnouncement &announcement);

    /// Forgets the idle upstreams whose lease ended before @p moment, and returns their numbers.
    std::vector<UpstreamIndex> removeExpired(TimePoint moment);

    std::optional<UpstreamIndex> find(std::string_view name) const;
    UpstreamEntry &at(UpstreamIndex upstream);
    const UpstreamEntry &at(UpstreamIndex upstream) const;

    /// Numbers of the known upstreams, by name.
    const std::map<std::string, UpstreamIndex, std::less<>> &byName() const;

    /// Whether any known upstream could ever run a task that needs @p need.
    bool canEverRun(const Resources &need) const;

private:
    struct CapacityCount
    {
        Capacity capacity;
        std::uint32_t upstreams = 0;
    };

    RackIndex rackIndexOf(const std::string &rack);
    void addCapacity(const Capacity &capacity);
    void removeCapacity(const Capacity &capacity);

    std::vector<UpstreamEntry> m_entries;
    std::vector<UpstreamIndex> m_freeIndexes;
    std::map<std::string, UpstreamIndex, std::less<>> m_names;
    std::map<std::string, RackIndex, std::less<>> m_racks;
    std::vector<CapacityCount> m_capacityCounts;
};

} // namespace Citronpitch
