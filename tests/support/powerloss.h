#pragma once

#include "citronpitch/nametable.h"

#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace Citronpitch {

/// What a power loss leaves of the writes after the last sync of a file.
enum class PowerLoss {
    /// All are gone, and so are names that were not synced.
    KeepsNothing,
    KeepsAll,
    /// The first is gone, the others are present.
    LosesFirst,
    /// The first lacks its last bytes, the others are present.
    TearsEndOfFirst,
    /// The first lacks its first bytes, the others are present.
    TearsStartOfFirst,
    /// Each write and each name by itself is kept, lost or, for writes, torn.
    Random,
};

inline constexpr std::array powerLossNames{
    EnumName<PowerLoss>{PowerLoss::KeepsNothing, "keepsNothing"},
    EnumName<PowerLoss>{PowerLoss::KeepsAll, "keepsAll"},
    EnumName<PowerLoss>{PowerLoss::LosesFirst, "losesFirst"},
    EnumName<PowerLoss>{PowerLoss::TearsEndOfFirst, "tearsEndOfFirst"},
    EnumName<PowerLoss>{PowerLoss::TearsStartOfFirst, "tearsStartOfFirst"},
    EnumName<PowerLoss>{PowerLoss::Random, "random"},
};

/// One write to a file.
struct DiskWrite
{
    std::uint64_t offset = 0;
    std::string bytes;
};

/// Writes @p bytes at @p offset of @p content, which grows as a file does.
void writeAt(std::string &content, std::uint64_t offset, std::string_view bytes);

/// What @p loss leaves of a file with the content @p synced at its last sync and @p writes after it.
std::string contentAfter(PowerLoss loss, std::string synced, const std::vector<DiskWrite> &writes,
                         std::mt19937_64 &random);

/// Whether @p loss undoes the newest rename that no sync of the folder covers.
bool losesRename(PowerLoss loss, std::mt19937_64 &random);

} // namespace Citronpitch
