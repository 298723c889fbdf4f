#pragma once

#include "cli/clierror.h"
#include "cli/clioptions.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace Citronpitch {

/// What a command is run with.
struct Invocation
{
    CliOptions options;
    /// Words after the command's name.
    std::vector<std::string> arguments;
};

/**
 * @brief One subcommand: how it is called, what it does, and the function that does it.
 *
 * Used by main() to find, check and run what the command line asks for, and to print the help.
 */
struct Command
{
    /// One or two words.
    std::string name;
    /// Names of the arguments, as the help shows them; in brackets where one may be left out.
    std::vector<std::string> arguments;
    std::string summary;
    /// Options that it takes besides --help and --json.
    std::vector<CliOption> options;
    std::function<boost::leaf::result<ExitCode>(const Invocation &)> run;

    /// Fewest arguments that it takes.
    std::size_t requiredArguments() const;
    /// Whether it takes @p option.
    bool takes(CliOption option) const;
    /// The help of the command.
    std::string help() const;
};

/// Every command, in the order of the help.
const std::vector<Command> &allCommands();

/// The help of the tool.
std::string toolHelp();

std::vector<Command> jobCommands();
std::vector<Command> stateCommands();
std::vector<Command> localCommands();
std::vector<Command> classCommands();
std::vector<Command> teamCommands();
std::vector<Command> domainCommands();
std::vector<Command> declarationCommands();
std::vector<Command> reportCommands();

} // namespace Citronpitch
