#pragma once

#include "core/dispatch/servicetimemodel.h"

#include <cstdint>
#include <vector>

namespace Citronpitch {

/**
 * @brief Measures how much work of each class arrives and is accepted, and decides which classes go first
 * under contention.
 *
 * A class yields to the classes of higher priority, except that a class whose accepted share of the offered
 * work is below half of that of the others goes first. Used by Dispatcher.
 */
class ClassShares
{
public:
    /// Sets the priority of a class; zero is the highest.
    void setPriority(ClassIndex classIndex, std::uint32_t priority);

    /// Records a job of a class with the expected run time @p work.
    void offered(TimePoint now, ClassIndex classIndex, Duration work);
    /// Records that the last offered job was accepted.
    void accepted(TimePoint now, ClassIndex classIndex, Duration work);

    /// Returns the run time that has to be left to the classes that go before @p classIndex, as a number of
    /// slots.
    double slotsAhead(TimePoint now, ClassIndex classIndex) const;

    /// Whether @p left yields to @p right.
    bool yields(ClassIndex left, ClassIndex right) const;

private:
    struct Entry
    {
        std::uint32_t priority = 0;
        /// Sums in microseconds, which decay with the time constant.
        double offered = 0;
        double accepted = 0;
        TimePoint updatedAt;
        /// Its accepted share is below half of that of the others.
        bool isDeprived = false;
    };

    Entry &decayed(TimePoint now, ClassIndex classIndex);
    void updateDeprived(TimePoint now);

    /// Whether the classes differ in priority; otherwise none goes first.
    bool m_hasPriorities = false;
    std::vector<Entry> m_entries;
    TimePoint m_deprivedUpdatedAt;
};

} // namespace Citronpitch
