#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace Citronpitch {

/// Maps an enumerator to its name in text formats.
template <typename Enum> struct EnumName
{
    Enum value;
    std::string_view name;
};

/// Returns the name of @p value in @p table, or "?" if the table has no entry for it.
template <typename Enum, std::size_t count>
constexpr std::string_view enumName(const std::array<EnumName<Enum>, count> &table, Enum value)
{
    for (const auto &it : table) {
        if (it.value == value)
            return it.name;
    }
    return "?";
}

/// Returns the enumerator with name @p name in @p table, or nullopt if there is none.
template <typename Enum, std::size_t count>
constexpr std::optional<Enum> enumValue(const std::array<EnumName<Enum>, count> &table, std::string_view name)
{
    for (const auto &it : table) {
        if (it.name == name)
            return it.value;
    }
    return std::nullopt;
}

} // namespace Citronpitch
