#include "statebench.h"

#include <getopt.h>

namespace {

constexpr int exitUsage = 2;

} // namespace

int main(int argc, char **argv)
{
    const option options[] = {{"folder", required_argument, nullptr, 'f'},
                              {"results", required_argument, nullptr, 'r'},
                              {"commit", required_argument, nullptr, 'c'},
                              {nullptr, 0, nullptr, 0}};
    Citronpitch::StateBenchOptions bench;
    for (int it = getopt_long(argc, argv, "f:r:c:", options, nullptr); it != -1;
         it = getopt_long(argc, argv, "f:r:c:", options, nullptr)) {
        if (it == 'f')
            bench.folder = optarg;
        else if (it == 'r')
            bench.resultFile = optarg;
        else if (it == 'c')
            bench.commit = optarg;
        else
            return exitUsage;
    }
    return Citronpitch::runStateBench(bench);
}
