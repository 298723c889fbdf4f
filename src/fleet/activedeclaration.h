#pragma once

#include "citronpitch/workdeclaration.h"

#include <functional>
#include <optional>

namespace Citronpitch {

/// Parses the text of a declared document; returns nothing if it can't be parsed.
using ParseDocument = std::function<std::optional<WorkDeclaration>(const DeclaredDocument &)>;

/**
 * @brief Holds the active declaration of the operators on one VM of a fleet. Used by FleetEntry and
 * FleetControl.
 */
class ActiveDeclaration
{
public:
    explicit ActiveDeclaration(ParseDocument parse);

    /// Activates @p document if it is newer than the active one and can be parsed, and logs the result.
    /// Returns whether it was activated.
    bool update(const DeclaredDocument &document);

    /// The active declaration; null before the first.
    const WorkDeclaration *declaration() const;

private:
    ParseDocument m_parse;
    std::optional<WorkDeclaration> m_declaration;
};

} // namespace Citronpitch
