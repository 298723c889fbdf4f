#pragma once

#include <cstddef>
#include <sys/types.h>

namespace Citronpitch {

/// Highest resident memory of a process so far, in bytes; zero when it has ended.
std::size_t peakResidentBytes(pid_t process);

/// Number of open descriptors of a process; zero when it has ended.
std::size_t openDescriptors(pid_t process);

} // namespace Citronpitch
