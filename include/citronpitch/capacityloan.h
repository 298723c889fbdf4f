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

/// Asks another entry VM for capacity that it leaves idle, renews what it lent, and gives back the rest.
struct CapacityRequest
{
    /// Until when the sender will use the loans, by its own clock; the grant repeats it.
    TimePoint leaseDeadline;
    /// Number of the last grant that the sender has seen.
    std::uint64_t seenGrant = 0;
    /// Waiting tasks for which the sender has no room, and what the first of them needs.
    std::uint32_t tasks = 0;
    Resources need;
    /// What the sender keeps of the lender's capacity; it no longer uses anything else of it.
    std::vector<LoanedCapacity> held;
};

/// A request and the entry VM that it goes to.
struct OutgoingCapacityRequest
{
    std::string vm;
    CapacityRequest request;
};

/// Answer to a CapacityRequest.
struct CapacityGrant
{
    /// Grows with each grant between two incarnations of entry VMs.
    std::uint64_t number = 0;
    TimePoint leaseDeadline;
    /// The lender has work of its own waiting: the borrower gives back what it can.
    bool isRecalled = false;
    /// All that the borrower may use, what it had before included.
    std::vector<LoanedCapacity> lent;
};

} // namespace Citronpitch
