#pragma once

#include <string>
#include <vector>

namespace Citronpitch {

/// One thing that is wrong with a settings file.
struct SettingsError
{
    /// Line of the file, counted from one.
    int line = 0;
    /// Path of the key; empty for the file as a whole.
    std::string key;
    /// What stands there.
    std::string found;
    /// What may stand there.
    std::string allowed;

    /// The error as one line for a person.
    std::string text() const;
};

/// Everything that is wrong with a settings file, in the order of its lines.
struct SettingsErrors
{
    std::vector<SettingsError> list;
};

} // namespace Citronpitch
