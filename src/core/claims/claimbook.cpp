#include "citronpitch/claimbook.h"

#include <algorithm>
#include <utility>

namespace Citronpitch {

ClaimBook::ClaimBook(Duration retention)
    : m_retention(retention)
{
}

ClaimState ClaimBook::state(const std::string &team, const std::string &key,
                            std::optional<std::uint64_t> bodyHash) const
{
    const auto *claim = find(team, key);
    if (claim == nullptr)
        return ClaimState::Free;
    if (bodyHash && *bodyHash != claim->bodyHash)
        return ClaimState::Conflict;
    if (claim->isExpired)
        return ClaimState::Unknown;
    return claim->answer ? ClaimState::Answered : ClaimState::Open;
}

void ClaimBook::claim(TimePoint, const std::string &team, const std::string &key, std::uint64_t bodyHash,
                      JobId job)
{
    auto &claim = m_claims[{team, key}];
    claim.job = job;
    claim.bodyHash = bodyHash;
}

std::optional<JobId> ClaimBook::findJob(const std::string &team, const std::string &key) const
{
    const auto *claim = find(team, key);
    if (claim == nullptr || claim->answer || claim->isExpired)
        return std::nullopt;
    return claim->job;
}

void ClaimBook::join(const std::string &team, const std::string &key, const Waiter &waiter)
{
    auto *claim = find(team, key);
    if (claim == nullptr)
        return;
    auto &waiters = claim->waiters;
    if (std::find(waiters.begin(), waiters.end(), waiter) == waiters.end())
        waiters.push_back(waiter);
}

void ClaimBook::leave(const Waiter &waiter)
{
    for (auto &[key, claim] : m_claims)
        std::erase(claim.waiters, waiter);
}

std::vector<Waiter> ClaimBook::answer(TimePoint now, const std::string &team, const std::string &key,
                                      Answer answer)
{
    auto *claim = find(team, key);
    if (claim == nullptr)
        return {};
    claim->answer = std::move(answer);
    m_expiries.push_back({now + m_retention, {team, key}});
    return std::exchange(claim->waiters, {});
}

const Answer *ClaimBook::findAnswer(const std::string &team, const std::string &key) const
{
    const auto *claim = find(team, key);
    return claim != nullptr && claim->answer ? &*claim->answer : nullptr;
}

void ClaimBook::expire(TimePoint now)
{
    while (m_firstExpiry < m_expiries.size() && m_expiries[m_firstExpiry].deadline <= now) {
        const auto &it = m_expiries[m_firstExpiry].key;
        if (auto *claim = find(it.team, it.key)) {
            claim->answer.reset();
            claim->isExpired = true;
        }
        ++m_firstExpiry;
    }
    if (m_firstExpiry * 2 > m_expiries.size()) {
        m_expiries.erase(m_expiries.begin(), m_expiries.begin() + static_cast<std::ptrdiff_t>(m_firstExpiry));
        m_firstExpiry = 0;
    }
}

std::size_t ClaimBook::size() const
{
    return m_claims.size();
}

ClaimBook::Claim *ClaimBook::find(const std::string &team, const std::string &key)
{
    const auto it = m_claims.find({team, key});
    return it == m_claims.end() ? nullptr : &it->second;
}

const ClaimBook::Claim *ClaimBook::find(const std::string &team, const std::string &key) const
{
    const auto it = m_claims.find({team, key});
    return it == m_claims.end() ? nullptr : &it->second;
}

} // namespace Citronpitch
