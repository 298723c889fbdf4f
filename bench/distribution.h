#pragma once

#include <cstddef>
#include <vector>

namespace Citronpitch {

/**
 * @brief Samples of one measured quantity; gives mean and percentiles. Used by every experiment.
 */
class Distribution
{
public:
    void add(double value);

    std::size_t count() const;

    /// Mean of the samples; zero where there are none.
    double mean() const;

    /// Value below which the share @p share (0 to 1) of the samples lies, by nearest rank; zero where there
    /// are none.
    double percentile(double share) const;

    /// Share of the samples that are at most @p limit; zero where there are none.
    double shareUpTo(double limit) const;

private:
    std::vector<double> m_values;
};

} // namespace Citronpitch
