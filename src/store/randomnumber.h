#pragma once

#include <cstdint>

namespace Citronpitch {

/// Random number from the system, never zero, for identities and seeds.
std::uint64_t randomNonZero();

} // namespace Citronpitch
