#include "daemon/daemon.h"
#include "log/eventlog.h"

#include <getopt.h>

#include <iostream>

namespace {

constexpr int exitUsage = 2;
constexpr int exitFailure = 1;

void printHelp()
{
    std::cout
        << "usage: citronpitchd --settings FILE [--initialize]\n"
           "Serves one entry VM until SIGTERM. With --initialize: prepares the data folder of a VM that\n"
           "never lived before under its name, and ends. A VM that starts with a folder that was never\n"
           "prepared takes it that its memory is lost.\n";
}

int serve(const std::string &path, bool isInitializing)
{
    using namespace Citronpitch;
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<int> {
            BOOST_LEAF_ASSIGN(const auto settings, loadSettings(path));
            if (isInitializing) {
                BOOST_LEAF_CHECK(ClaimStore::initialize(settings.dataFolder));
                return 0;
            }
            ClaimStoreOptions options;
            options.folder = settings.dataFolder;
            BOOST_LEAF_ASSIGN(auto claims, ClaimStore::open(options));
            Daemon daemon(settings, std::move(claims));
            return daemon.run();
        },
        [](const StepError &error) {
            logEvent(Event::StartFailed, {{"error", error.text()}});
            return exitFailure;
        },
        [] { return exitFailure; });
}

} // namespace

int main(int argc, char **argv)
{
    const option options[] = {{"settings", required_argument, nullptr, 's'},
                              {"initialize", no_argument, nullptr, 'i'},
                              {"help", no_argument, nullptr, 'h'},
                              {nullptr, 0, nullptr, 0}};
    std::string path;
    bool isInitializing = false;
    for (int it = getopt_long(argc, argv, "s:ih", options, nullptr); it != -1;
         it = getopt_long(argc, argv, "s:ih", options, nullptr)) {
        if (it == 'h') {
            printHelp();
            return 0;
        }
        if (it == 's')
            path = optarg;
        else if (it == 'i')
            isInitializing = true;
        else
            return exitUsage;
    }
    if (path.empty()) {
        std::cerr << "citronpitchd: --settings FILE is missing\n";
        return exitUsage;
    }
    Citronpitch::setUpEventLog();
    try {
        return serve(path, isInitializing);
    } catch (const std::exception &e) {
        Citronpitch::logEvent(Citronpitch::Event::StartFailed, {{"step", "listen"}, {"error", e.what()}});
        return exitFailure;
    }
}
