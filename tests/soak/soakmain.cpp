// Soak of a fleet on loopback: runs seeds one after the other and keeps the logs of those that fail.
#include "soak/soakrun.h"

#include <getopt.h>

#include <cstdlib>
#include <iostream>
#include <string>
#include <unistd.h>

using namespace Citronpitch;

namespace {

constexpr int exitFailed = 1;
constexpr int exitUsage = 2;

struct SoakOptions
{
    std::string programs = "build";
    std::uint64_t seed = 1;
    std::uint64_t seeds = 1;
    std::chrono::seconds length{12};
    bool losesPower = false;
};

bool runSeed(const SoakOptions &options, std::uint64_t seed)
{
    const auto folder = std::filesystem::canonical(std::filesystem::temp_directory_path())
        / ("citronpitch-soak-" + std::to_string(getpid()) + "-" + std::to_string(seed));
    const auto plan = planSoak(seed, options.length, options.losesPower);
    SoakRun soak(options.programs, folder, plan);
    soak.run();
    const auto failures = soak.ledger().failures();
    const auto counts = soak.ledger().counts();
    std::cout << "soak: seed " << seed << ": " << (failures.empty() ? "passed" : "FAILED") << ", "
              << plan.steps.size() << " faults, " << counts.submitted << " submissions, " << counts.completed
              << " completed, " << counts.refused << " refused, " << counts.unknown << " unknown, "
              << counts.starts << " starts, " << counts.accepted << " configurations accepted, "
              << counts.reads << " reads, " << counts.crashes << " crashes of executors, " << counts.failed
              << " failed\n";
    for (const auto &it : failures)
        std::cout << "  " << it << "\n";
    if (failures.empty())
        std::filesystem::remove_all(folder);
    else
        std::cout << "  logs: " << folder.string() << "\n";
    std::cout.flush();
    return failures.empty();
}

} // namespace

int main(int argc, char **argv)
{
    const option options[] = {
        {"programs", required_argument, nullptr, 'p'}, {"seed", required_argument, nullptr, 's'},
        {"seeds", required_argument, nullptr, 'n'},    {"seconds", required_argument, nullptr, 't'},
        {"power-loss", no_argument, nullptr, 'l'},     {nullptr, 0, nullptr, 0}};
    SoakOptions chosen;
    for (int it = getopt_long(argc, argv, "", options, nullptr); it != -1;
         it = getopt_long(argc, argv, "", options, nullptr)) {
        switch (it) {
        case 'p':
            chosen.programs = optarg;
            break;
        case 's':
            chosen.seed = std::strtoull(optarg, nullptr, 10);
            break;
        case 'n':
            chosen.seeds = std::strtoull(optarg, nullptr, 10);
            break;
        case 't':
            chosen.length = std::chrono::seconds(std::strtoull(optarg, nullptr, 10));
            break;
        case 'l':
            chosen.losesPower = true;
            break;
        default:
            std::cerr << "usage: citronpitch-soak [--programs DIR] [--seed N] [--seeds COUNT] [--seconds N] "
                         "[--power-loss]\n";
            return exitUsage;
        }
    }
    bool hasPassed = true;
    for (std::uint64_t i = 0; i < chosen.seeds; ++i)
        hasPassed = runSeed(chosen, chosen.seed + i) && hasPassed;
    return hasPassed ? 0 : exitFailed;
}
