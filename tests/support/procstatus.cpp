#include "support/procstatus.h"

#include <filesystem>
#include <fstream>
#include <string>

namespace Citronpitch {

std::size_t peakResidentBytes(pid_t process)
{
    constexpr std::size_t bytesPerKibibyte = 1024;
    std::ifstream file("/proc/" + std::to_string(process) + "/status");
    for (std::string word; file >> word;) {
        std::size_t kibibytes = 0;
        if (word == "VmHWM:" && file >> kibibytes)
            return kibibytes * bytesPerKibibyte;
    }
    return 0;
}

std::size_t openDescriptors(pid_t process)
{
    std::error_code ec;
    std::size_t n = 0;
    for (std::filesystem::directory_iterator it("/proc/" + std::to_string(process) + "/fd", ec), end;
         !ec && it != end; it.increment(ec))
        ++n;
    return n;
}

} // namespace Citronpitch
