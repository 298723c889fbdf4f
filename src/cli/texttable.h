#pragma once

#include <string>
#include <vector>

namespace Citronpitch {

/**
 * @brief Rows of text in aligned columns, for a person. Used by the commands.
 */
class TextTable
{
public:
    explicit TextTable(std::vector<std::string> titles);

    /// Adds a row with as many cells as there are titles.
    void add(std::vector<std::string> cells);

    /// The table; each line ends with a newline.
    std::string text() const;

private:
    std::vector<std::vector<std::string>> m_rows;
};

} // namespace Citronpitch
