#pragma once

#include "citronpitch/action.h"
#include "citronpitch/fingerprintset.h"
#include "citronpitch/job.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Citronpitch {

/// Number of a job within one incarnation of its home.
using JobId = std::uint64_t;

/// Who waits for an answer: a caller of this VM, or another entry VM that forwarded the request.
struct Waiter
{
    /// Empty for a caller connected to this VM.
    std::string vm;
    /// Incarnation of @ref vm that forwarded the request; zero for a caller of this VM.
    std::uint64_t incarnation = 0;
    /// CallerId here, or the number that @ref vm gave to the forwarded request.
    std::uint64_t request = 0;

    auto operator<=>(const Waiter &) const = default;
};

/// An idempotency key together with the team that scopes it.
struct ClaimKey
{
    std::string team;
    std::string key;

    auto operator<=>(const ClaimKey &) const = default;
};

/// What the claim book knows of a key.
enum class ClaimState {
    /// Never claimed; it may be claimed now.
    Unclaimed,
    /// Claimed, and not answered yet.
    Open,
    Answered,
    /// Claimed with another body.
    Conflict,
    /// Its answer is no longer kept, or it is too old to tell; it never runs again.
    Expired,
    /// It may have been claimed in an earlier life whose records are lost; it never runs again.
    MemoryLost,
    /// Never claimed, and there is no room to remember it.
    TableFull,
    /// Never claimed, and dated further ahead than clocks may differ.
    DatedInFuture,
};

/// What bounds the memory of keys and answers.
struct ClaimLimits
{
    /// How long answers are kept.
    Duration retention = std::chrono::hours(1);
    /// A key that carries an older date and is not known is never started.
    Duration keyAge = std::chrono::hours(1);
    /// Most by which two clocks of the deployment differ, and by which one is ever set back.
    Duration clockSkew = std::chrono::seconds(2);
    /// Keys without a date that are remembered in all, answered ones included.
    std::size_t maximumUndatedKeyCount = 1'000'000;
    /// Keys that are remembered in all.
    std::size_t maximumKeyCount = 8'000'000;
    /// Bytes of kept answers, beyond which the oldest are dropped before their time.
    std::size_t maximumAnswerBytes = std::size_t{256} << 20;
};

/// Dates below which a key that is not known may have been claimed.
struct ClaimFloors
{
    /// Keys dated before it may have been claimed in an earlier life whose records are lost.
    TimePoint loss;
    /// Keys dated before it may have been forgotten.
    TimePoint age;
    /// Whether any key without a date may have been claimed in an earlier life.
    bool isUndatedLost = false;
};

/// Fingerprints of keys whose answers are no longer kept.
struct ExpiredKeys
{
    /// Every key of the group is dated before it; nothing for keys without a date.
    std::optional<TimePoint> datedBefore;
    std::vector<std::uint64_t> fingerprints;
};

/// One answered key as a snapshot holds it.
struct AnsweredClaim
{
    ClaimKey key;
    std::uint64_t bodyHash = 0;
    Answer answer;
    TimePoint answeredAt;
};

/**
 * @brief The idempotency keys of which this entry VM is home.
 *
 * A key is claimed once, before the first start of its job, and keeps its answer for the retention time.
 * After that only a fingerprint is kept: of a key with a date until the date is older than the key age, of
 * any other for good. Used by EntryVm, which carries out the journal records.
 */
class ClaimTable
{
public:
    explicit ClaimTable(const ClaimLimits &limits);

    /// State of @p key for a request with @p bodyHash; nothing as hash asks without comparing.
    ClaimState state(TimePoint now, const ClaimKey &key, std::optional<std::uint64_t> bodyHash) const;

    /// Claims a free key for @p job.
    void claim(const ClaimKey &key, std::uint64_t bodyHash, JobId job);

    /// Job that holds an open key.
    std::optional<JobId> findOpenJob(const ClaimKey &key) const;

    /// Adds @p waiter to an open key; the same waiter is added once.
    void addWaiter(const ClaimKey &key, const Waiter &waiter);

    /// Forgets a waiter whose connection is gone.
    void removeWaiter(const Waiter &waiter);

    /// Stores the final answer of an open key and returns who waits for it.
    std::vector<Waiter> answer(TimePoint now, const ClaimKey &key, const Answer &answer);

    /// Answer of an answered key, or null.
    const Answer *findAnswer(const ClaimKey &key) const;

    /// Drops answers that are past the retention time, and keys that are too old to be accepted again.
    void expire(TimePoint now);

    /// Number of keys held, fingerprints included.
    std::size_t size() const;

    const ClaimLimits &limits() const;
    const ClaimFloors &floors() const;

    /// Raises the floors to at least @p floors.
    void raiseFloors(const ClaimFloors &floors);

    /// Fingerprints of the expired keys, for a snapshot.
    std::vector<ExpiredKeys> expiredKeys() const;

    /// Takes over fingerprints from a snapshot.
    void addExpiredKeys(const ExpiredKeys &keys);

    /// Answered keys, for a snapshot.
    std::vector<AnsweredClaim> answeredClaims() const;

private:
    struct Claim
    {
        JobId job = 0;
        std::uint64_t bodyHash = 0;
        std::optional<Answer> answer;
        TimePoint answeredAt;
        std::vector<Waiter> waiters;
    };

    struct Expiry
    {
        TimePoint deadline;
        ClaimKey key;
        std::size_t bytes = 0;
    };

    ClaimState unknownKeyState(TimePoint now, const ClaimKey &key) const;
    TimePoint ageFloor(TimePoint now) const;
    void dropOldestAnswer();

    ClaimLimits m_limits;
    ClaimFloors m_floors;
    std::map<ClaimKey, Claim> m_claims;
    std::map<Waiter, ClaimKey> m_waiters;
    std::deque<Expiry> m_expiries;
    std::size_t m_answerBytes = 0;
    std::size_t m_undatedClaimCount = 0;
    FingerprintSet m_undatedFingerprints;
    /// Fingerprints of dated keys, by the end of the span in which they are dated.
    std::map<TimePoint, FingerprintSet> m_datedFingerprintsBySpan;
    std::size_t m_datedFingerprintCount = 0;
};

} // namespace Citronpitch
