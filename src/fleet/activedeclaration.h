#pragma once

#include "citronpitch/workdeclaration.h"

#include <functional>
#include <optional>

namespace Citronpitch {

/// Reads the text of a declared document; nothing where it can't be read.
using ParseDocument = std::function<std::optional<WorkDeclaration>(const DeclaredDocument &)>;

/**
 * @brief The operators' declaration by which one VM of a fleet works. Used by FleetEntry and FleetControl.
 */
class ActiveDeclaration
{
public:
    explicit ActiveDeclaration(ParseDocument parse);

    /// Takes over @p document where it is newer than what is in force and can be read; says so in the log.
    /// Returns whether it did.
    bool update(const DeclaredDocument &document);

    /// The declaration in force; null before the first.
    const WorkDeclaration *declaration() const;

private:
    ParseDocument m_parse;
    std::optional<WorkDeclaration> m_declaration;
};

} // namespace Citronpitch
