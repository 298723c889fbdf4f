#include "settings/jsontext.h"

#include <algorithm>

namespace Citronpitch {

using Json = nlohmann::json;

namespace {

/// Returns the position of the quote that ends the string after @p i, or the size of @p text.
std::size_t endOfString(std::string_view text, std::size_t i)
{
    while (i < text.size() && text[i] != '"')
        i += text[i] == '\\' ? 2 : 1;
    return std::min(i, text.size());
}

/// Returns the position of the last character of the comment that starts at @p i; @p i if none starts there.
std::size_t endOfComment(std::string_view text, std::size_t i)
{
    const auto mark = text.substr(i, 2);
    // The parser ends a line comment at a zero byte, too.
    if (mark == "//")
        return std::min(text.find_first_of(std::string_view("\n\r\0", 3), i), text.size());
    const auto end = mark == "/*" ? text.find("*/", i + 2) : i;
    return end == i ? i : std::min(end, text.size() - 1) + 1;
}

} // namespace

std::optional<std::size_t> findExcessiveDepth(std::string_view text, JsonComments comments)
{
    std::size_t depth = 0;
    for (std::size_t i = 0; i < text.size(); ++i) {
        switch (text[i]) {
        case '"':
            i = endOfString(text, i + 1);
            break;
        case '/':
            if (comments == JsonComments::Ignored)
                i = endOfComment(text, i);
            break;
        case '[':
        case '{':
            if (++depth > maximumJsonDepth)
                return i + 1;
            break;
        case ']':
        case '}':
            depth -= depth > 0 ? 1 : 0;
            break;
        default:
            break;
        }
    }
    return std::nullopt;
}

std::variant<Json, JsonTextError> readJson(std::string_view text, JsonComments comments)
{
    if (const auto byte = findExcessiveDepth(text, comments))
        return JsonTextError{
            *byte, "more than " + std::to_string(maximumJsonDepth) + " lists and objects are nested"};
    try {
        return Json::parse(text, nullptr, true, comments == JsonComments::Ignored);
    } catch (const Json::parse_error &e) {
        return JsonTextError{e.byte, shortened(e.what())};
    } catch (const Json::exception &e) {
        return JsonTextError{0, shortened(e.what())};
    }
}

std::string shortened(std::string text)
{
    constexpr std::size_t maximumBytes = 300;
    if (text.size() > maximumBytes)
        text = text.substr(0, maximumBytes) + "...";
    return text;
}

} // namespace Citronpitch
