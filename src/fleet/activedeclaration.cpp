#include "fleet/activedeclaration.h"

#include "log/eventlog.h"

#include <utility>

namespace Citronpitch {

ActiveDeclaration::ActiveDeclaration(ParseDocument parse)
    : m_parse(std::move(parse))
{
}

bool ActiveDeclaration::update(const DeclaredDocument &document)
{
    const bool isNew = document.version > 0 && (!m_declaration || m_declaration->version < document.version);
    if (!isNew)
        return false;
    auto declaration = m_parse(document);
    if (!declaration) {
        logEvent(Event::DocumentUnreadable, {{"version", std::to_string(document.version)}});
        return false;
    }
    m_declaration = std::move(declaration);
    logEvent(Event::DocumentActivated, {{"version", std::to_string(document.version)}});
    return true;
}

const WorkDeclaration *ActiveDeclaration::declaration() const
{
    return m_declaration ? &*m_declaration : nullptr;
}

} // namespace Citronpitch
