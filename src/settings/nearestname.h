#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Citronpitch {

/// Returns the name in @p known with the smallest edit distance to @p name; empty if @p known is empty.
std::string nearestName(std::string_view name, const std::vector<std::string_view> &known);

} // namespace Citronpitch
