#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Citronpitch {

/// The name among @p known that takes the fewest edits to get from @p name; empty where @p known is empty.
std::string nearestName(std::string_view name, const std::vector<std::string_view> &known);

} // namespace Citronpitch
