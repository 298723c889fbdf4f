#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Citronpitch {

/// What kind of value a key of the settings takes.
enum class SettingKind {
    Object,
    List,
    /// Text of a bounded length.
    Text,
    /// Name of letters, digits, dots, hyphens and underscores.
    Name,
    /// IP number, version 4 or 6.
    Address,
    /// Whole number within a range.
    Number,
    /// true or false.
    Boolean,
    /// One text of a list.
    Choice,
};

/// How a change of a key's value takes effect.
enum class SettingReload { Restart, Signal };

/**
 * @brief One key of the settings: what it takes, its default, its unit and its meaning.
 *
 * The check, the defaults, docs/SETTINGS.md and `citronpitchd --print-settings` all come from the table of
 * these.
 */
struct SettingSpec
{
    /// Path of the key; `[]` stands for every entry of a list.
    std::string_view key;
    SettingKind kind = SettingKind::Text;
    /// Default as JSON; empty for a key that must be given.
    std::string_view defaultValue;
    /// Smallest number, shortest text or shortest list.
    std::uint64_t minimum = 0;
    /// Largest number, longest text or longest list.
    std::uint64_t maximum = 0;
    std::string_view unit;
    SettingReload reload = SettingReload::Restart;
    std::string_view description;
    /// Allowed texts of a Choice, separated by bars.
    std::string_view choices;

    bool isRequired() const;
    /// Path of the object or list that holds the key; empty for a key at the top.
    std::string_view parent() const;
    /// The key without the path to it.
    std::string_view name() const;
    /// What is allowed, for a person.
    std::string allowedValues() const;
};

/// Every key, in the order of the reference.
std::span<const SettingSpec> settingSpecs();

/// The key with path @p key, or null.
const SettingSpec *findSettingSpec(std::string_view key);

/// The keys directly within @p parent, which may be empty.
std::vector<const SettingSpec *> childSettingSpecs(std::string_view parent);

} // namespace Citronpitch
