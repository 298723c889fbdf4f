#pragma once

#include "settings/jsonlineindex.h"
#include "settings/settingserror.h"
#include "settings/settingspec.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace Citronpitch {

/// Which part of the settings a text holds.
enum class SettingsScope {
    Whole,
    /// The content of `initialConfiguration` alone: the declarations of operators.
    Declarations,
};

/**
 * @brief Checks the text of a settings file against the table of keys and fills in the defaults.
 *
 * Finds every error at once. Used by parseSettings(), by `citronpitch settings check` and by `citronpitch
 * apply`.
 */
class SettingsValidator
{
public:
    explicit SettingsValidator(std::string_view text, SettingsScope part = SettingsScope::Whole);

    /// What is wrong, in the order of the lines; empty for good settings.
    const std::vector<SettingsError> &errors() const;

    /// The settings with every default filled in; complete only where errors() is empty.
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
