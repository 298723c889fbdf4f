#include "core/dispatch/capacityloans.h"

#include <algorithm>

namespace Citronpitch {

namespace {

/// Duration of a loan that is not renewed.
constexpr Duration loanLease = std::chrono::seconds(1);
/// Remaining time of the lease at which a loan is renewed.
constexpr Duration renewalMargin = std::chrono::milliseconds(600);
/// How much longer the lender's lease is than the borrower's.
constexpr Duration lenderGracePeriod = std::chrono::milliseconds(100);

/// Time after which a grant that was not received counts as lost.
constexpr Duration grantTimeout = std::chrono::milliseconds(100);
/// Delay before idle loans are returned.
constexpr Duration idleReturnDelay = std::chrono::milliseconds(20);

/// Bounds of the backoff after a grant without additional capacity; doubled each time.
constexpr Duration minimumRequestBackoff = std::chrono::milliseconds(5);
constexpr Duration maximumRequestBackoff = std::chrono::milliseconds(160);

Capacity amountOf(const std::map<UpstreamIndex, Capacity> &amounts, UpstreamIndex upstream)
{
    const auto it = amounts.find(upstream);
    return it == amounts.end() ? Capacity() : it->second;
}

} // namespace

void CapacityLoans::setPeers(const std::vector<std::string> &vms)
{
    m_peers = vms;
}

Capacity CapacityLoans::lent(UpstreamIndex upstream) const
{
    Capacity sum;
    for (const auto &[vm, borrower] : m_borrowers)
        sum += amountOf(borrower.lent, upstream);
    return sum;
}

Capacity CapacityLoans::borrowed(UpstreamIndex upstream) const
{
    Capacity sum;
    for (const auto &[vm, lender] : m_lenders)
        sum += amountOf(lender.borrowed, upstream);
    return sum;
}

void CapacityLoans::removeUpstream(UpstreamIndex upstream)
{
    for (auto &[vm, borrower] : m_borrowers)
        borrower.lent.erase(upstream);
    for (auto &[vm, lender] : m_lenders)
        lender.borrowed.erase(upstream);
}

bool CapacityLoans::expire(TimePoint now)
{
    bool hasExpired = false;
    for (auto &[vm, borrower] : m_borrowers) {
        if (borrower.lent.empty() || borrower.leaseDeadline > now)
            continue;
        borrower.lent.clear();
        hasExpired = true;
    }
    for (auto &[vm, lender] : m_lenders) {
        if (lender.borrowed.empty() || lender.leaseDeadline > now)
            continue;
        lender.borrowed.clear();
        lender.reported.clear();
        lender.isRecalled = false;
        hasExpired = true;
    }
    return hasExpired;
}

bool CapacityLoans::renew(TimePoint now, const std::string &vm, std::uint64_t incarnation,
                          std::uint64_t seenGrant, const std::vector<UpstreamCapacity> &held)
{
    auto &borrower = m_borrowers[vm];
    if (incarnation < borrower.incarnation)
        return false;
    if (incarnation > borrower.incarnation)
        borrower = {incarnation, borrower.lastGrant, {}, {}};
    borrower.leaseDeadline = now + loanLease + lenderGracePeriod;
    if (seenGrant != borrower.lastGrant)
        return true;
    Amounts kept;
    for (const auto &it : held) {
        const auto amount = elementwiseMinimum(amountOf(borrower.lent, it.upstream), it.capacity);
        if (!amount.isEmpty())
            kept.emplace(it.upstream, amount);
    }
    borrower.lent = std::move(kept);
    return true;
}

void CapacityLoans::lend(const std::string &vm, const UpstreamCapacity &capacity)
{
    m_borrowers[vm].lent[capacity.upstream] += capacity.capacity;
}

std::vector<UpstreamCapacity> CapacityLoans::lentTo(const std::string &vm) const
{
    std::vector<UpstreamCapacity> list;
    const auto it = m_borrowers.find(vm);
    if (it == m_borrowers.end())
        return list;
    for (const auto &[upstream, capacity] : it->second.lent)
        list.push_back({upstream, capacity});
    return list;
}

std::uint64_t CapacityLoans::nextGrant(const std::string &vm)
{
    return ++m_borrowers[vm].lastGrant;
}

bool CapacityLoans::borrow(TimePoint now, const std::string &vm, std::uint64_t incarnation,
                           const CapacityGrant &grant, const std::vector<UpstreamCapacity> &lent)
{
    auto &lender = m_lenders[vm];
    if (incarnation < lender.incarnation
        || (incarnation == lender.incarnation && grant.number <= lender.seenGrant))
        return false;
    const auto before = std::move(lender.borrowed);
    lender.incarnation = incarnation;
    lender.seenGrant = grant.number;
    lender.leaseDeadline = std::min(grant.leaseDeadline, now + loanLease);
    lender.isRecalled = grant.isRecalled && !lent.empty();
    lender.isGrantPending = false;
    lender.borrowed.clear();
    for (const auto &it : lent)
        lender.borrowed[it.upstream] += it.capacity;
    lender.reported = lender.borrowed;
    const bool hasGained = lender.borrowed != before;
    lender.requestBackoff = hasGained
        ? Duration()
        : std::clamp(lender.requestBackoff * 2, minimumRequestBackoff, maximumRequestBackoff);
    lender.nextRequestAt = now + lender.requestBackoff;
    return true;
}

void CapacityLoans::recall(const std::string &vm)
{
    const auto it = m_lenders.find(vm);
    if (it != m_lenders.end() && !it->second.borrowed.empty())
        it->second.isRecalled = true;
}

bool CapacityLoans::releaseRecalled(const InUse &inUse)
{
    bool hasReleased = false;
    Amounts counted;
    for (auto &[vm, lender] : m_lenders) {
        if (!lender.isRecalled || lender.borrowed.empty())
            continue;
        auto kept = partInUse(lender.borrowed, inUse, counted);
        hasReleased = hasReleased || kept != lender.borrowed;
        lender.borrowed = std::move(kept);
    }
    return hasReleased;
}

CapacityLoans::Amounts CapacityLoans::partInUse(const Amounts &amounts, const InUse &inUse, Amounts &counted)
{
    Amounts parts;
    for (const auto &[upstream, amount] : amounts) {
        auto used = inUse(upstream);
        used -= counted[upstream];
        const auto part = elementwiseMinimum(amount, used);
        counted[upstream] += part;
        if (!part.isEmpty())
            parts.emplace(upstream, part);
    }
    return parts;
}

std::vector<CapacityLoans::DueRequest> CapacityLoans::dueRequests(TimePoint now, bool isWaiting,
                                                                  const InUse &inUse)
{
    std::vector<DueRequest> due;
    Amounts counted;
    for (const auto &vm : m_peers) {
        auto &lender = m_lenders[vm];
        const bool isRequesting = isWaiting && !lender.isRecalled;
        Amounts kept = isRequesting ? lender.borrowed : partInUse(lender.borrowed, inUse, counted);
        const bool isReturning = kept != lender.reported;
        if (!isDue(now, lender, isRequesting, isReturning))
            continue;
        lender.borrowed = std::move(kept);
        lender.reported = lender.borrowed;
        lender.requestedAt = now;
        lender.isGrantPending = true;
        lender.isRecalled = lender.isRecalled && !lender.borrowed.empty();
        DueRequest request{vm, lender.seenGrant, now + loanLease, isRequesting, {}};
        for (const auto &[upstream, capacity] : lender.borrowed)
            request.held.push_back({upstream, capacity});
        due.push_back(std::move(request));
    }
    return due;
}

bool CapacityLoans::isDue(TimePoint now, const Lender &lender, bool isRequesting, bool isReturning)
{
    if (lender.isGrantPending && now < lender.requestedAt + grantTimeout)
        return false;
    if (isRequesting && now >= lender.nextRequestAt)
        return true;
    if (isReturning && (lender.isRecalled || now >= lender.requestedAt + idleReturnDelay))
        return true;
    return !lender.reported.empty() && now + renewalMargin >= lender.leaseDeadline;
}

} // namespace Citronpitch
