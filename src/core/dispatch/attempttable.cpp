#include "core/dispatch/attempttable.h"

namespace Citronpitch {

AttemptId AttemptTable::add(const InFlight &attempt)
{
    const auto id = m_next++;
    m_stuck.insert({attempt.stuckAt, id});
    if (attempt.lateAt)
        m_late.insert({*attempt.lateAt, id});
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
    if (removed.lateAt)
        m_late.erase({*removed.lateAt, attempt});
    m_attempts.erase(it);
    return removed;
}

std::size_t AttemptTable::size() const
{
    return m_attempts.size();
}

void AttemptTable::abandon(AttemptId attempt)
{
    const auto it = m_attempts.find(attempt);
    if (it == m_attempts.end())
        return;
    it->second.isAbandoned = true;
    m_stuck.erase({it->second.stuckAt, attempt});
}

std::vector<InFlight> AttemptTable::takeLate(TimePoint now)
{
    std::vector<InFlight> late;
    while (!m_late.empty() && m_late.begin()->at <= now) {
        const auto id = m_late.begin()->attempt;
        m_late.erase(m_late.begin());
        auto &attempt = m_attempts.at(id);
        attempt.lateAt = now + (now - attempt.startedAt);
        m_late.insert({*attempt.lateAt, id});
        late.push_back(attempt);
    }
    return late;
}

std::vector<InFlight> AttemptTable::takeStuck(TimePoint now)
{
    std::vector<InFlight> stuck;
    while (!m_stuck.empty() && m_stuck.begin()->at <= now) {
        stuck.push_back(m_attempts.at(m_stuck.begin()->attempt));
        m_stuck.erase(m_stuck.begin());
    }
    return stuck;
}

} // namespace Citronpitch
