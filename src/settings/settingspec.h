#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Citronpitch {

/// Type of the value of a key.
enum class SettingKind {
    Object,
    List,
    /// String with limited length.
    Text,
    /// Name made of letters, digits, dots, hyphens and underscores.
    Name,
    /// IPv4 or IPv6 address.
    Address,
    /// Non-negative integer within a range.
    Number,
    /// true or false.
    Boolean,
    /// One of a list of strings.
    Choice,
};

/// When a changed value takes effect: after a restart, or on SIGHUP.
enum class SettingReload { Restart, Signal };

/**
 * @brief Specification of one key of the settings: type, range, default, unit and description.
 *
 * The table of all keys drives the validation, the defaults, docs/SETTINGS.md and `citronpitchd
 * --print-settings`.
 */
struct SettingSpec
{
    /// Path of the key; `[]` matches each entry of a list.
    std::string_view key;
    SettingKind kind = SettingKind::Text;
    /// Default as JSON; empty for a required key.
    std::string_view defaultValue;
    /// Minimum value of a number, or minimum length of a string or list.
    std::uint64_t minimum = 0;
    /// Maximum value of a number, or maximum length of a string or list.
    std::uint64_t maximum = 0;
    std::string_view unit;
    SettingReload reload = SettingReload::Restart;
    std::string_view description;
    /// Allowed values of a Choice, separated by "|".
    std::string_view choices;

    bool isRequired() const;
    /// Returns the path of the object or list that contains the key; empty for a top-level key.
    std::string_view parent() const;
    /// Returns the last component of the path.
    std::string_view name() const;
    /// Returns a human-readable description of the allowed values.
    std::string allowedValues() const;
};

/// Returns all keys in the order of docs/SETTINGS.md.
std::span<const SettingSpec> settingSpecs();

/// Returns the specification of the key with path @p key, or nullptr.
const SettingSpec *findSettingSpec(std::string_view key);

/// Returns the keys directly below @p parent; the empty path is the top level.
std::vector<const SettingSpec *> childSettingSpecs(std::string_view parent);

} // namespace Citronpitch
