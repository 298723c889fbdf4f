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

/// Identifies a job; unique within an incarnation of its home VM.
using JobId = std::uint64_t;

/// Recipient of an answer: a caller of this VM, or another entry VM that forwarded the request.
struct Waiter
{
    /// Empty for a caller connected to this VM.
    std::string vm;
    /// Incarnation of @ref vm that forwarded the request; zero for a caller connected to this VM.
    std::uint64_t incarnation = 0;
    /// CallerId on this VM, or the request number that @ref vm assigned when forwarding.
    std::uint64_t request = 0;

    auto operator<=>(const Waiter &) const = default;
};

/// An idempotency key, qualified by the team in whose namespace it is unique.
struct ClaimKey
{
    std::string team;
    std::string key;

    auto operator<=>(const ClaimKey &) const = default;
};

/// State of an idempotency key in the claim table.
enum class ClaimState {
    /// Not claimed; a submission may claim it.
    Unclaimed,
    /// Claimed; the job is not answered yet.
    Open,
    Answered,
    /// Claimed by a submission with a different request body.
    Conflict,
    /// The answer is no longer retained, or the key is older than the key age; the job never runs again.
    Expired,
    /// The key may have been claimed in a previous incarnation whose records are lost; the job never runs
    /// again.
    MemoryLost,
    /// Not claimed, and the table has no capacity for another key.
    TableFull,
    /// Not claimed, and dated further in the future than the clock skew permits.
    DatedInFuture,
};

/// Limits on the retention of keys and answers.
struct ClaimLimits
{
    /// Time for which answers are retained.
    Duration retention = std::chrono::hours(1);
    /// Maximum age of a dated key that is not in the table; older ones are never started.
    Duration keyAge = std::chrono::hours(1);
    /// Maximum difference between two clocks of the deployment, and maximum amount by which a clock is set
    /// back.
    Duration clockSkew = std::chrono::seconds(2);
    /// Maximum number of keys without a date, including answered and expired ones.
    std::size_t maximumUndatedKeyCount = 1'000'000;
    /// Maximum number of keys, including answered and expired ones.
    std::size_t maximumKeyCount = 8'000'000;
    /// Maximum total size of retained answers in bytes; beyond it the oldest are dropped early.
    /// The newest answer is never dropped because of its size.
    std::size_t maximumAnswerBytes = std::size_t{256} << 20;
};

/// Dates before which a key that is not in the table may already have been claimed.
struct ClaimCutoffs
{
    /// Keys with an earlier date may have been claimed in a previous incarnation whose records are lost.
    TimePoint loss;
    /// Keys with an earlier date may have been removed from the table because of their age.
    TimePoint age;
    /// Whether keys without a date may have been claimed in a previous incarnation whose records are lost.
    bool isUndatedLost = false;
};

/// Fingerprints of a group of keys whose answers are no longer retained.
struct ExpiredKeys
{
    /// Exclusive upper bound on the dates of the keys; std::nullopt for keys without a date.
    std::optional<TimePoint> datedBefore;
    std::vector<std::uint64_t> fingerprints;
};

/// An answered key in a journal snapshot.
struct AnsweredClaim
{
    ClaimKey key;
    std::uint64_t bodyHash = 0;
    Answer answer;
    TimePoint answeredAt;
};

/**
 * @brief Table of the idempotency keys for which this entry VM is the home VM.
 *
 * A key is claimed once, before the first start of its job, and its answer is retained for the retention
 * time. Afterwards only a fingerprint is kept: for a dated key until it is older than the key age, for any
 * other key indefinitely. EntryVm writes the corresponding journal records.
 */
class ClaimTable
{
public:
    explicit ClaimTable(const ClaimLimits &limits);

    /// Returns the state of @p key; if @p bodyHash is given, a claimed key with another hash is a conflict.
    ClaimState state(TimePoint now, const ClaimKey &key, std::optional<std::uint64_t> bodyHash) const;

    /// Claims an unclaimed key for @p job.
    void claim(const ClaimKey &key, std::uint64_t bodyHash, JobId job);

    /// Returns the job of an open key, or std::nullopt if the key is not open.
    std::optional<JobId> findOpenJob(const ClaimKey &key) const;

    /// Registers @p waiter for the answer of @p key; does nothing if the key is not open or the waiter is
    /// registered already.
    void addWaiter(const ClaimKey &key, const Waiter &waiter);

    /// Removes a waiter, for example after its connection was closed; ignores unknown ones.
    void removeWaiter(const Waiter &waiter);

    /// Stores the final answer of an open key and returns the waiters to notify; ignores unknown keys.
    std::vector<Waiter> answer(TimePoint now, const ClaimKey &key, const Answer &answer);

    /// Returns the answer of an answered key, or null.
    const Answer *findAnswer(const ClaimKey &key) const;

    /// Drops answers past the retention time and fingerprints of dated keys past the key age.
    void expire(TimePoint now);

    /// Returns the number of keys in the table, including fingerprints.
    std::size_t size() const;

    const ClaimLimits &limits() const;
    const ClaimCutoffs &cutoffs() const;

    /// Advances each cutoff to at least the one in @p cutoffs; cutoffs are never lowered.
    void advanceCutoffs(const ClaimCutoffs &cutoffs);

    /// Returns the fingerprints of expired keys, for a snapshot.
    std::vector<ExpiredKeys> expiredKeys() const;

    /// Adds fingerprints from a snapshot; ignores groups below the age cutoff.
    void addExpiredKeys(const ExpiredKeys &keys);

    /// Returns the answered keys in the order in which they were answered, for a snapshot.
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
    TimePoint ageCutoff(TimePoint now) const;
    void dropOldestAnswer();

    ClaimLimits m_limits;
    ClaimCutoffs m_cutoffs;
    std::map<ClaimKey, Claim> m_claims;
    std::map<Waiter, ClaimKey> m_waiters;
    std::deque<Expiry> m_expiries;
    std::size_t m_answerBytes = 0;
    std::size_t m_undatedClaimCount = 0;
    FingerprintSet m_undatedFingerprints;
    /// Fingerprints of dated keys, grouped by the exclusive end of the time span that contains the date.
    std::map<TimePoint, FingerprintSet> m_datedFingerprintsBySpan;
    std::size_t m_datedFingerprintCount = 0;
};

} // namespace Citronpitch
