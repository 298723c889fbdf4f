#include "cli/newid.h"

#include "citronpitch/idempotencykey.h"

#include <random>

namespace Citronpitch {

std::string newId()
{
    std::random_device random;
    const auto high = (std::uint64_t{random()} << 32) | random();
    const auto low = (std::uint64_t{random()} << 32) | random();
    const auto now = std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now());
    return issueIdempotencyKey("", now, high, low).substr(1);
}

} // namespace Citronpitch
