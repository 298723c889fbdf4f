#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace Citronpitch {

/// Result of a run of a model.
struct FuzzReport
{
    bool hasPassed = false;
    /// Counters on success; on failure the violated invariant and the minimized command sequence.
    std::string text;
};

/// System under test that the fuzzer can run.
struct FuzzModel
{
    std::string_view name;
    /// Runs about @p steps random commands generated from @p seed.
    std::function<FuzzReport(std::uint64_t seed, std::uint64_t steps)> run;
};

} // namespace Citronpitch
