#include "citronpitch/idempotencykey.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <xxhash.h>

namespace Citronpitch {

namespace {

constexpr std::size_t uuidLength = 36;
constexpr std::array<std::size_t, 4> uuidDashes{8, 13, 18, 23};
constexpr std::size_t uuidVersionPosition = 14;

bool isDash(std::size_t position)
{
    return std::find(uuidDashes.begin(), uuidDashes.end(), position) != uuidDashes.end();
}

/// Returns the timestamp in the first 48 bits of a UUIDv7; std::nullopt for any other text.
std::optional<std::int64_t> uuidTimestampMs(std::string_view text)
{
    if (text.size() != uuidLength || text[uuidVersionPosition] != '7')
        return std::nullopt;
    std::int64_t milliseconds = 0;
    std::size_t digits = 0;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (isDash(i) ? text[i] != '-' : std::isxdigit(static_cast<unsigned char>(text[i])) == 0)
            return std::nullopt;
        if (isDash(i) || digits >= 12)
            continue;
        const char c = static_cast<char>(std::tolower(static_cast<unsigned char>(text[i])));
        milliseconds = milliseconds * 16 + (c <= '9' ? c - '0' : c - 'a' + 10);
        ++digits;
    }
    return milliseconds;
}

bool isPrintable(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c <= '~'; });
}

std::uint64_t rendezvousWeight(std::string_view vm, std::uint64_t keyHash)
{
    return XXH3_64bits_withSeed(vm.data(), vm.size(), keyHash);
}

} // namespace

std::optional<IdempotencyKey> parseIdempotencyKey(std::string_view text)
{
    if (text.empty() || text.size() > maximumKeyBytes || !isPrintable(text))
        return std::nullopt;
    const auto slash = text.find('/');
    const auto uuid = slash == std::string_view::npos ? text : text.substr(slash + 1);
    const auto milliseconds = uuidTimestampMs(uuid);
    IdempotencyKey key;
    if (!milliseconds)
        return key;
    key.date = timePointOf(*milliseconds * 1000);
    if (slash != std::string_view::npos)
        key.issuer = text.substr(0, slash);
    return key;
}

std::string issueIdempotencyKey(std::string_view issuer, TimePoint now, std::uint64_t randomHigh,
                                std::uint64_t randomLow)
{
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr std::string_view variants = "89ab";
    const auto milliseconds = static_cast<std::uint64_t>(microsecondsOf(now) / 1000);
    std::string uuid;
    for (int i = 0; i < 32; ++i) {
        if (i == 8 || i == 12 || i == 16 || i == 20)
            uuid += '-';
        if (i < 12) {
            uuid += digits[(milliseconds >> (44 - 4 * i)) & 15];
        } else if (i == 12) {
            uuid += '7';
        } else if (i < 16) {
            uuid += digits[(randomHigh >> (4 * (i - 13))) & 15];
        } else if (i == 16) {
            uuid += variants[(randomHigh >> 12) & 3];
        } else {
            uuid += digits[(randomLow >> (4 * (i - 17))) & 15];
        }
    }
    return std::string(issuer) + "/" + uuid;
}

std::string homeVmOf(const IdempotencyKey &key, std::string_view team, std::string_view text,
                     const std::vector<std::string> &vms)
{
    if (!key.issuer.empty())
        return std::find(vms.begin(), vms.end(), key.issuer) == vms.end() ? std::string() : key.issuer;
    const auto teamHash = XXH3_64bits(team.data(), team.size());
    const auto keyHash = XXH3_64bits_withSeed(text.data(), text.size(), teamHash);
    const auto it = std::max_element(vms.begin(), vms.end(), [&](const auto &a, const auto &b) {
        return rendezvousWeight(a, keyHash) < rendezvousWeight(b, keyHash);
    });
    return it == vms.end() ? std::string() : *it;
}

} // namespace Citronpitch
