#include "core/dispatch/classtable.h"

#include <algorithm>

namespace Citronpitch {

std::vector<ClassIndex> ClassTable::setDeclarations(const std::vector<ClassDeclaration> &declarations)
{
    std::vector<ClassIndex> changed;
    std::vector<bool> isListed(m_entries.size() + declarations.size(), false);
    for (const auto &it : declarations) {
        const auto classIndex = findOrAdd(it.name);
        auto &entry = m_entries[classIndex];
        isListed[classIndex] = true;
        if (!entry.isDeclared || entry.declaration != it)
            changed.push_back(classIndex);
        entry.declaration = it;
        entry.isDeclared = true;
    }
    for (ClassIndex classIndex = 0; classIndex < m_entries.size(); ++classIndex) {
        if (!isListed[classIndex] && m_entries[classIndex].isDeclared) {
            m_entries[classIndex].isDeclared = false;
            changed.push_back(classIndex);
        }
    }
    return changed;
}

std::optional<ClassIndex> ClassTable::find(std::string_view name) const
{
    const auto it = m_names.find(name);
    return it == m_names.end() ? std::nullopt : std::optional(it->second);
}

ClassIndex ClassTable::findOrAdd(const std::string &name)
{
    const auto [it, isNew] = m_names.try_emplace(name, static_cast<ClassIndex>(m_entries.size()));
    if (isNew) {
        m_entries.emplace_back();
        m_entries.back().declaration.name = name;
    }
    return it->second;
}

ClassEntry &ClassTable::at(ClassIndex classIndex)
{
    return m_entries[classIndex];
}

const ClassEntry &ClassTable::at(ClassIndex classIndex) const
{
    return m_entries[classIndex];
}

std::size_t ClassTable::size() const
{
    return m_entries.size();
}

} // namespace Citronpitch
