#pragma once

#include "cli/command.h"
#include "cli/configurationclient.h"
#include "cli/declarations.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <string>
#include <vector>

namespace Citronpitch {

/// What a command wants to change, worked out from what is in force.
struct WantedChange
{
    /// The change as the operators' interface takes it.
    nlohmann::json content;
    std::vector<Difference> differences;
};

/// Works out the change from the configuration in force.
using ChangePlan = std::function<boost::leaf::result<WantedChange>(const Configuration &)>;

/// The options of every command that changes the configuration.
std::vector<CliOption> changeOptions();

/**
 * Runs a command that changes the configuration: shows the change, sends it under one change id, and waits
 * where that is asked for. Without a difference nothing is sent.
 */
boost::leaf::result<ExitCode> runChange(const Invocation &invocation, const std::string &step,
                                        const ChangePlan &plan);

/// The differences as a list for --json.
nlohmann::json toJson(const std::vector<Difference> &differences);

} // namespace Citronpitch
