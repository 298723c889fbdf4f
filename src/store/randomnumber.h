#pragma once

#include <cstdint>

namespace Citronpitch {

/// A random number above zero, for identities and seeds.
std::uint64_t randomNonZero();

} // namespace Citronpitch
