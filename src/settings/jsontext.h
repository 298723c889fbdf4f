#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace Citronpitch {

/// Maximum number of nested lists and objects in a JSON text. The library copies, compares and prints values
/// recursively, so that about 60,000 levels exhaust the stack.
constexpr std::size_t maximumJsonDepth = 100;

/// Whether a JSON text may contain comments.
enum class JsonComments {
    Rejected,
    Ignored,
};

/// Why a text is not acceptable JSON.
struct JsonTextError
{
    /// Byte at which the error was found, counted from 1; zero if it is unknown.
    std::size_t byte = 0;
    std::string reason;
};

/// Returns the byte, counted from 1, of the first list or object below maximumJsonDepth levels, if any.
std::optional<std::size_t> findExcessiveDepth(std::string_view text, JsonComments comments);

/// Parses @p text. No value deeper than maximumJsonDepth is ever built, and nothing is thrown for any text.
std::variant<nlohmann::json, JsonTextError> readJson(std::string_view text,
                                                     JsonComments comments = JsonComments::Rejected);

/// Returns @p text shortened to a length that fits a log line, since error texts quote what was received.
std::string shortened(std::string text);

} // namespace Citronpitch
