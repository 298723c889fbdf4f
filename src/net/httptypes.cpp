#include "net/httptypes.h"

#include <boost/algorithm/string/predicate.hpp>

#include <cctype>
#include <charconv>
#include <optional>

namespace Citronpitch {

namespace {

const std::string *findByName(const std::vector<HttpHeader> &fields, std::string_view name)
{
    for (const auto &it : fields) {
        if (boost::algorithm::iequals(it.name, name))
            return &it.value;
    }
    return nullptr;
}

std::optional<std::string> percentDecode(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '%') {
            decoded += text[i];
            continue;
        }
        unsigned value = 0;
        if (i + 2 >= text.size())
            return std::nullopt;
        const auto *end = text.data() + i + 3;
        if (std::from_chars(text.data() + i + 1, end, value, 16).ptr != end)
            return std::nullopt;
        decoded += static_cast<char>(value);
        i += 2;
    }
    return decoded;
}

bool parseQuery(std::string_view text, std::vector<HttpHeader> &query)
{
    while (!text.empty()) {
        const auto part = text.substr(0, text.find('&'));
        text.remove_prefix(std::min(text.size(), part.size() + 1));
        const auto equals = part.find('=');
        const auto name = percentDecode(part.substr(0, equals));
        const auto value =
            equals == std::string_view::npos ? std::string() : percentDecode(part.substr(equals + 1));
        if (!name || !value)
            return false;
        query.push_back({*name, *value});
    }
    return true;
}

} // namespace

const std::string *HttpRequest::findHeader(std::string_view name) const
{
    return findByName(headers, name);
}

const std::string *HttpRequest::findQuery(std::string_view name) const
{
    return findByName(query, name);
}

bool parseTarget(std::string_view target, HttpRequest &request)
{
    const auto question = target.find('?');
    const auto path = percentDecode(target.substr(0, question));
    if (!path)
        return false;
    request.path = *path;
    return question == std::string_view::npos || parseQuery(target.substr(question + 1), request.query);
}

std::string percentEncode(std::string_view text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    constexpr std::string_view unreserved = "-._~/";
    std::string encoded;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (std::isalnum(byte) != 0 || unreserved.find(c) != std::string_view::npos) {
            encoded += c;
            continue;
        }
        encoded += '%';
        encoded += digits[byte >> 4];
        encoded += digits[byte & 15];
    }
    return encoded;
}

} // namespace Citronpitch
