#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace Citronpitch {

/// Folder of the recorded results.
inline constexpr const char *resultsFolder = "bench/results";

/// Writes @p content as `bench/results/NAME.json`, with the commit, the machine's cores and the date added.
void writeReport(const std::string &name, nlohmann::json content);

/// Writes @p text as the file `bench/results/NAME`.
void writeResultFile(const std::string &name, const std::string &text);

} // namespace Citronpitch
