#include "core/dispatch/retrybudget.h"

#include <algorithm>

namespace Citronpitch {

namespace {

/// Credit in hundredths of a retry: earned by one start, spent by one retry, and its maximum.
constexpr std::uint32_t creditPerStart = 5;
constexpr std::uint32_t creditPerRetry = 100;
constexpr std::uint32_t maximumCredit = 5000;

} // namespace

void RetryBudget::recordStart()
{
    m_credit = std::min(m_credit + creditPerStart, maximumCredit);
}

bool RetryBudget::take()
{
    if (m_credit < creditPerRetry)
        return false;
    m_credit -= creditPerRetry;
    return true;
}

} // namespace Citronpitch
