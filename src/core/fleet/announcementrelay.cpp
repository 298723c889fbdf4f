#include "citronpitch/announcementrelay.h"

#include <utility>

namespace Citronpitch {

AnnouncementRelay::AnnouncementRelay(Duration interval)
    : m_interval(interval)
{
}

void AnnouncementRelay::add(RelayedAnnouncement announcement)
{
    m_hasNews = m_hasNews || !announcement.isRenewal;
    auto &it = m_pending[announcement.announcement.upstream.name];
    // The others have not received the news that the earlier announcement contains.
    const bool isPendingNews = !it.announcement.upstream.name.empty() && !it.isRenewal;
    announcement.isRenewal = announcement.isRenewal && !isPendingNews;
    it = std::move(announcement);
}

std::vector<RelayedAnnouncement> AnnouncementRelay::take(TimePoint now)
{
    if (m_pending.empty() || (!m_hasNews && now < m_nextSendAt))
        return {};
    m_hasNews = false;
    m_nextSendAt = now + m_interval;
    std::vector<RelayedAnnouncement> list;
    list.reserve(m_pending.size());
    for (auto &[name, it] : std::exchange(m_pending, {}))
        list.push_back(std::move(it));
    return list;
}

} // namespace Citronpitch
