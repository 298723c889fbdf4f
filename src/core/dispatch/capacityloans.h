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
 * @brief What this entry VM has lent to, and borrowed from, the others of its failure domain.
 *
 * A loan has a lease at both ends. The borrower stops using it when the lease has ended by its own clock,
 * which is before the lender counts on it again: silence never leads to double use. Used by Dispatcher.
 */
class CapacityLoans
{
public:
    /// Entry VMs of the failure domain that can be asked.
    void setPeers(const std::vector<std::string> &vms);

    /// Capacity of @p upstream that is lent to others.
    Capacity lent(UpstreamIndex upstream) const;
    /// Capacity of @p upstream that is borrowed of others.
    Capacity borrowed(UpstreamIndex upstream) const;

    /// Forgets all loans on an upstream that has a new incarnation.
    void forgetUpstream(UpstreamIndex upstream);

    /// Ends loans whose lease has ended. Returns whether there were any.
    bool expire(TimePoint now);

    /// Lender: notes that @p vm holds @p held, after @p seenGrant. False for a message of an ended
    /// incarnation.
    bool renew(TimePoint now, const std::string &vm, std::uint64_t incarnation, std::uint64_t seenGrant,
               const std::vector<UpstreamCapacity> &held);
    /// Lender: lends @p capacity to @p vm.
    void lend(const std::string &vm, const UpstreamCapacity &capacity);
    /// Lender: all that @p vm may use, and the number of the grant that says so.
    std::vector<UpstreamCapacity> lentTo(const std::string &vm) const;
    std::uint64_t nextGrant(const std::string &vm);

    /// Borrower: takes over a grant. False for one that is out of date.
    bool borrow(TimePoint now, const std::string &vm, std::uint64_t incarnation, const CapacityGrant &grant,
                const std::vector<UpstreamCapacity> &lent);
    /// Borrower: @p vm needs its capacity back.
    void recall(const std::string &vm);

    /// Borrower: part of what was borrowed of an upstream that is in use.
    using InUse = std::function<Capacity(UpstreamIndex upstream)>;

    /// Borrower: stops using the idle part of loans that were recalled. Returns whether there was any.
    bool releaseRecalled(const InUse &inUse);

    /// A message that a borrower has to send.
    struct DueRequest
    {
        std::string vm;
        std::uint64_t seenGrant = 0;
        TimePoint leaseDeadline;
        bool isRequesting = false;
        std::vector<UpstreamCapacity> held;
    };

    /// Borrower: messages due at @p now, when this VM has tasks waiting or has not.
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
        /// When asking again makes sense, and how long it is put off after a grant of nothing.
        TimePoint nextRequestAt;
        Duration requestBackoff{};
        Amounts borrowed;
        /// What the lender was last told, or last said, that is borrowed.
        Amounts reported;
    };

    /// Parts of @p amounts that are in use; @p counted is used by earlier lenders, and grows.
    static Amounts partInUse(const Amounts &amounts, const InUse &inUse, Amounts &counted);

    static bool isDue(TimePoint now, const Lender &lender, bool isRequesting, bool isReturning);

    std::vector<std::string> m_peers;
    std::map<std::string, Borrower, std::less<>> m_borrowers;
    std::map<std::string, Lender, std::less<>> m_lenders;
};

} // namespace Citronpitch
