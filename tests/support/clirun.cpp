#include "support/clirun.h"

#include "support/childprocess.h"

#include <filesystem>
#include <fstream>
#include <sstream>
#include <unistd.h>

namespace Citronpitch {

nlohmann::json CliRun::json() const
{
    const auto start = output.find("{\n");
    const auto end = output.rfind("\n}");
    if (start == std::string::npos || end == std::string::npos)
        return nullptr;
    return nlohmann::json::parse(output.substr(start, end + 2 - start), nullptr, false);
}

CliRun runCli(const std::string &programs, const std::vector<std::string> &arguments)
{
    static int runs = 0;
    const auto outputFile =
        programs + "/cli-" + std::to_string(::getpid()) + "-" + std::to_string(runs++) + ".output";
    CliRun run;
    ChildProcess process(programs + "/citronpitch", arguments, outputFile);
    run.exitCode = process.wait();
    std::ostringstream text;
    text << std::ifstream(outputFile).rdbuf();
    run.output = text.str();
    std::filesystem::remove(outputFile);
    return run;
}

} // namespace Citronpitch
