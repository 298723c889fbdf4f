#include "core/dispatch/upstreamtable.h"

#include <algorithm>

namespace Citronpitch {

Capacity UpstreamEntry::free() const
{
    auto left = usable;
    left -= used;
    return left;
}

bool UpstreamEntry::isInService(TimePoint now) const
{
    return !announcement.leaving && announcement.leaseDeadline > now;
}

bool UpstreamEntry::hasLabel(std::string_view label) const
{
    const auto &labels = announcement.labels;
    return label.empty() || std::find(labels.begin(), labels.end(), label) != labels.end();
}

UpstreamTable::AnnounceResult UpstreamTable::announce(const UpstreamAnnouncement &announcement)
{
    const auto known = m_names.find(announcement.name);
    if (known == m_names.end()) {
        UpstreamIndex upstream = 0;
        if (m_freeIndexes.empty()) {
            upstream = static_cast<UpstreamIndex>(m_entries.size());
            m_entries.emplace_back();
        } else {
            upstream = m_freeIndexes.back();
            m_freeIndexes.pop_back();
        }
        m_names.emplace(announcement.name, upstream);
        auto &entry = m_entries[upstream];
        entry = {announcement, capacityOf(announcement)};
        entry.largest = entry.total;
        entry.rack = rackIndexOf(announcement.rack);
        addCapacity(entry.total);
        return {upstream, AnnouncementEffect::Added};
    }
    auto &entry = m_entries[known->second];
    const auto incarnation = entry.announcement.incarnation;
    if (announcement.incarnation < incarnation)
        return {known->second, AnnouncementEffect::Ignored};
    removeCapacity(entry.total);
    const bool isNewIncarnation = announcement.incarnation > incarnation;
    if (isNewIncarnation) {
        const bool wasFree = entry.isFree;
        const auto parallelTasks = entry.parallelTasks;
        const auto isPaused = entry.isPaused;
        entry = {announcement};
        entry.isPaused = isPaused;
        entry.isFree = wasFree;
        entry.parallelTasks = parallelTasks;
    } else {
        const auto lease = std::max(entry.announcement.leaseDeadline, announcement.leaseDeadline);
        const bool isLeaving = entry.announcement.leaving || announcement.leaving;
        entry.announcement = announcement;
        entry.announcement.leaseDeadline = lease;
        entry.announcement.leaving = isLeaving;
    }
    entry.total = capacityOf(announcement);
    entry.largest = elementwiseMaximum(entry.largest, entry.total);
    entry.rack = rackIndexOf(announcement.rack);
    addCapacity(entry.total);
    return {known->second, isNewIncarnation ? AnnouncementEffect::Added : AnnouncementEffect::Renewed};
}

std::vector<UpstreamIndex> UpstreamTable::removeExpired(TimePoint time)
{
    std::vector<UpstreamIndex> removed;
    for (auto it = m_names.begin(); it != m_names.end();) {
        const auto &entry = m_entries[it->second];
        if (entry.inFlight > 0 || entry.announcement.leaseDeadline >= time) {
            ++it;
            continue;
        }
        removeCapacity(entry.total);
        removed.push_back(it->second);
        it = m_names.erase(it);
    }
    for (const auto it : removed) {
        m_entries[it] = {};
        m_freeIndexes.push_back(it);
    }
    return removed;
}

std::optional<UpstreamIndex> UpstreamTable::find(std::string_view name) const
{
    const auto it = m_names.find(name);
    return it == m_names.end() ? std::nullopt : std::optional(it->second);
}

UpstreamEntry &UpstreamTable::at(UpstreamIndex upstream)
{
    return m_entries[upstream];
}

const UpstreamEntry &UpstreamTable::at(UpstreamIndex upstream) const
{
    return m_entries[upstream];
}

const std::map<std::string, UpstreamIndex, std::less<>> &UpstreamTable::byName() const
{
    return m_names;
}

bool UpstreamTable::canEverRun(const Resources &need) const
{
    return std::any_of(m_capacityCounts.begin(), m_capacityCounts.end(),
                       [&](const auto &it) { return it.capacity.contains(costOf(need, it.capacity)); });
}

bool UpstreamTable::canRun(TimePoint now, const Resources &need, std::string_view label) const
{
    return std::any_of(m_names.begin(), m_names.end(), [&](const auto &it) {
        const auto &entry = m_entries[it.second];
        return entry.isInService(now) && entry.hasLabel(label)
            && entry.total.contains(costOf(need, entry.total));
    });
}

bool UpstreamTable::couldRunBefore(const Resources &need) const
{
    return std::any_of(m_names.begin(), m_names.end(), [&](const auto &it) {
        const auto &largest = m_entries[it.second].largest;
        return largest.contains(costOf(need, largest));
    });
}

RackIndex UpstreamTable::rackIndexOf(const std::string &rack)
{
    return m_racks.try_emplace(rack, static_cast<RackIndex>(m_racks.size())).first->second;
}

void UpstreamTable::addCapacity(const Capacity &capacity)
{
    const auto isSame = [&](const auto &it) { return it.capacity == capacity; };
    const auto it = std::find_if(m_capacityCounts.begin(), m_capacityCounts.end(), isSame);
    if (it == m_capacityCounts.end())
        m_capacityCounts.push_back({capacity, 1});
    else
        ++it->upstreams;
}

void UpstreamTable::removeCapacity(const Capacity &capacity)
{
    const auto isSame = [&](const auto &it) { return it.capacity == capacity; };
    const auto it = std::find_if(m_capacityCounts.begin(), m_capacityCounts.end(), isSame);
    if (it != m_capacityCounts.end() && --it->upstreams == 0)
        m_capacityCounts.erase(it);
}

} // namespace Citronpitch
