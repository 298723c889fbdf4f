#include "settings/settingsreference.h"

#include "settings/settingspec.h"

namespace Citronpitch {

namespace {

constexpr std::string_view introduction =
    "# Settings\n"
    "\n"
    "Made by `citronpitchd --print-settings-reference`; a test holds this page and the program equal.\n"
    "\n"
    "A settings file is JSON with comments (`//` and `/* */`). `citronpitch settings check FILE` and the\n"
    "daemon list every error at once, each with its line, its key, what was found and what is allowed;\n"
    "a key that is not listed here is an error. With bad settings the daemon starts nothing and ends with\n"
    "exit code 2. `citronpitchd --settings FILE --print-settings` prints the settings with every default\n"
    "filled in.\n"
    "\n"
    "On SIGHUP the daemon reads its file again. Keys marked \"at once\" take effect then; a change of any\n"
    "other key is named in the log and waits for a restart. A file with an error changes nothing.\n"
    "\n"
    "`examples/clydeside.json` and `examples/pasteleria.json` are two commented examples.\n"
    "\n"
    "| key | allowed | default | change takes effect | meaning |\n"
    "|---|---|---|---|---|\n";

std::string defaultText(const SettingSpec &spec)
{
    return spec.isRequired() ? "must be given" : "`" + std::string(spec.defaultValue) + "`";
}

std::string row(const SettingSpec &spec)
{
    const auto *reload = spec.reload == SettingReload::Signal ? "at once" : "on restart";
    return "| `" + std::string(spec.key) + "` | " + spec.allowedValues() + " | " + defaultText(spec) + " | "
        + reload + " | " + std::string(spec.description) + " |\n";
}

} // namespace

std::string settingsReferenceMarkdown()
{
    std::string text(introduction);
    for (const auto &it : settingSpecs())
        text += row(it);
    return text;
}

} // namespace Citronpitch
