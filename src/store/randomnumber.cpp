#include "store/randomnumber.h"

#include <random>

namespace Citronpitch {

std::uint64_t randomNonZero()
{
    std::random_device device;
    const auto high = static_cast<std::uint64_t>(device());
    return (high << 32 | device()) | 1;
}

} // namespace Citronpitch
