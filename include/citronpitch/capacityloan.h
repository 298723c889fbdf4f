#pragma once

#include "citronpitch/resources.h"
#include "citronpitch/timepoint.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Citronpitch {

/// Capacity of one upstream that an entry VM has lent to another of its failure domain.
struct LoanedCapacity
{
    std::string upstream;
    std::uint64_t incarnation = 0;
    std::uint32_t slots = 0;
    Resources resources;

    bool operator==(const LoanedCapacity &) const = default;
};

/// Requests idle capacity from another entry VM, renews loans, and returns all that is not in @ref held.
struct CapacityRequest
{
    /// When the sender stops using the loans unless they are renewed, by its own clock; echoed in the grant.
    TimePoint leaseDeadline;
    /// Number of the last grant that the sender has received.
    std::uint64_t seenGrant = 0;
    /// Number of tasks queued at the sender, at most maximumTasksPerJob; zero if it requests no more
    /// capacity.
    std::uint32_t tasks = 0;
    /// Need of the most urgent task for which the sender has no capacity.
    Resources need;
    /// Capacity of the lender that the sender keeps using; it has stopped using any other.
    std::vector<LoanedCapacity> held;
};

/// A request and the entry VM that it is to be sent to.
struct OutgoingCapacityRequest
{
    std::string vm;
    CapacityRequest request;
};

/// Answer to a CapacityRequest.
struct CapacityGrant
{
    /// Increases with each grant of one incarnation of the lender to the borrower, so that an older grant
    /// that arrives late is ignored.
    std::uint64_t number = 0;
    /// CapacityRequest::leaseDeadline of the request that is answered.
    TimePoint leaseDeadline;
    /// The lender has queued work of its own: the borrower returns loans as soon as they are idle.
    bool isRecalled = false;
    /// All capacity that the borrower may use, including earlier loans.
    std::vector<LoanedCapacity> lent;
};

} // namespace Citronpitch
