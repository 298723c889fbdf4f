#include "slopesbench.h"

#include "configurationslopes.h"
#include "controlslopes.h"
#include "memoryslopes.h"
#include "processorslopes.h"
#include "report.h"

#include <cstdio>

namespace Citronpitch {

namespace {

void add(nlohmann::json &report, const std::vector<MeasuredSlope> &slopes)
{
    for (const auto &it : slopes) {
        std::puts(lineOf(it).c_str());
        report["slopes"].push_back(toJson(it));
    }
    std::fflush(stdout);
}

} // namespace

int runSlopesBench(const std::string &programs)
{
    nlohmann::json report{{"slopes", nlohmann::json::array()}};
    add(report, measureMemorySlopes(programs));
    add(report, measureProcessorSlopes(programs));
    add(report, measureControlSlopes(programs));
    add(report, measureConfigurationSlopes(programs));
    writeReport("slopes", report);
    return 0;
}

} // namespace Citronpitch
