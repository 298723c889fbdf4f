#pragma once

#include "citronpitch/timepoint.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace Citronpitch {

/// One step of a graceful shutdown.
struct ShutdownStep
{
    std::function<bool()> isDone;
    /// Called once when the step is done; may be empty.
    std::function<void()> onDone;
};

/**
 * @brief Runs the steps of a graceful shutdown in order, and stops the event loop after the last one or at
 * the deadline. Used by FleetEntry and FleetControl.
 */
class ShutdownSequence
{
public:
    /// @p vm is the name in log lines, @p now its clock.
    ShutdownSequence(boost::asio::io_context &io, std::string vm, std::function<TimePoint()> now);

    /// Starts with the first of @p steps. The event loop stops at @p deadline at the latest.
    void begin(std::vector<ShutdownStep> steps, TimePoint deadline);

    bool hasBegun() const;

private:
    void schedule();
    void checkStep();

    boost::asio::io_context &m_io;
    std::string m_vm;
    std::function<TimePoint()> m_now;
    boost::asio::steady_timer m_timer;
    std::vector<ShutdownStep> m_steps;
    std::size_t m_current = 0;
    TimePoint m_deadline;
    bool m_hasBegun = false;
};

} // namespace Citronpitch
