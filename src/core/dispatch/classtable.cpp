#include "core/dispatch/classtable.h"

#include <algorithm>

namespace Citronpitch {

std::vector<ClassIndex> ClassTable::setDeclarations(const std::vector<ClassDeclaration> &declarations)
{
    std::vector<ClassIndex> changed;
    std::vector<bool> isNamed(m_entries.size() + declarations.size(), false);
    for (const auto &it : declarations) {
        const auto of = numberOf(it.name);
        auto &entry = m_entries[of];
        isNamed[of] = true;
        if (!entry.isDeclared || entry.declaration != it)
            changed.push_back(of);
        entry.declaration = it;
        entry.isDeclared = true;
    }
    for (ClassIndex of = 0; of < m_entries.size(); ++of) {
        if (!isNamed[of] && m_entries[of].isDeclared) {
            m_entries[of].isDeclared = false;
            changed.push_back(of);
        }
    }
    return changed;
}

std::optional<ClassIndex> ClassTable::find(std::string_view name) const
{
    const auto it = m_names.find(name);
    return it == m_names.end() ? std::nullopt : std::optional(it->second);
}

ClassIndex ClassTable::numberOf(const std::string &name)
{
    const auto [it, isNew] = m_names.try_emplace(name, static_cast<ClassIndex>(m_entries.size()));
    if (isNew) {
        m_entries.emplace_back();
        m_entries.back().declaration.name = name;
    }
    return it->second;
}

ClassEntry &ClassTable::at(ClassIndex of)
{
    return m_entries[of];
}

const ClassEntry &ClassTable::at(ClassIndex of) const
{
    return m_entries[of];
}

std::size_t ClassTable::size() const
{
    return m_entries.size();
}

} // namespace Citronpitch
