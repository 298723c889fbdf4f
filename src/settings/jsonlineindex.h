#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Citronpitch {

/// Key that occurs more than once in one object.
struct DuplicateKey
{
    std::string path;
    int line = 0;
};

/**
 * @brief Maps the paths of a JSON text to line numbers.
 *
 * Paths have the form `vms[2].peers.port`; the empty path is the whole document. Used by SettingsValidator to
 * report the line of an error.
 */
class JsonLineIndex
{
public:
    /// Parses @p text, JSON with comments, up to the first syntax error.
    explicit JsonLineIndex(std::string_view text);

    /// Returns the line of @p path, starting at 1, or that of the closest enclosing path that exists.
    int lineOf(std::string_view path) const;

    const std::vector<DuplicateKey> &duplicateKeys() const;

private:
    std::map<std::string, int, std::less<>> m_lines;
    std::vector<DuplicateKey> m_duplicateKeys;
};

} // namespace Citronpitch
