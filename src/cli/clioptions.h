#pragma once

#include "citronpitch/timepoint.h"
#include "settings/settings.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Citronpitch {

/// Options of the command line.
enum class CliOption {
    Help,
    Json,
    Vm,
    Timeout,
    TokenFile,
    Team,
    Key,
    NoWait,
    TargetMs,
    SharePpm,
    Quota,
    ChangeId,
    BasedOn,
    Author,
    Wait,
    DryRun,
    Html,
    Output,
};

/// How one option is written and what it means.
struct CliOptionEntry
{
    CliOption option;
    const char *name;
    /// Name of its value; empty for an option without one.
    std::string_view value;
    std::string_view description;
};

/// Every option.
std::span<const CliOptionEntry> cliOptionEntries();

/// The entry of @p option.
const CliOptionEntry &entryOf(CliOption option);

/// An address given with --vm; without a port the command's own default is taken.
struct VmAddress
{
    std::string address;
    std::optional<std::uint16_t> port;
};

/// What the options of a command line said.
struct CliOptions
{
    /// Options that were given, in their order.
    std::vector<CliOption> given;
    std::vector<VmAddress> vms;
    Duration timeout = std::chrono::seconds(60);
    std::string tokenFile;
    std::string team;
    std::string key;
    std::optional<Duration> targetTime;
    std::optional<std::uint32_t> targetShare;
    std::optional<std::uint32_t> quotaTasks;
    std::string changeId;
    std::optional<std::uint64_t> basedOn;
    std::string author;
    std::string htmlFile;
    std::string outputFolder = ".";

    bool isGiven(CliOption option) const;
};

/// Sets @p option in @p options from @p value. Returns false where the value is malformed.
bool setOption(CliOptions &options, CliOption option, std::string_view value);

} // namespace Citronpitch
