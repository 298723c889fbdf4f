#include "core/dispatch/upstreamtable.h"

#include <algorithm>

namespace Citronpitch {

Capacity UpstreamEntry::free() const
{
    auto left = own;
    left -= used;
    return left;
}

UpstreamTable::Announced UpstreamTable::announce(const UpstreamAnnouncement &announcement)
{
    const auto known = m_names.find(announcement.name);
    if (known == m_names.end()) {
        UpstreamIndex upstream = 0;
        if (m_unused.empty()) {
            upstream = static_cast<UpstreamIndex>(m_entries.size());
            m_entries.emplace_back();
        } else {
            upstream = m_unused.back();
            m_unused.pop_back();
        }
        m_names.emplace(announcement.name, upstream);
        auto &entry = m_entries[upstream];
        entry = {announcement, capacityOf(announcement)};
        entry.rack = rackNumber(announcement.rack);
        count(entry.whole);
        return {upstream, AnnouncementEffect::Added};
    }
    auto &entry = m_entries[known->second];
    const auto incarnation = entry.announcement.incarnation;
    if (announcement.incarnation < incarnation)
        return {known->second, AnnouncementEffect::Ignored};
    uncount(entry.whole);
    const bool isNewIncarnation = announcement.incarnation > incarnation;
    if (isNewIncarnation) {
        const bool wasFree = entry.isFree;
        const auto parallel = entry.parallel;
        const auto isPaused = entry.isPaused;
        entry = {announcement};
        entry.isPaused = isPaused;
        entry.isFree = wasFree;
        entry.parallel = parallel;
    } else {
        const auto lease = std::max(entry.announcement.leaseDeadline, announcement.leaseDeadline);
        const bool isLeaving = entry.announcement.leaving || announcement.leaving;
        entry.announcement = announcement;
        entry.announcement.leaseDeadline = lease;
        entry.announcement.leaving = isLeaving;
    }
    entry.whole = capacityOf(announcement);
    entry.rack = rackNumber(announcement.rack);
    count(entry.whole);
    return {known->second, isNewIncarnation ? AnnouncementEffect::Added : AnnouncementEffect::Renewed};
}

std::vector<UpstreamIndex> UpstreamTable::forget(TimePoint moment)
{
    std::vector<UpstreamIndex> forgotten;
    for (auto it = m_names.begin(); it != m_names.end();) {
        const auto &entry = m_entries[it->second];
        if (entry.busy > 0 || entry.announcement.leaseDeadline >= moment) {
            ++it;
            continue;
        }
        uncount(entry.whole);
        forgotten.push_back(it->second);
        it = m_names.erase(it);
    }
    for (const auto it : forgotten) {
        m_entries[it] = {};
        m_unused.push_back(it);
    }
    return forgotten;
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
    return std::any_of(m_shapes.begin(), m_shapes.end(), [&](const auto &shape) {
        return shape.capacity.contains(costOf(need, shape.capacity));
    });
}

RackIndex UpstreamTable::rackNumber(const std::string &rack)
{
    return m_racks.try_emplace(rack, static_cast<RackIndex>(m_racks.size())).first->second;
}

void UpstreamTable::count(const Capacity &shape)
{
    const auto isSame = [&](const auto &it) { return it.capacity == shape; };
    const auto it = std::find_if(m_shapes.begin(), m_shapes.end(), isSame);
    if (it == m_shapes.end())
        m_shapes.push_back({shape, 1});
    else
        ++it->upstreams;
}

void UpstreamTable::uncount(const Capacity &shape)
{
    const auto isSame = [&](const auto &it) { return it.capacity == shape; };
    const auto it = std::find_if(m_shapes.begin(), m_shapes.end(), isSame);
    if (it != m_shapes.end() && --it->upstreams == 0)
        m_shapes.erase(it);
}

} // namespace Citronpitch
