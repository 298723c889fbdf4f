#pragma once

#include "citronpitch/action.h"
#include "citronpitch/job.h"

#include <cstdint>
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

    bool operator==(const Waiter &) const = default;
};

/// What the claim book knows of a key.
enum class ClaimState {
    /// Never seen; it may be claimed.
    Free,
    /// Claimed, and not answered yet.
    Open,
    Answered,
    /// Claimed with another body.
    Conflict,
    /// Whether it was claimed can no longer be said; it never runs again.
    Unknown,
};

/**
 * @brief The idempotency keys of which this entry VM is home.
 *
 * A key is claimed once, before the first start of its job, and keeps its answer for the retention time. Used
 * by EntryVm, which carries out the journal records.
 */
class ClaimBook
{
public:
    explicit ClaimBook(Duration retention);

    /// State of @p key of @p team for a request with @p bodyHash; nothing as hash asks without comparing.
    ClaimState state(const std::string &team, const std::string &key,
                     std::optional<std::uint64_t> bodyHash) const;

    /// Claims a free key for @p job.
    void claim(TimePoint now, const std::string &team, const std::string &key, std::uint64_t bodyHash,
               JobId job);

    /// Job that holds an open key.
    std::optional<JobId> findJob(const std::string &team, const std::string &key) const;

    /// Adds @p waiter to an open key; the same waiter is added once.
    void join(const std::string &team, const std::string &key, const Waiter &waiter);

    /// Forgets a waiter whose connection is gone.
    void leave(const Waiter &waiter);

    /// Stores the final answer of an open key and returns who waits for it.
    std::vector<Waiter> answer(TimePoint now, const std::string &team, const std::string &key, Answer answer);

    /// Answer of an answered key, or null.
    const Answer *findAnswer(const std::string &team, const std::string &key) const;

    /// Drops answers that are past the retention time; their keys stay known.
    void expire(TimePoint now);

    /// Number of keys held.
    std::size_t size() const;

private:
    struct ClaimKey
    {
        std::string team;
        std::string key;
        auto operator<=>(const ClaimKey &) const = default;
    };

    struct Claim
    {
        JobId job = 0;
        std::uint64_t bodyHash = 0;
        std::optional<Answer> answer;
        bool isExpired = false;
        std::vector<Waiter> waiters;
    };

    struct Expiry
    {
        TimePoint deadline;
        ClaimKey key;
    };

    Claim *find(const std::string &team, const std::string &key);
    const Claim *find(const std::string &team, const std::string &key) const;

    Duration m_retention;
    std::map<ClaimKey, Claim> m_claims;
    std::vector<Expiry> m_expiries;
    std::size_t m_firstExpiry = 0;
};

} // namespace Citronpitch
