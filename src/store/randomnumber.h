#pragma once

#include <cstdint>

namespace Citronpitch {

/// Random number from the system for identities and seeds; always odd, and thus never zero.
std::uint64_t randomNonZero();

} // namespace Citronpitch
