#pragma once

#include "citronpitch/timepoint.h"

#include <optional>

namespace Citronpitch {

/**
 * @brief Estimates how long the messages of one peer were on their way, although the clocks differ.
 *
 * Compares the difference between the two clocks with its minimum of the last minutes, so the usual delay
 * counts as zero. Messages that wait in a queue of the sender, the network or the receiver show as delayed.
 * Does no I/O and reads no clock. Used by PeerDirectory.
 */
class MessageDelay
{
public:
    /// Returns by how much the message, which was sent at @p sentAt by the peer's clock and is handled at
    /// @p now, took longer than the fastest one.
    Duration record(TimePoint now, TimePoint sentAt);

private:
    std::optional<Duration> m_fastest;
    std::optional<Duration> m_fastestBefore;
    TimePoint m_windowStart;
};

} // namespace Citronpitch
