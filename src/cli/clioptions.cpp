#include "cli/clioptions.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>

namespace Citronpitch {

namespace {

constexpr std::uint64_t largestPort = 65535;
constexpr std::uint64_t longestTimeMs = 86'400'000;
constexpr std::uint64_t wholeShare = 1'000'000;
constexpr std::uint64_t largestQuota = 10'000'000;

constexpr std::array entries{
    CliOptionEntry{CliOption::Help, "help", "", "print the help of the command"},
    CliOptionEntry{CliOption::Json, "json", "", "print one JSON document"},
    CliOptionEntry{CliOption::Vm, "vm", "ADDRESS[:PORT]",
                   "entry VM to ask; may be given several times, tried in order"},
    CliOptionEntry{CliOption::Timeout, "timeout-ms", "N", "give up after N ms (60000)"},
    CliOptionEntry{CliOption::TokenFile, "token-file", "FILE", "file with the operators' token"},
    CliOptionEntry{CliOption::Team, "team", "NAME", "team that the key belongs to"},
    CliOptionEntry{CliOption::Key, "key", "KEY", "idempotency key; a new one is made where none is given"},
    CliOptionEntry{CliOption::NoWait, "no-wait", "", "do not wait for the job's answer"},
    CliOptionEntry{CliOption::TargetMs, "target-ms", "N", "response time that meets the target, in ms"},
    CliOptionEntry{CliOption::SharePpm, "share-ppm", "N",
                   "share of the jobs that must meet it, in parts per million"},
    CliOptionEntry{CliOption::Quota, "quota", "N", "tasks in flight that the team may always have"},
    CliOptionEntry{CliOption::ChangeId, "change-id", "ID",
                   "id of the change; give the same again to ask again after a lost answer"},
    CliOptionEntry{CliOption::BasedOn, "based-on", "VERSION",
                   "version that the change is based on; the one in force where none is given"},
    CliOptionEntry{CliOption::Author, "author", "NAME", "who makes the change ($USER)"},
    CliOptionEntry{CliOption::Wait, "wait", "",
                   "wait for the answer, or until a change is in force in reach"},
    CliOptionEntry{CliOption::DryRun, "dry-run", "", "show the change and make none"},
    CliOptionEntry{CliOption::Html, "html", "FILE", "write the report as one HTML page as well"},
    CliOptionEntry{CliOption::Output, "output", "FOLDER", "folder for the files that are made"},
};

std::optional<std::uint64_t> parseNumber(std::string_view text, std::uint64_t smallest, std::uint64_t largest)
{
    std::uint64_t number = 0;
    const auto *end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, number);
    if (result.ec != std::errc() || result.ptr != end || number < smallest || number > largest)
        return std::nullopt;
    return number;
}

std::optional<VmAddress> parseVm(std::string_view text)
{
    const auto colon = text.rfind(':');
    const bool isBareVersion6 = colon != std::string_view::npos && text.find(':') != colon
        && (text.front() != '[' || text.back() == ']');
    const bool hasPort = colon != std::string_view::npos && !isBareVersion6;
    VmAddress vm{std::string(hasPort ? text.substr(0, colon) : text), {}};
    if (vm.address.size() > 2 && vm.address.front() == '[')
        vm.address = vm.address.substr(1, vm.address.size() - 2);
    if (vm.address.empty())
        return std::nullopt;
    if (!hasPort)
        return vm;
    const auto port = parseNumber(text.substr(colon + 1), 1, largestPort);
    if (!port)
        return std::nullopt;
    vm.port = static_cast<std::uint16_t>(*port);
    return vm;
}

bool setNumber(std::optional<std::uint32_t> &target, std::string_view value, std::uint64_t largest)
{
    const auto number = parseNumber(value, 0, largest);
    if (number)
        target = static_cast<std::uint32_t>(*number);
    return number.has_value();
}

bool setTime(Duration &target, std::string_view value)
{
    const auto number = parseNumber(value, 1, longestTimeMs);
    if (number)
        target = std::chrono::milliseconds(*number);
    return number.has_value();
}

bool setText(std::string &target, std::string_view value)
{
    target = value;
    return !target.empty();
}

} // namespace

std::span<const CliOptionEntry> cliOptionEntries()
{
    return entries;
}

const CliOptionEntry &entryOf(CliOption option)
{
    return *std::find_if(entries.begin(), entries.end(), [&](const auto &it) { return it.option == option; });
}

bool CliOptions::isGiven(CliOption option) const
{
    return std::find(given.begin(), given.end(), option) != given.end();
}

bool setOption(CliOptions &options, CliOption option, std::string_view value)
{
    options.given.push_back(option);
    switch (option) {
    case CliOption::Vm: {
        const auto vm = parseVm(value);
        if (vm)
            options.vms.push_back(*vm);
        return vm.has_value();
    }
    case CliOption::Timeout:
        return setTime(options.timeout, value);
    case CliOption::TokenFile:
        return setText(options.tokenFile, value);
    case CliOption::Team:
        return setText(options.team, value);
    case CliOption::Key:
        return setText(options.key, value);
    case CliOption::TargetMs:
        return setTime(options.targetTime.emplace(), value);
    case CliOption::SharePpm:
        return setNumber(options.targetShare, value, wholeShare);
    case CliOption::Quota:
        return setNumber(options.quotaTasks, value, largestQuota);
    case CliOption::ChangeId:
        return setText(options.changeId, value);
    case CliOption::BasedOn:
        options.basedOn = parseNumber(value, 0, std::numeric_limits<std::uint64_t>::max());
        return options.basedOn.has_value();
    case CliOption::Author:
        return setText(options.author, value);
    case CliOption::Html:
        return setText(options.htmlFile, value);
    case CliOption::Output:
        return setText(options.outputFolder, value);
    default:
        return true;
    }
}

} // namespace Citronpitch
