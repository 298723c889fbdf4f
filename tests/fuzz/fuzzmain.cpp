// Command-line fuzzer: runs all models, or the one given with --model, on one seed.
#include "fuzz/claimsmodel.h"
#include "fuzz/configurationmodel.h"

#include <getopt.h>

#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

namespace {

constexpr int exitUsage = 2;

Citronpitch::FuzzReport runClaims(std::uint64_t seed, std::uint64_t steps)
{
    return Citronpitch::fuzzClaims({seed, steps, {}, true});
}

Citronpitch::FuzzReport reportOf(const Citronpitch::FuzzResult &result)
{
    if (!result.hasPassed)
        return {false, result.failure};
    return {true,
            std::to_string(result.events) + " events, " + std::to_string(result.faults) + " faults injected, "
                + std::to_string(result.changesAccepted) + " changes accepted, "
                + std::to_string(result.changesRefused) + " refused"};
}

Citronpitch::FuzzReport runConfiguration(std::uint64_t seed, std::uint64_t steps)
{
    return reportOf(Citronpitch::fuzzConfiguration(seed, steps));
}

Citronpitch::FuzzReport runOpenMembership(std::uint64_t seed, std::uint64_t steps)
{
    return reportOf(Citronpitch::fuzzConfiguration(seed, steps, {}, true, 1));
}

Citronpitch::FuzzReport runTwoLosses(std::uint64_t seed, std::uint64_t steps)
{
    return reportOf(Citronpitch::fuzzConfiguration(seed, steps, {}, true, 2));
}

std::vector<Citronpitch::FuzzModel> models()
{
    return {{"claims", runClaims},
            {"configuration", runConfiguration},
            {"membership", runOpenMembership},
            {"losses", runTwoLosses}};
}

/// Prints one line of counters on success; the seed, the violation and the minimized sequence on failure.
bool runModel(const Citronpitch::FuzzModel &model, std::uint64_t seed, std::uint64_t steps)
{
    const auto report = model.run(seed, steps);
    if (report.hasPassed)
        std::cout << model.name << ": seed " << seed << ": " << report.text << "\n";
    else
        std::cout << model.name << ": FAILED with --seed " << seed << " --steps " << steps << "\n"
                  << report.text << "\n";
    return report.hasPassed;
}

} // namespace

int main(int argc, char **argv)
{
    const option options[] = {{"seed", required_argument, nullptr, 's'},
                              {"steps", required_argument, nullptr, 'n'},
                              {"model", required_argument, nullptr, 'm'},
                              {nullptr, 0, nullptr, 0}};
    std::uint64_t seed = 1;
    std::uint64_t steps = 10'000;
    std::string only;
    for (int it = getopt_long(argc, argv, "s:n:m:", options, nullptr); it != -1;
         it = getopt_long(argc, argv, "s:n:m:", options, nullptr)) {
        if (it == 's')
            seed = std::strtoull(optarg, nullptr, 10);
        else if (it == 'n')
            steps = std::strtoull(optarg, nullptr, 10);
        else if (it == 'm')
            only = optarg;
        else
            return exitUsage;
    }
    bool hasPassed = true;
    for (const auto &it : models()) {
        if (only.empty() || only == it.name)
            hasPassed = runModel(it, seed, steps) && hasPassed;
    }
    return hasPassed ? 0 : 1;
}
