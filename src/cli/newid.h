#pragma once

#include <string>

namespace Citronpitch {

/// A new UUIDv7, for a key or a change id that nobody gave.
std::string newId();

} // namespace Citronpitch
