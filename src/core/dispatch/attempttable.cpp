#include "core/dispatch/attempttable.h"

namespace Citronpitch {

AttemptId AttemptTable::add(const InFlight &attempt)
{
    const auto id = m_next++;
    m_stuck.insert({attempt.stuckAt, id});
    m_attempts.emplace(id, attempt);
    return id;
}

std::optional<InFlight> AttemptTable::remove(AttemptId attempt)
{
    const auto it = m_attempts.find(attempt);
    if (it == m_attempts.end())
        return std::nullopt;
    auto removed = std::move(it->second);
    m_stuck.erase({removed.stuckAt, attempt});
    m_attempts.erase(it);
    return removed;
}

void AttemptTable::abandon(AttemptId attempt)
{
    const auto it = m_attempts.find(attempt);
    if (it == m_attempts.end())
        return;
    it->second.isAbandoned = true;
    m_stuck.erase({it->second.stuckAt, attempt});
}

std::vector<InFlight> AttemptTable::takeStuck(TimePoint now)
{
    std::vector<InFlight> stuck;
    while (!m_stuck.empty() && m_stuck.begin()->stuckAt <= now) {
        stuck.push_back(m_attempts.at(m_stuck.begin()->attempt));
        m_stuck.erase(m_stuck.begin());
    }
    return stuck;
}

} // namespace Citronpitch
