#include "cli/command.h"
#include "cli/replyjson.h"

#include "net/curvekeypair.h"
#include "settings/settings.h"

#include <iostream>

namespace Citronpitch {

namespace leaf = boost::leaf;
using Json = nlohmann::json;

namespace {

void printErrors(const SettingsErrors &errors, const std::string &path, bool isJson)
{
    Json list = Json::array();
    for (const auto &it : errors.list) {
        list.push_back({{"line", it.line}, {"key", it.key}, {"found", it.found}, {"allowed", it.allowed}});
        if (!isJson)
            std::cout << path << ": " << it.text() << "\n";
    }
    if (isJson)
        printJson({{"file", path}, {"errors", list}});
}

leaf::result<ExitCode> checkSettings(const Invocation &invocation)
{
    const auto &path = invocation.arguments.front();
    const bool isJson = invocation.options.isGiven(CliOption::Json);
    return leaf::try_handle_some(
        [&]() -> leaf::result<ExitCode> {
            BOOST_LEAF_CHECK(loadSettings(path));
            if (isJson)
                printErrors({}, path, true);
            else
                std::cout << path << ": no errors\n";
            return ExitCode::Done;
        },
        [&](const SettingsErrors &errors) -> leaf::result<ExitCode> {
            printErrors(errors, path, isJson);
            return ExitCode::Usage;
        });
}

leaf::result<ExitCode> makeKeys(const Invocation &invocation)
{
    const auto &name = invocation.arguments.front();
    const auto &folder = invocation.options.outputFolder;
    return leaf::try_handle_some(
        [&]() -> leaf::result<ExitCode> {
            BOOST_LEAF_AUTO(publicKey, createCurveKeyFile(folder + "/" + name + ".key"));
            if (invocation.options.isGiven(CliOption::Json))
                printJson({{"name", name},
                           {"publicKey", publicKey},
                           {"secretKeyFile", folder + "/" + name + ".key"}});
            else
                std::cout << "secret key: " << folder << "/" << name << ".key\npublic key: " << publicKey
                          << "\nput the public key into the entry of " << name
                          << " in \"vms\" of every settings file, and the secret key file onto " << name
                          << " alone\n";
            return ExitCode::Done;
        },
        [](const StepError &error) -> leaf::result<ExitCode> {
            return leaf::new_error(CliError{error, "no key was made", ExitCode::Failed});
        });
}

} // namespace

std::vector<Command> localCommands()
{
    return {
        {"settings check",
         {"FILE"},
         "Check a settings file of the daemon and list every error in it.",
         {},
         checkSettings},
        {"keys",
         {"NAME"},
         "Make the keys with which entry VM NAME proves itself to the others.\n"
         "The secret key is written to NAME.key, readable by its owner alone; the public key is printed.",
         {CliOption::Output},
         makeKeys},
    };
}

} // namespace Citronpitch
