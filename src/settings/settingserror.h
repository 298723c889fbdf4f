#pragma once

#include <string>
#include <vector>

namespace Citronpitch {

/// Error in a settings file.
struct SettingsError
{
    /// Line of the file, starting at 1.
    int line = 0;
    /// Path of the key; empty for the whole file.
    std::string key;
    /// Value found.
    std::string found;
    /// Description of the allowed values.
    std::string allowed;

    /// Returns the error as one human-readable line.
    std::string text() const;
};

/// All errors of a settings file in the order of its lines.
struct SettingsErrors
{
    std::vector<SettingsError> list;
};

} // namespace Citronpitch
