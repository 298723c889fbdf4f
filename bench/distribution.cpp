#include "distribution.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <algorithm>
#include <cmath>

namespace Citronpitch {

namespace accumulators = boost::accumulators;

void Distribution::add(double value)
{
    m_values.push_back(value);
}

std::size_t Distribution::count() const
{
    return m_values.size();
}

double Distribution::mean() const
{
    accumulators::accumulator_set<double, accumulators::stats<accumulators::tag::mean>> set;
    for (const auto it : m_values)
        set(it);
    return m_values.empty() ? 0 : accumulators::mean(set);
}

double Distribution::percentile(double share) const
{
    if (m_values.empty())
        return 0;
    auto sorted = m_values;
    const auto rank = std::ceil(share * static_cast<double>(sorted.size()));
    const auto index = static_cast<std::size_t>(std::max(rank, 1.0)) - 1;
    const auto nth = sorted.begin() + static_cast<std::ptrdiff_t>(std::min(index, sorted.size() - 1));
    std::nth_element(sorted.begin(), nth, sorted.end());
    return *nth;
}

double Distribution::shareUpTo(double limit) const
{
    if (m_values.empty())
        return 0;
    const auto n = std::count_if(m_values.begin(), m_values.end(), [&](double it) { return it <= limit; });
    return static_cast<double>(n) / static_cast<double>(m_values.size());
}

} // namespace Citronpitch
