#include "settings/settingserror.h"

namespace Citronpitch {

std::string SettingsError::text() const
{
    const auto where = key.empty() ? std::string() : key + ": ";
    return "line " + std::to_string(line) + ": " + where + "found " + found + "; allowed: " + allowed;
}

} // namespace Citronpitch
