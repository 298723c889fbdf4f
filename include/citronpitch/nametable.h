#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace Citronpitch {

/// One enumerator and its name in text formats.
template <typename Enum> struct EnumName
{
    Enum value;
    std::string_view name;
};

/// Name of @p value in @p table, or "?" where the table lacks it.
template <typename Enum, std::size_t count>
constexpr std::string_view enumName(const std::array<EnumName<Enum>, count> &table, Enum value)
{
    for (const auto &it : table) {
        if (it.value == value)
            return it.name;
    }
    return "?";
}

/// Enumerator that @p table names @p name; nothing where no entry does.
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
