#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace Citronpitch {

/// How a run of `citronpitch` ended and what it printed on standard output and error.
struct CliRun
{
    int exitCode = -1;
    std::string output;

    /// The JSON document within the output; null where there is none.
    nlohmann::json json() const;
};

/// Runs `citronpitch` of the folder @p programs with @p arguments and waits for its end.
CliRun runCli(const std::string &programs, const std::vector<std::string> &arguments);

} // namespace Citronpitch
