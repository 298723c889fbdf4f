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

/// Index of a rack of the failure domain.
using RackIndex = std::uint32_t;

/// State of one upstream of the failure domain in this entry VM.
struct UpstreamEntry
{
    UpstreamAnnouncement announcement;
    Capacity total;
    /// Elementwise maximum of @ref total in this incarnation; the capacity may shrink and grow again.
    Capacity largest;
    /// Part of @ref total that this entry VM may use, including loans.
    Capacity usable;
    /// Part of @ref usable that attempts on this incarnation occupy.
    Capacity used;
    /// Number of attempts in flight on this incarnation.
    std::uint32_t inFlight = 0;
    RackIndex rack = 0;
    /// Number of consecutive starts that were declined or could not be sent.
    std::uint32_t consecutiveDeclines = 0;
    /// No task is started before this time.
    TimePoint blockedUntil;
    /// Whether starts are paused by Dispatcher::setPaused().
    bool isPaused = false;
    /// Whether a task can be started now; maintained by Dispatcher.
    bool isFree = false;
    /// Number of tasks that this entry VM can run concurrently on it; zero while it accepts no tasks.
    std::uint32_t parallelTasks = 0;

    /// Returns the part of @ref usable that is not in use.
    Capacity free() const;

    /// Whether it has a lease and is not leaving; starts may be paused all the same.
    bool isInService(TimePoint now) const;

    /// Whether the upstream has @p label; true for an empty one.
    bool hasLabel(std::string_view label) const;
};

/// Effect of an announcement.
enum class AnnouncementEffect {
    /// It is from an older incarnation.
    Ignored,
    Renewed,
    /// The upstream is new, or has a new incarnation.
    Added,
};

/**
 * @brief Keeps the upstreams of the failure domain by name and index, with their incarnations and leases.
 */
class UpstreamTable
{
public:
    struct AnnounceResult
    {
        UpstreamIndex upstream = 0;
        AnnouncementEffect effect = AnnouncementEffect::Ignored;
    };

    /// Adds or updates an upstream; an announcement of an older incarnation is ignored.
    AnnounceResult announce(const UpstreamAnnouncement &announcement);

    /// Removes the idle upstreams whose lease ended before @p time, and returns their indexes.
    std::vector<UpstreamIndex> removeExpired(TimePoint time);

    std::optional<UpstreamIndex> find(std::string_view name) const;
    UpstreamEntry &at(UpstreamIndex upstream);
    const UpstreamEntry &at(UpstreamIndex upstream) const;

    /// Returns the indexes of the known upstreams, by name.
    const std::map<std::string, UpstreamIndex, std::less<>> &byName() const;

    /// Whether a task with @p need fits the total capacity of any known upstream.
    bool canEverRun(const Resources &need) const;

    /// Whether a task with @p need fits the total capacity of an upstream with @p label that is neither
    /// leaving nor without a lease at @p now.
    bool canRun(TimePoint now, const Resources &need, std::string_view label) const;

    /// Whether a task with @p need fitted the capacity that any known upstream had in its incarnation.
    bool couldRunBefore(const Resources &need) const;

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
