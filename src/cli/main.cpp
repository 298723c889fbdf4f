#include "cli/command.h"

#include "settings/jsontext.h"

#include <getopt.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <iostream>

namespace {

using namespace Citronpitch;
namespace leaf = boost::leaf;

int numberOf(ExitCode code)
{
    return static_cast<int>(code);
}

std::vector<option> getoptOptions()
{
    std::vector<option> list;
    for (const auto &it : cliOptionEntries())
        list.push_back({it.name, it.value.empty() ? no_argument : required_argument, nullptr,
                        static_cast<int>(it.option) + 1});
    list.push_back({nullptr, 0, nullptr, 0});
    return list;
}

leaf::result<Invocation> parseCommandLine(int argc, char **argv)
{
    Invocation invocation;
    const auto options = getoptOptions();
    for (int it = getopt_long(argc, argv, "", options.data(), nullptr); it != -1;
         it = getopt_long(argc, argv, "", options.data(), nullptr)) {
        if (it == '?')
            return usageError("", "an option is unknown or lacks its value");
        const auto option = static_cast<CliOption>(it - 1);
        if (!setOption(invocation.options, option, optarg != nullptr ? optarg : ""))
            return usageError("",
                              std::string("--") + entryOf(option).name + ": \"" + optarg + "\" is malformed");
    }
    invocation.arguments.assign(argv + optind, argv + argc);
    return invocation;
}

/// Finds the command that the words name, the longer name first, and takes its name off the words.
const Command *takeCommand(std::vector<std::string> &words)
{
    for (std::size_t n = std::min<std::size_t>(words.size(), 2); n > 0; --n) {
        const auto name = n == 2 ? words[0] + " " + words[1] : words[0];
        for (const auto &it : allCommands()) {
            if (it.name != name)
                continue;
            words.erase(words.begin(), words.begin() + static_cast<std::ptrdiff_t>(n));
            return &it;
        }
    }
    return nullptr;
}

leaf::result<void> check(const Command &command, const Invocation &invocation)
{
    for (const auto it : invocation.options.given) {
        if (!command.takes(it))
            return usageError(command.name,
                              std::string("--") + entryOf(it).name + " is not among its options");
    }
    const auto n = invocation.arguments.size();
    if (n < command.requiredArguments() || n > command.arguments.size())
        return usageError(command.name, "it takes other arguments");
    return {};
}

leaf::result<ExitCode> run(int argc, char **argv)
{
    BOOST_LEAF_AUTO(invocation, parseCommandLine(argc, argv));
    const bool isHelpWanted = invocation.options.isGiven(CliOption::Help);
    if (invocation.arguments.empty() && isHelpWanted) {
        std::cout << toolHelp();
        return ExitCode::Done;
    }
    const auto words = invocation.arguments;
    const auto *command = takeCommand(invocation.arguments);
    if (command == nullptr)
        return usageError("", words.empty() ? "a command is missing" : "no command " + words.front());
    if (isHelpWanted) {
        std::cout << command->help();
        return ExitCode::Done;
    }
    BOOST_LEAF_CHECK(check(*command, invocation));
    return command->run(invocation);
}

void print(const CliError &error, bool isJson)
{
    if (isJson) {
        const nlohmann::json body{{"error",
                                   {{"step", error.error.step},
                                    {"peer", error.error.peer},
                                    {"detail", error.error.detail},
                                    {"advice", error.advice},
                                    {"exitCode", numberOf(error.code)}}}};
        std::cout << body.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) << "\n";
    }
    std::cerr << "citronpitch: " << (error.error.step.empty() ? error.error.detail : error.error.text())
              << "\n";
    if (!error.advice.empty())
        std::cerr << "  " << error.advice << "\n";
}

} // namespace

int main(int argc, char **argv)
{
    const bool isJson =
        std::any_of(argv, argv + argc, [](const char *it) { return std::string(it) == "--json"; });
    return leaf::try_handle_all(
        [&]() -> leaf::result<int> {
            BOOST_LEAF_ASSIGN(const auto code, run(argc, argv));
            return numberOf(code);
        },
        [&](const CliError &error) {
            print(error, isJson);
            return numberOf(error.code);
        },
        [&](const std::exception &error) {
            // Such as a VM's answer with a field of another type than this program expects.
            print(CliError{{"", "", shortened(error.what())}, "", ExitCode::Failed}, isJson);
            return numberOf(ExitCode::Failed);
        },
        [] { return numberOf(ExitCode::Failed); });
}
