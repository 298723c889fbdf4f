#include "loadbench.h"
#include "pathbench.h"
#include "slopesbench.h"
#include "statebench.h"

#include <getopt.h>

#include <array>
#include <cstdint>
#include <cstring>
#include <iostream>
#include <string>

namespace {

/// Command line of the program.
struct BenchArguments
{
    std::string programs = "build";
    std::string name;
    std::string scenario = "steady60";
    std::string site = "clydeside";
    std::uint64_t seed = 1;
};

void printUsage()
{
    std::cerr
        << "usage: citronpitch-bench [--programs FOLDER] path|slopes|state|load [--scenario NAME] [--site "
           "NAME] [--seed N]\n";
}

bool parseArguments(int argc, char **argv, BenchArguments &arguments)
{
    const std::array<option, 5> options{
        option{"programs", required_argument, nullptr, 'p'},
        option{"scenario", required_argument, nullptr, 's'}, option{"site", required_argument, nullptr, 't'},
        option{"seed", required_argument, nullptr, 'n'}, option{nullptr, 0, nullptr, 0}};
    for (int c = 0; (c = getopt_long(argc, argv, "", options.data(), nullptr)) != -1;) {
        if (c == 'p')
            arguments.programs = optarg;
        else if (c == 's')
            arguments.scenario = optarg;
        else if (c == 't')
            arguments.site = optarg;
        else if (c == 'n')
            arguments.seed = std::stoull(optarg);
        else
            return false;
    }
    if (optind + 1 != argc)
        return false;
    arguments.name = argv[optind];
    return true;
}

int runLoad(const BenchArguments &arguments)
{
    const auto *scenario = Citronpitch::findScenario(arguments.scenario);
    const auto site = Citronpitch::enumValue(Citronpitch::siteNames, arguments.site);
    if (scenario == nullptr || !site) {
        std::cerr << "citronpitch-bench: no scenario " << arguments.scenario << " or no site "
                  << arguments.site << "; scenarios:";
        for (const auto &it : Citronpitch::scenarioNames)
            std::cerr << " " << it.name;
        std::cerr << "\n";
        return 2;
    }
    return Citronpitch::runLoadBench({arguments.programs, *scenario, *site, arguments.seed});
}

int runBench(const BenchArguments &arguments)
{
    if (arguments.name == "path")
        return Citronpitch::runPathBench(arguments.programs);
    if (arguments.name == "slopes")
        return Citronpitch::runSlopesBench(arguments.programs);
    if (arguments.name == "state")
        return Citronpitch::runStateBench(arguments.programs + "/statebench");
    if (arguments.name == "load")
        return runLoad(arguments);
    printUsage();
    return 2;
}

} // namespace

int main(int argc, char **argv)
{
    BenchArguments arguments;
    try {
        if (!parseArguments(argc, argv, arguments)) {
            printUsage();
            return 2;
        }
        return runBench(arguments);
    } catch (const std::exception &e) {
        std::cerr << "citronpitch-bench: " << e.what() << "\n";
        return 1;
    }
}
