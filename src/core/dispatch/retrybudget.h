#pragma once

#include <cstdint>

namespace Citronpitch {

/**
 * @brief Limits how many attempts may be repeated: a fixed share of all starts.
 *
 * When much fails, retries stop growing with the failures, so that they never make an overload worse. Used by
 * Dispatcher.
 */
class RetryBudget
{
public:
    /// A task was started.
    void recordStart();

    /// Takes one retry from the budget; false when there is none left.
    bool take();

private:
    /// In hundredths of a retry.
    std::uint32_t m_credit = initialCredit;

    static constexpr std::uint32_t initialCredit = 1000;
};

} // namespace Citronpitch
