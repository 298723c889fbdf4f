#include "citronpitch/configuration.h"

#include <algorithm>

namespace Citronpitch {

const ClassDeclaration *Configuration::findClass(std::string_view name) const
{
    const auto it =
        std::find_if(classes.begin(), classes.end(), [&](const auto &c) { return c.name == name; });
    return it == classes.end() ? nullptr : &*it;
}

const TeamDeclaration *Configuration::findTeam(std::string_view name) const
{
    const auto it = std::find_if(teams.begin(), teams.end(), [&](const auto &t) { return t.name == name; });
    return it == teams.end() ? nullptr : &*it;
}

const DomainEvacuation *Configuration::findEvacuation(std::string_view domain) const
{
    const auto it = std::find_if(evacuations.begin(), evacuations.end(),
                                 [&](const auto &e) { return e.domain == domain; });
    return it == evacuations.end() ? nullptr : &*it;
}

const GroupHolder *Configuration::findHolder(std::string_view group) const
{
    for (const auto &it : holders) {
        if (it.group == group)
            return &it;
    }
    return nullptr;
}

bool isGroupEvacuated(std::string_view group, const std::vector<DomainEvacuation> &evacuations)
{
    return std::any_of(evacuations.begin(), evacuations.end(), [&](const auto &it) {
        return group.starts_with(it.domain)
            && (group.size() == it.domain.size() || group[it.domain.size()] == '/');
    });
}

} // namespace Citronpitch
