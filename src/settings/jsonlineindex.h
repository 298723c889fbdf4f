#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Citronpitch {

/// A key that stands twice in one object.
struct DuplicateKey
{
    std::string path;
    int line = 0;
};

/**
 * @brief The lines of a JSON text on which its keys stand.
 *
 * Paths are written `vms[2].peers.port`; the empty path is the whole document. Used by SettingsValidator to
 * say where an error is.
 */
class JsonLineIndex
{
public:
    /// Reads @p text, JSON with comments, as far as it is well formed.
    explicit JsonLineIndex(std::string_view text);

    /// Line of @p path, counted from one; that of the nearest path around it where @p path is not there.
    int lineOf(std::string_view path) const;

    const std::vector<DuplicateKey> &duplicateKeys() const;

private:
    std::map<std::string, int, std::less<>> m_lines;
    std::vector<DuplicateKey> m_duplicateKeys;
};

} // namespace Citronpitch
