#include "settings/nearestname.h"

#include <algorithm>
#include <cctype>
#include <limits>

namespace Citronpitch {

namespace {

bool isSameLetter(char a, char b)
{
    return std::tolower(static_cast<unsigned char>(a)) == std::tolower(static_cast<unsigned char>(b));
}

/// Case-insensitive Levenshtein distance.
std::size_t editDistance(std::string_view from, std::string_view to)
{
    std::vector<std::size_t> row(to.size() + 1);
    for (std::size_t j = 0; j <= to.size(); ++j)
        row[j] = j;
    for (std::size_t i = 1; i <= from.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= to.size(); ++j) {
            const auto replaced = diagonal + (isSameLetter(from[i - 1], to[j - 1]) ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({row[j] + 1, row[j - 1] + 1, replaced});
        }
    }
    return row[to.size()];
}

} // namespace

std::string nearestName(std::string_view name, const std::vector<std::string_view> &known)
{
    std::string_view best;
    auto bestDistance = std::numeric_limits<std::size_t>::max();
    for (const auto it : known) {
        const auto distance = editDistance(name, it);
        if (distance >= bestDistance)
            continue;
        best = it;
        bestDistance = distance;
    }
    return std::string(best);
}

} // namespace Citronpitch
