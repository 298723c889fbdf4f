#include "cli/command.h"

#include <algorithm>

namespace Citronpitch {

namespace {

constexpr std::size_t optionColumn = 30;
constexpr std::size_t commandColumn = 34;

std::string padded(std::string text, std::size_t column)
{
    text.resize(std::max(text.size() + 1, column), ' ');
    return text;
}

std::string optionLine(CliOption option)
{
    const auto &entry = entryOf(option);
    auto left = "  --" + std::string(entry.name);
    if (!entry.value.empty())
        left += " " + std::string(entry.value);
    return padded(left, optionColumn) + std::string(entry.description) + "\n";
}

std::string callText(const Command &command)
{
    auto text = command.name;
    for (const auto &it : command.arguments)
        text += " " + it;
    return text;
}

std::string exitCodesText()
{
    std::string text = "exit codes:\n";
    for (const auto &it : exitCodeNames)
        text += "  " + std::to_string(static_cast<int>(it.value)) + "  " + std::string(it.name) + "\n";
    return text;
}

} // namespace

std::size_t Command::requiredArguments() const
{
    return static_cast<std::size_t>(
        std::count_if(arguments.begin(), arguments.end(), [](const auto &it) { return it.front() != '['; }));
}

bool Command::takes(CliOption option) const
{
    return option == CliOption::Help || option == CliOption::Json
        || std::find(options.begin(), options.end(), option) != options.end();
}

std::string Command::help() const
{
    std::string text = "usage: citronpitch " + callText(*this) + " [OPTIONS]\n" + summary + "\noptions:\n";
    for (const auto it : options)
        text += optionLine(it);
    return text + optionLine(CliOption::Json) + optionLine(CliOption::Help) + exitCodesText();
}

const std::vector<Command> &allCommands()
{
    static const std::vector<Command> commands = [] {
        std::vector<Command> list;
        for (auto &group : {jobCommands(), classCommands(), teamCommands(), domainCommands(),
                            declarationCommands(), stateCommands(), reportCommands(), localCommands()})
            list.insert(list.end(), group.begin(), group.end());
        return list;
    }();
    return commands;
}

std::string toolHelp()
{
    std::string text = "usage: citronpitch COMMAND [ARGUMENTS] [OPTIONS]\n"
                       "Every command has --help and --json.\ncommands:\n";
    for (const auto &it : allCommands()) {
        const auto end = it.summary.find('\n');
        text += padded("  " + callText(it), commandColumn) + it.summary.substr(0, end) + "\n";
    }
    return text + exitCodesText();
}

} // namespace Citronpitch
