#pragma once

#include <cstdint>

namespace Citronpitch {

/**
 * @brief Limits retries to a fixed share of all starts.
 *
 * Keeps retries from amplifying an overload when many attempts fail.
 */
class RetryBudget
{
public:
    /// Adds the credit of one started task.
    void recordStart();

    /// Takes one retry from the budget. Returns false if the budget is exhausted.
    bool take();

private:
    /// In hundredths of a retry.
    std::uint32_t m_credit = initialCredit;

    static constexpr std::uint32_t initialCredit = 1000;
};

} // namespace Citronpitch
