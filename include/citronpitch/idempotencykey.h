#pragma once

#include "citronpitch/timepoint.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Citronpitch {

/// Longest accepted idempotency key, in bytes.
constexpr std::size_t maximumKeyBytes = 200;

/**
 * @brief What an idempotency key tells about itself: its home and its date.
 *
 * Three forms are accepted. `VM/UUIDv7` is issued by an entry VM and names its home. A plain UUIDv7 (RFC
 * 9562) carries its date. Any other text of printable characters carries neither. Used by EntryVm to find the
 * home of a submission and by ClaimTable to bound what has to be remembered.
 */
struct IdempotencyKey
{
    /// Entry VM that issued the key; empty for a key that a caller made up.
    std::string issuer;
    /// Moment at which the key was made; nothing for a key that carries no date.
    std::optional<TimePoint> date;
};

/// Reads @p text; nothing where it is empty, too long or has other than printable ASCII characters.
std::optional<IdempotencyKey> parseIdempotencyKey(std::string_view text);

/// Text of a key issued by @p issuer at @p now; @p random supplies the 74 random bits of the UUIDv7.
std::string issueIdempotencyKey(std::string_view issuer, TimePoint now, std::uint64_t randomHigh,
                                std::uint64_t randomLow);

/**
 * Name of the entry VM that is home to a key of @p team.
 *
 * An issued key is at home with its issuer. Any other key is placed by rendezvous hashing over @p vms, so
 * every VM with the same settings finds the same home without agreement. Empty where @p vms is empty or the
 * issuer is not among them.
 */
std::string homeVmOf(const IdempotencyKey &key, std::string_view team, std::string_view text,
                     const std::vector<std::string> &vms);

} // namespace Citronpitch
