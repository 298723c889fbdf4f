#pragma once

#include "citronpitch/capacityloan.h"
#include "core/dispatch/capacity.h"
#include "core/dispatch/servicetimemodel.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Citronpitch {

/// Capacity on one upstream.
struct UpstreamCapacity
{
    UpstreamIndex upstream = 0;
    Capacity capacity;
};

/**
 * @brief Keeps the capacity that this entry VM has lent to, and borrowed from, its peers.
 *
 * Both sides of a loan hold a lease. The borrower's lease ends before the lender's, so capacity is never used
 * twice when messages are lost. Each side measures its lease with its own clock.
 */
class CapacityLoans
{
public:
    /// Sets the entry VMs of the failure domain that capacity can be borrowed from.
    void setPeers(const std::vector<std::string> &vms);

    /// Returns the capacity of @p upstream that is lent to peers.
    Capacity lent(UpstreamIndex upstream) const;
    /// Returns the capacity of @p upstream that is borrowed from peers.
    Capacity borrowed(UpstreamIndex upstream) const;

    /// Removes all loans on @p upstream, which has been removed or has a new incarnation.
    void removeUpstream(UpstreamIndex upstream);

    /// Removes the loans whose lease has expired. Returns whether there were any.
    bool expire(TimePoint now);

    /// Lender: renews the lease of @p vm. If @p seenGrant is the last grant, loans that are not in @p held
    /// end; otherwise a grant is still on its way or lost, and all loans stay. Returns false for a message of
    /// an older incarnation.
    bool renew(TimePoint now, const std::string &vm, std::uint64_t incarnation, std::uint64_t seenGrant,
               const std::vector<UpstreamCapacity> &held);
    /// Lender: lends @p capacity to @p vm.
    void lend(const std::string &vm, const UpstreamCapacity &capacity);
    /// Lender: returns all capacity that @p vm may use.
    std::vector<UpstreamCapacity> lentTo(const std::string &vm) const;
    /// Lender: returns the number of the next grant to @p vm.
    std::uint64_t nextGrant(const std::string &vm);

    /// Borrower: applies a grant. Returns false for one that is out of date.
    bool borrow(TimePoint now, const std::string &vm, std::uint64_t incarnation, const CapacityGrant &grant,
                const std::vector<UpstreamCapacity> &lent);
    /// Borrower: marks the loans of @p vm for return.
    void recall(const std::string &vm);

    /// Borrower: returns the borrowed capacity of an upstream that is in use.
    using InUse = std::function<Capacity(UpstreamIndex upstream)>;

    /// Borrower: drops the idle part of recalled loans. Returns whether there was any.
    bool releaseRecalled(const InUse &inUse);

    /// A capacity request that is due.
    struct DueRequest
    {
        std::string vm;
        std::uint64_t seenGrant = 0;
        TimePoint leaseDeadline;
        /// Whether it requests more capacity; otherwise it only renews or returns loans.
        bool isRequesting = false;
        std::vector<UpstreamCapacity> held;
    };

    /// Borrower: returns the requests that are due at @p now, and ends the idle loans that they return.
    /// @p isWaiting tells whether tasks lack capacity.
    std::vector<DueRequest> dueRequests(TimePoint now, bool isWaiting, const InUse &inUse);

private:
    using Amounts = std::map<UpstreamIndex, Capacity>;

    struct Borrower
    {
        std::uint64_t incarnation = 0;
        std::uint64_t lastGrant = 0;
        TimePoint leaseDeadline;
        Amounts lent;
    };

    struct Lender
    {
        std::uint64_t incarnation = 0;
        std::uint64_t seenGrant = 0;
        TimePoint leaseDeadline;
        bool isRecalled = false;
        bool isGrantPending = false;
        TimePoint requestedAt;
        /// Earliest time of the next request for more capacity, and its backoff after grants without any.
        TimePoint nextRequestAt;
        Duration requestBackoff{};
        Amounts borrowed;
        /// Borrowed capacity according to the last request or grant.
        Amounts reported;
    };

    /// Returns the parts of @p amounts that are in use. @p counted is the use attributed to other lenders
    /// already; the parts are added to it.
    static Amounts partInUse(const Amounts &amounts, const InUse &inUse, Amounts &counted);

    /// Whether a request to @p lender is due: for more capacity, to return loans or to renew them.
    static bool isDue(TimePoint now, const Lender &lender, bool isRequesting, bool isReturning);

    std::vector<std::string> m_peers;
    std::map<std::string, Borrower, std::less<>> m_borrowers;
    std::map<std::string, Lender, std::less<>> m_lenders;
};

} // namespace Citronpitch
