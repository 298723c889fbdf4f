#pragma once

#include <string>

namespace Citronpitch {

/// Returns the content of docs/SETTINGS.md, generated from the table of keys.
std::string settingsReferenceMarkdown();

} // namespace Citronpitch
