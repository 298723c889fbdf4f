#include "citronpitch/claimtable.h"

#include "citronpitch/idempotencykey.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace Citronpitch {

namespace {

/// Time span of each group of fingerprints of dated keys; whole groups are dropped at once.
constexpr Duration datedKeySpan = std::chrono::minutes(1);

std::optional<TimePoint> dateOf(const ClaimKey &key)
{
    const auto parsed = parseIdempotencyKey(key.key);
    return parsed ? parsed->date : std::nullopt;
}

std::uint64_t fingerprintOf(const ClaimKey &key)
{
    const auto team = XXH3_64bits(key.team.data(), key.team.size());
    return XXH3_64bits_withSeed(key.key.data(), key.key.size(), team);
}

TimePoint spanEnd(TimePoint date)
{
    return TimePoint((date.time_since_epoch() / datedKeySpan + 1) * datedKeySpan);
}

std::size_t bytesOf(const Answer &answer)
{
    std::size_t n = sizeof answer + answer.detail.size();
    for (const auto &it : answer.tasks)
        n += sizeof it + it.result.size();
    return n;
}

} // namespace

ClaimTable::ClaimTable(const ClaimLimits &limits)
    : m_limits(limits)
{
}

ClaimState ClaimTable::state(TimePoint now, const ClaimKey &key, std::optional<std::uint64_t> bodyHash) const
{
    const auto it = m_claims.find(key);
    if (it == m_claims.end())
        return unknownKeyState(now, key);
    if (bodyHash && *bodyHash != it->second.bodyHash)
        return ClaimState::Conflict;
    return it->second.answer ? ClaimState::Answered : ClaimState::Open;
}

ClaimState ClaimTable::unknownKeyState(TimePoint now, const ClaimKey &key) const
{
    const auto date = dateOf(key);
    const auto fingerprint = fingerprintOf(key);
    if (!date) {
        if (m_undatedFingerprints.contains(fingerprint))
            return ClaimState::Expired;
        if (m_cutoffs.isUndatedLost)
            return ClaimState::MemoryLost;
        const bool isFull =
            m_undatedClaimCount + m_undatedFingerprints.size() >= m_limits.maximumUndatedKeyCount;
        return isFull || size() >= m_limits.maximumKeyCount ? ClaimState::TableFull : ClaimState::Unclaimed;
    }
    const auto span = m_datedFingerprintsBySpan.find(spanEnd(*date));
    if (span != m_datedFingerprintsBySpan.end() && span->second.contains(fingerprint))
        return ClaimState::Expired;
    if (*date < ageCutoff(now))
        return ClaimState::Expired;
    if (*date < m_cutoffs.loss)
        return ClaimState::MemoryLost;
    if (*date > now + m_limits.clockSkew)
        return ClaimState::DatedInFuture;
    return size() >= m_limits.maximumKeyCount ? ClaimState::TableFull : ClaimState::Unclaimed;
}

void ClaimTable::claim(const ClaimKey &key, std::uint64_t bodyHash, JobId job)
{
    const auto [it, isNew] = m_claims.try_emplace(key);
    it->second.job = job;
    it->second.bodyHash = bodyHash;
    if (isNew && !dateOf(key))
        ++m_undatedClaimCount;
}

std::optional<JobId> ClaimTable::findOpenJob(const ClaimKey &key) const
{
    const auto it = m_claims.find(key);
    if (it == m_claims.end() || it->second.answer)
        return std::nullopt;
    return it->second.job;
}

void ClaimTable::addWaiter(const ClaimKey &key, const Waiter &waiter)
{
    const auto it = m_claims.find(key);
    if (it == m_claims.end() || it->second.answer || !m_waiters.emplace(waiter, key).second)
        return;
    it->second.waiters.push_back(waiter);
}

void ClaimTable::removeWaiter(const Waiter &waiter)
{
    const auto it = m_waiters.find(waiter);
    if (it == m_waiters.end())
        return;
    std::erase(m_claims.at(it->second).waiters, waiter);
    m_waiters.erase(it);
}

std::vector<Waiter> ClaimTable::answer(TimePoint now, const ClaimKey &key, const Answer &answer)
{
    const auto it = m_claims.find(key);
    if (it == m_claims.end())
        return {};
    auto &claim = it->second;
    claim.answer = answer;
    claim.answeredAt = now;
    const auto bytes = bytesOf(answer);
    m_expiries.push_back({now + m_limits.retention, key, bytes});
    m_answerBytes += bytes;
    auto waiters = std::exchange(claim.waiters, {});
    for (const auto &waiter : waiters)
        m_waiters.erase(waiter);
    while (m_answerBytes > m_limits.maximumAnswerBytes && m_expiries.size() > 1)
        dropOldestAnswer();
    return waiters;
}

const Answer *ClaimTable::findAnswer(const ClaimKey &key) const
{
    const auto it = m_claims.find(key);
    return it != m_claims.end() && it->second.answer ? &*it->second.answer : nullptr;
}

void ClaimTable::expire(TimePoint now)
{
    m_cutoffs.age = ageCutoff(now);
    while (!m_expiries.empty() && m_expiries.front().deadline <= now)
        dropOldestAnswer();
    while (!m_datedFingerprintsBySpan.empty() && m_datedFingerprintsBySpan.begin()->first <= m_cutoffs.age) {
        m_datedFingerprintCount -= m_datedFingerprintsBySpan.begin()->second.size();
        m_datedFingerprintsBySpan.erase(m_datedFingerprintsBySpan.begin());
    }
}

void ClaimTable::dropOldestAnswer()
{
    const auto expiry = std::move(m_expiries.front());
    m_expiries.pop_front();
    m_answerBytes -= expiry.bytes;
    m_claims.erase(expiry.key);
    const auto date = dateOf(expiry.key);
    if (!date)
        --m_undatedClaimCount;
    ExpiredKeys keys;
    if (date)
        keys.datedBefore = spanEnd(*date);
    keys.fingerprints.push_back(fingerprintOf(expiry.key));
    addExpiredKeys(keys);
}

std::size_t ClaimTable::size() const
{
    return m_claims.size() + m_undatedFingerprints.size() + m_datedFingerprintCount;
}

const ClaimLimits &ClaimTable::limits() const
{
    return m_limits;
}

const ClaimCutoffs &ClaimTable::cutoffs() const
{
    return m_cutoffs;
}

void ClaimTable::advanceCutoffs(const ClaimCutoffs &cutoffs)
{
    m_cutoffs.loss = std::max(m_cutoffs.loss, cutoffs.loss);
    m_cutoffs.age = std::max(m_cutoffs.age, cutoffs.age);
    m_cutoffs.isUndatedLost = m_cutoffs.isUndatedLost || cutoffs.isUndatedLost;
}

std::vector<ExpiredKeys> ClaimTable::expiredKeys() const
{
    std::vector<ExpiredKeys> list;
    if (m_undatedFingerprints.size() > 0)
        list.push_back({std::nullopt, m_undatedFingerprints.all()});
    for (const auto &[datedBefore, fingerprints] : m_datedFingerprintsBySpan)
        list.push_back({datedBefore, fingerprints.all()});
    return list;
}

void ClaimTable::addExpiredKeys(const ExpiredKeys &keys)
{
    if (!keys.datedBefore) {
        for (const auto it : keys.fingerprints)
            m_undatedFingerprints.insert(it);
        return;
    }
    if (*keys.datedBefore <= m_cutoffs.age)
        return;
    auto &span = m_datedFingerprintsBySpan[*keys.datedBefore];
    const auto before = span.size();
    for (const auto it : keys.fingerprints)
        span.insert(it);
    m_datedFingerprintCount += span.size() - before;
}

std::vector<AnsweredClaim> ClaimTable::answeredClaims() const
{
    std::vector<AnsweredClaim> list;
    for (const auto &it : m_expiries) {
        const auto &claim = m_claims.at(it.key);
        list.push_back({it.key, claim.bodyHash, *claim.answer, claim.answeredAt});
    }
    return list;
}

TimePoint ClaimTable::ageCutoff(TimePoint now) const
{
    return std::max(m_cutoffs.age, now - m_limits.keyAge);
}

} // namespace Citronpitch
