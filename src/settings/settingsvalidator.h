#pragma once

#include "settings/jsonlineindex.h"
#include "settings/settingserror.h"
#include "settings/settingspec.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace Citronpitch {

/// Part of the settings that a text contains.
enum class SettingsScope {
    Whole,
    /// Only the content of `initialConfiguration`: the declarations of operators.
    Declarations,
};

/**
 * @brief Validates the text of a settings file against the table of keys and adds the defaults.
 *
 * Reports all errors at once. Used by parseSettings(), by `citronpitch settings check` and by `citronpitch
 * apply`.
 */
class SettingsValidator
{
public:
    explicit SettingsValidator(std::string_view text, SettingsScope part = SettingsScope::Whole);

    /// Returns the errors in the order of the lines; empty if the settings are valid.
    const std::vector<SettingsError> &errors() const;

    /// Returns the settings with all defaults; only complete if errors() is empty.
    const nlohmann::json &completeSettings() const;

private:
    void checkObject(nlohmann::json &object, std::string_view specPath, const std::string &path);
    void checkUnknownKeys(const nlohmann::json &object, std::string_view specPath, const std::string &path);
    void checkValue(nlohmann::json &value, const SettingSpec &spec, const std::string &path);
    void checkList(nlohmann::json &list, const SettingSpec &spec, const std::string &path);
    void checkConsistency();
    void checkVms();
    void checkListenerAddresses();
    void checkUniqueNames(std::string_view listPath);
    void checkTimes();
    void addError(const std::string &path, std::string found, std::string allowed);
    std::string textAt(const char *pointer) const;

    JsonLineIndex m_lines;
    nlohmann::json m_document;
    std::vector<SettingsError> m_errors;
};

} // namespace Citronpitch
