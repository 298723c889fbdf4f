#pragma once

#include <string>

namespace Citronpitch {

/// The text of docs/SETTINGS.md, made of the table of keys.
std::string settingsReferenceMarkdown();

} // namespace Citronpitch
