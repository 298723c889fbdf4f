#include "report.h"

#include <array>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <memory>
#include <thread>

namespace Citronpitch {

namespace {

std::string outputOf(const char *command)
{
    const std::unique_ptr<FILE, int (*)(FILE *)> pipe(popen(command, "r"), pclose);
    if (!pipe)
        return "unknown";
    std::array<char, 256> buf{};
    std::string text;
    while (std::fgets(buf.data(), static_cast<int>(buf.size()), pipe.get()) != nullptr)
        text += buf.data();
    while (!text.empty() && text.back() == '\n')
        text.pop_back();
    return text;
}

std::string currentDate()
{
    const auto now = std::chrono::system_clock::to_time_t(std::chrono::system_clock::now());
    std::tm parts{};
    gmtime_r(&now, &parts);
    std::array<char, 32> buf{};
    const auto n = std::strftime(buf.data(), buf.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
    return {buf.data(), n};
}

double loadAverage()
{
    std::ifstream file("/proc/loadavg");
    double load = 0;
    file >> load;
    return load;
}

} // namespace

void writeReport(const std::string &name, nlohmann::json content)
{
    content["commit"] = outputOf("git describe --always --dirty --exclude '*' 2>/dev/null");
    content["cores"] = std::thread::hardware_concurrency();
    content["date"] = currentDate();
    content["loadAverageAtEnd"] = loadAverage();
    writeResultFile(name + ".json", content.dump(2) + "\n");
}

void writeResultFile(const std::string &name, const std::string &text)
{
    std::filesystem::create_directories(resultsFolder);
    std::ofstream(std::string(resultsFolder) + "/" + name) << text;
}

} // namespace Citronpitch
