#include "daemon/daemon.h"
#include "log/eventlog.h"
#include "settings/settingsreference.h"

#include <getopt.h>
#include <unistd.h>

#include <iostream>

namespace {

using namespace Citronpitch;

constexpr int exitFailure = 1;
/// Invalid command line or settings; nothing was started.
constexpr int exitUsage = 2;

/// Command selected by the options.
enum class Command { Serve, Initialize, PrintSettings, PrintSettingsReference, PrintEvents, PrintHelp };

/// Parsed command line.
struct Arguments
{
    Command requestedCommand = Command::Serve;
    std::string settingsFile;
};

void printHelp()
{
    std::cout
        << "usage: citronpitchd --settings FILE\n"
           "Runs one entry VM until SIGTERM; SIGHUP reloads FILE.\n"
           "  --print-settings            print the settings with all defaults and exit\n"
           "  --print-settings-reference  print the reference of all keys, docs/SETTINGS.md, and exit\n"
           "  --print-events              print the catalogue of events, docs/EVENTS.md, and exit\n"
           "  --initialize                initialize the data folder of a new VM and exit; only for a VM "
           "that\n"
           "                              never ran under its name, since a folder that was not initialized\n"
           "                              counts as lost memory\n"
           "  --help                      print this help and exit\n"
           "exit codes: 0 success, 1 failure, 2 invalid command line or settings\n";
}

int serveWithClaims(const Settings &settings, const std::string &path)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<int> {
            ClaimStoreOptions options;
            options.folder = settings.dataFolder;
            BOOST_LEAF_ASSIGN(auto claims, ClaimStore::open(options));
            Daemon daemon(settings, path, std::move(claims));
            return daemon.run() ? 0 : exitFailure;
        },
        [](const StepError &error) {
            logEvent(Event::StartFailed, {{"step", error.step}, {"error", error.text()}});
            return exitFailure;
        },
        [] { return exitFailure; });
}

int serve(const Settings &settings, const std::string &path)
{
    configureEventLog(settings.log);
    const EventLogThread logThread(STDOUT_FILENO);
    try {
        return serveWithClaims(settings, path);
    } catch (const std::exception &e) {
        logEvent(Event::StartFailed, {{"step", "listen"}, {"error", e.what()}});
        return exitFailure;
    }
}

int runWithSettings(const Arguments &arguments)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<int> {
            BOOST_LEAF_ASSIGN(const auto settings, loadSettings(arguments.settingsFile));
            if (arguments.requestedCommand == Command::PrintSettings) {
                std::cout << settings.completeJson << "\n";
                return 0;
            }
            if (arguments.requestedCommand == Command::Initialize) {
                BOOST_LEAF_CHECK(ClaimStore::initialize(settings.dataFolder));
                return 0;
            }
            return serve(settings, arguments.settingsFile);
        },
        [](const StepError &error) {
            std::cerr << "citronpitchd: " << error.text() << "\n";
            return exitUsage;
        },
        [](const std::exception &error) {
            std::cerr << "citronpitchd: " << error.what() << "\n";
            return exitFailure;
        },
        [] { return exitFailure; });
}

int run(const Arguments &arguments)
{
    switch (arguments.requestedCommand) {
    case Command::PrintHelp:
        printHelp();
        return 0;
    case Command::PrintSettingsReference:
        std::cout << settingsReferenceMarkdown();
        return 0;
    case Command::PrintEvents:
        std::cout << eventReferenceMarkdown();
        return 0;
    default:
        break;
    }
    if (arguments.settingsFile.empty()) {
        std::cerr << "citronpitchd: --settings FILE is missing\n";
        return exitUsage;
    }
    return runWithSettings(arguments);
}

} // namespace

int main(int argc, char **argv)
{
    const option options[] = {{"settings", required_argument, nullptr, 's'},
                              {"print-settings", no_argument, nullptr, 'p'},
                              {"print-settings-reference", no_argument, nullptr, 'r'},
                              {"print-events", no_argument, nullptr, 'e'},
                              {"initialize", no_argument, nullptr, 'i'},
                              {"help", no_argument, nullptr, 'h'},
                              {nullptr, 0, nullptr, 0}};
    Arguments arguments;
    for (int it = getopt_long(argc, argv, "s:h", options, nullptr); it != -1;
         it = getopt_long(argc, argv, "s:h", options, nullptr)) {
        if (it == 's')
            arguments.settingsFile = optarg;
        else if (it == 'p')
            arguments.requestedCommand = Command::PrintSettings;
        else if (it == 'r')
            arguments.requestedCommand = Command::PrintSettingsReference;
        else if (it == 'e')
            arguments.requestedCommand = Command::PrintEvents;
        else if (it == 'i')
            arguments.requestedCommand = Command::Initialize;
        else if (it == 'h')
            arguments.requestedCommand = Command::PrintHelp;
        else
            return exitUsage;
    }
    return run(arguments);
}
