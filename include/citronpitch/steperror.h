#pragma once

#include <string>

namespace Citronpitch {

/// An error with the step at which it arose and the peer, file or key it concerns. Carried through
/// Boost.LEAF.
struct StepError
{
    std::string step;
    std::string peer;
    std::string detail;

    /// The error as one line for a person.
    std::string text() const
    {
        return peer.empty() ? step + ": " + detail : step + ": " + peer + ": " + detail;
    }
};

} // namespace Citronpitch
