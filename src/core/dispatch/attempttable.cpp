#include "core/dispatch/attempttable.h"

namespace Citronpitch {

AttemptId AttemptTable::add(const InFlightAttempt &attempt)
{
    const auto id = m_next++;
    m_stuck.insert({attempt.stuckAt, id});
    if (attempt.overdueAt)
        m_overdue.insert({*attempt.overdueAt, id});
    m_attempts.emplace(id, attempt);
    return id;
}

std::optional<InFlightAttempt> AttemptTable::remove(AttemptId attempt)
{
    const auto it = m_attempts.find(attempt);
    if (it == m_attempts.end())
        return std::nullopt;
    auto removed = std::move(it->second);
    m_stuck.erase({removed.stuckAt, attempt});
    if (removed.overdueAt)
        m_overdue.erase({*removed.overdueAt, attempt});
    m_attempts.erase(it);
    return removed;
}

std::size_t AttemptTable::size() const
{
    return m_attempts.size();
}

const std::unordered_map<AttemptId, InFlightAttempt> &AttemptTable::all() const
{
    return m_attempts;
}

void AttemptTable::abandon(AttemptId attempt)
{
    const auto it = m_attempts.find(attempt);
    if (it == m_attempts.end())
        return;
    it->second.isAbandoned = true;
    m_stuck.erase({it->second.stuckAt, attempt});
}

std::vector<InFlightAttempt> AttemptTable::takeOverdue(TimePoint now)
{
    std::vector<InFlightAttempt> overdue;
    while (!m_overdue.empty() && m_overdue.begin()->at <= now) {
        const auto id = m_overdue.begin()->attempt;
        m_overdue.erase(m_overdue.begin());
        auto &attempt = m_attempts.at(id);
        attempt.overdueAt = now + (now - attempt.startedAt);
        m_overdue.insert({*attempt.overdueAt, id});
        overdue.push_back(attempt);
    }
    return overdue;
}

std::vector<InFlightAttempt> AttemptTable::takeStuck(TimePoint now)
{
    std::vector<InFlightAttempt> stuck;
    while (!m_stuck.empty() && m_stuck.begin()->at <= now) {
        stuck.push_back(m_attempts.at(m_stuck.begin()->attempt));
        m_stuck.erase(m_stuck.begin());
    }
    return stuck;
}

} // namespace Citronpitch
