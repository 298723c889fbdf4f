#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace Citronpitch {

/// What one run of a model saw.
struct FuzzReport
{
    bool hasPassed = false;
    /// On success the counts, on failure the breach and the shrunk trace.
    std::string text;
};

/// One system that the fuzzer can drive.
struct FuzzModel
{
    std::string_view name;
    /// Runs about @p steps commands drawn from @p seed.
    std::function<FuzzReport(std::uint64_t seed, std::uint64_t steps)> run;
};

} // namespace Citronpitch
