#pragma once

#include <string>

namespace Citronpitch {

/// Error object for Boost.LEAF: the step that failed, the peer, file or key concerned, and the cause.
struct StepError
{
    std::string step;
    std::string peer;
    std::string detail;

    /// Returns the error as one human-readable line.
    std::string text() const
    {
        return peer.empty() ? step + ": " + detail : step + ": " + peer + ": " + detail;
    }
};

} // namespace Citronpitch
