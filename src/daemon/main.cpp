#include "daemon/daemon.h"
#include "log/eventlog.h"

#include <getopt.h>

#include <iostream>

namespace {

constexpr int exitUsage = 2;
constexpr int exitFailure = 1;

void printHelp()
{
    std::cout << "usage: citronpitchd --settings FILE\n"
                 "Serves one entry VM until SIGTERM.\n";
}

int serve(const std::string &path)
{
    using namespace Citronpitch;
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<int> {
            BOOST_LEAF_ASSIGN(const auto settings, loadSettings(path));
            Daemon daemon(settings);
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
                              {"help", no_argument, nullptr, 'h'},
                              {nullptr, 0, nullptr, 0}};
    std::string path;
    for (int it = getopt_long(argc, argv, "s:h", options, nullptr); it != -1;
         it = getopt_long(argc, argv, "s:h", options, nullptr)) {
        if (it == 'h') {
            printHelp();
            return 0;
        }
        if (it != 's')
            return exitUsage;
        path = optarg;
    }
    if (path.empty()) {
        std::cerr << "citronpitchd: --settings FILE is missing\n";
        return exitUsage;
    }
    Citronpitch::setUpEventLog();
    try {
        return serve(path);
    } catch (const std::exception &e) {
        Citronpitch::logEvent(Citronpitch::Event::StartFailed, {{"step", "listen"}, {"error", e.what()}});
        return exitFailure;
    }
}
