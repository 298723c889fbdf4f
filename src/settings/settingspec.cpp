#include "settings/settingspec.h"

#include <algorithm>
#include <array>

namespace Citronpitch {

namespace {

using Kind = SettingKind;
using Reload = SettingReload;

constexpr std::uint64_t millisecondsPerDay = 86'400'000;
constexpr std::uint64_t maximumNameBytes = 64;
constexpr std::uint64_t maximumPathBytes = 4096;
constexpr std::uint64_t maximumPortNumber = 65535;

constexpr std::array specs{
    SettingSpec{"name", Kind::Name, "", 1, maximumNameBytes, "", Reload::Restart,
                "Name of this entry VM; one of `vms`."},
    SettingSpec{"failureDomain", Kind::Name, "", 1, maximumNameBytes, "", Reload::Restart,
                "Failure domain of this entry VM; the same as in its entry of `vms`."},
    SettingSpec{"dataFolder", Kind::Text, R"("")", 0, maximumPathBytes, "", Reload::Restart,
                "Folder for all files of this entry VM. If empty, it has no disk and keeps no state across "
                "restarts."},
    SettingSpec{"callers", Kind::Object, "", 0, 0, "", Reload::Restart, "Listen address for callers."},
    SettingSpec{"callers.address", Kind::Address, "", 0, 0, "", Reload::Restart, "IP address to listen on."},
    SettingSpec{"callers.port", Kind::Number, "", 1, maximumPortNumber, "", Reload::Restart,
                "Port to listen on."},
    SettingSpec{"control", Kind::Object, "", 0, 0, "", Reload::Restart,
                "Listen address for upstreams and operators."},
    SettingSpec{"control.address", Kind::Address, "", 0, 0, "", Reload::Restart, "IP address to listen on."},
    SettingSpec{"control.port", Kind::Number, "", 1, maximumPortNumber, "", Reload::Restart,
                "Port to listen on."},
    SettingSpec{"peers", Kind::Object, "", 0, 0, "", Reload::Restart,
                "Listen address for the other entry VMs."},
    SettingSpec{"peers.address", Kind::Address, "", 0, 0, "", Reload::Restart, "IP address to listen on."},
    SettingSpec{"peers.port", Kind::Number, "", 1, maximumPortNumber, "", Reload::Restart,
                "Port to listen on."},
    SettingSpec{"vms", Kind::List, "", 1, 1000, "", Reload::Restart,
                "All entry VMs, including this one, in the same order on each VM."},
    SettingSpec{"vms[].name", Kind::Name, "", 1, maximumNameBytes, "", Reload::Restart,
                "Name of the entry VM."},
    SettingSpec{"vms[].failureDomain", Kind::Name, "", 1, maximumNameBytes, "", Reload::Restart,
                "Failure domain of the entry VM."},
    SettingSpec{"vms[].disk", Kind::Boolean, "true", 0, 0, "", Reload::Restart,
                "Whether the VM has a data folder; only such a VM can be home to keys without a date. Must "
                "be the same on each VM, and must not change while callers may resubmit such keys."},
    SettingSpec{"vms[].voter", Kind::Boolean, "true", 0, 0, "", Reload::Restart,
                "Whether the VM is a voter of the replicated configuration; a voter needs a data folder."},
    SettingSpec{"vms[].peers", Kind::Object, "", 0, 0, "", Reload::Restart,
                "Address on which this VM reaches its link for other entry VMs."},
    SettingSpec{"vms[].peers.address", Kind::Address, "", 0, 0, "", Reload::Restart, "IP address."},
    SettingSpec{"vms[].peers.port", Kind::Number, "", 1, maximumPortNumber, "", Reload::Restart, "Port."},
    SettingSpec{"limits", Kind::Object, "{}", 0, 0, "", Reload::Signal,
                "Limits on HTTP connections of callers and on the control port."},
    SettingSpec{"limits.maximumBodyBytes", Kind::Number, "8388608", 100, 1'073'741'824, "bytes",
                Reload::Signal, "Maximum size of a request body; a larger one gets status 413."},
    SettingSpec{"limits.maximumBodyBytesInAll", Kind::Number, "268435456", 100, 1'099'511'627'776, "bytes",
                Reload::Signal,
                "Maximum total size of the request bodies that are being read at the same time; a request "
                "beyond it gets status 503."},
    SettingSpec{
        "limits.maximumIncompleteBytes", Kind::Number, "268435456", 65'536, 1'099'511'627'776, "bytes",
        Reload::Signal,
        "Maximum memory that incomplete requests and unread responses of all connections hold together; "
        "beyond it the largest request gets status 503, or the largest response is cut off."},
    SettingSpec{"limits.maximumHeaderBytes", Kind::Number, "16384", 1024, 1'048'576, "bytes", Reload::Signal,
                "Maximum size of a request header, and of the trailers of a chunked request; larger ones get "
                "status 431."},
    SettingSpec{"limits.maximumConnections", Kind::Number, "10000", 1, 1'000'000, "connections",
                Reload::Signal, "Maximum number of open connections; further ones are rejected."},
    SettingSpec{"limits.maximumConnectionsPerAddress", Kind::Number, "4000", 1, 1'000'000, "connections",
                Reload::Signal,
                "Maximum number of open connections from one IP address; further ones are rejected."},
    SettingSpec{"limits.idleTimeoutMs", Kind::Number, "60000", 100, millisecondsPerDay, "ms", Reload::Signal,
                "Time after which an idle connection is closed."},
    SettingSpec{"limits.readTimeoutMs", Kind::Number, "10000", 100, millisecondsPerDay, "ms", Reload::Signal,
                "Time-out of reading a request and of writing a response."},
    SettingSpec{"heartbeatMs", Kind::Number, "250", 10, 60'000, "ms", Reload::Restart,
                "Interval of heartbeats to the other entry VMs."},
    SettingSpec{
        "suspicionMs", Kind::Number, "1500", 20, 600'000, "ms", Reload::Restart,
        "Time without a heartbeat after which an entry VM is suspected; at least twice `heartbeatMs`."},
    SettingSpec{"upstreamLeaseMs", Kind::Number, "2000", 100, 600'000, "ms", Reload::Signal,
                "Lease of an upstream; it gets no new tasks this long after its last announcement."},
    SettingSpec{"answerRetentionMs", Kind::Number, "3600000", 1000, 30 * millisecondsPerDay, "ms",
                Reload::Restart, "Time for which answers are kept for resubmissions."},
    SettingSpec{"keyAgeMs", Kind::Number, "3600000", 1000, 30 * millisecondsPerDay, "ms", Reload::Restart,
                "Maximum age of an unknown key; a job with an older dated key is never started."},
    SettingSpec{
        "clockSkewMs", Kind::Number, "2000", 1, 600'000, "ms", Reload::Restart,
        "Maximum difference between two clocks of the deployment, and maximum by which a clock is set back."},
    SettingSpec{"defaultDeadlineMs", Kind::Number, "30000", 1, millisecondsPerDay, "ms", Reload::Signal,
                "Default deadline of a job, relative to its arrival."},
    SettingSpec{"drainTimeoutMs", Kind::Number, "30000", 0, millisecondsPerDay, "ms", Reload::Signal,
                "Maximum duration of a graceful shutdown."},
    SettingSpec{
        "placement", Kind::Choice, R"("target")", 0, 0, "", Reload::Restart,
        "Policy that orders waiting tasks and selects upstreams; the others are baselines for comparison.",
        "target|round-robin|random|least-outstanding"},
    SettingSpec{"log", Kind::Object, "{}", 0, 0, "", Reload::Signal,
                "Format, level and rate limit of the log."},
    SettingSpec{"log.format", Kind::Choice, R"("text")", 0, 0, "", Reload::Signal,
                "Format of each event: a line of text, or a JSON object on one line.", "text|json-lines"},
    SettingSpec{"log.level", Kind::Choice, R"("info")", 0, 0, "", Reload::Signal,
                "Minimum severity of logged events.", "debug|info|warning|error"},
    SettingSpec{"log.repeatLimit", Kind::Number, "10", 1, 1'000'000, "lines", Reload::Signal,
                "Maximum number of lines of one event per `log.repeatWindowMs`; the number of suppressed "
                "lines is logged."},
    SettingSpec{"log.repeatWindowMs", Kind::Number, "10000", 100, millisecondsPerDay, "ms", Reload::Signal,
                "Length of the window of `log.repeatLimit`."},
    SettingSpec{"initialConfiguration", Kind::Object, "{}", 0, 0, "", Reload::Restart,
                "Classes and teams until operators change them; must be the same on each entry VM."},
    SettingSpec{"initialConfiguration.classes", Kind::List, "[]", 0, 10'000, "", Reload::Restart,
                "Classes of work."},
    SettingSpec{"initialConfiguration.classes[].name", Kind::Name, "", 1, maximumNameBytes, "",
                Reload::Restart, "Name of the class."},
    SettingSpec{"initialConfiguration.classes[].targetSharePpm", Kind::Number, "990000", 1, 1'000'000,
                "parts per million", Reload::Restart,
                "Target share of jobs that are answered within the target time."},
    SettingSpec{"initialConfiguration.classes[].targetTimeMs", Kind::Number, "1000", 1, millisecondsPerDay,
                "ms", Reload::Restart, "Response time that counts as within the target."},
    SettingSpec{"initialConfiguration.teams", Kind::List, "[]", 0, 100'000, "", Reload::Restart,
                "Teams of callers. If empty, every team is accepted."},
    SettingSpec{"initialConfiguration.teams[].name", Kind::Name, "", 1, maximumNameBytes, "", Reload::Restart,
                "Name of the team."},
    SettingSpec{"initialConfiguration.teams[].quotaTasks", Kind::Number, "0", 0, 10'000'000, "tasks",
                Reload::Restart, "Number of tasks in flight that the team is always allowed."},
};

std::string rangeText(const SettingSpec &spec)
{
    std::string text = "from " + std::to_string(spec.minimum) + " to " + std::to_string(spec.maximum);
    if (!spec.unit.empty())
        text += " " + std::string(spec.unit);
    return text;
}

std::string choicesText(std::string_view choices)
{
    std::string text = "one of \"";
    for (const char it : choices)
        text += it == '|' ? std::string("\", \"") : std::string(1, it);
    return text + "\"";
}

} // namespace

bool SettingSpec::isRequired() const
{
    return defaultValue.empty();
}

std::string_view SettingSpec::parent() const
{
    const auto dot = key.rfind('.');
    return dot == std::string_view::npos ? std::string_view() : key.substr(0, dot);
}

std::string_view SettingSpec::name() const
{
    const auto dot = key.rfind('.');
    return dot == std::string_view::npos ? key : key.substr(dot + 1);
}

std::string SettingSpec::allowedValues() const
{
    switch (kind) {
    case SettingKind::Object:
        return "an object";
    case SettingKind::List:
        return "a list with " + std::to_string(minimum) + " to " + std::to_string(maximum) + " entries";
    case SettingKind::Text:
        return "a text of at most " + std::to_string(maximum) + " bytes";
    case SettingKind::Name:
        return "a name of 1 to " + std::to_string(maximum)
            + " letters, digits, dots, hyphens and underscores";
    case SettingKind::Address:
        return "an IP address";
    case SettingKind::Number:
        return "a whole number " + rangeText(*this);
    case SettingKind::Boolean:
        return "true or false";
    case SettingKind::Choice:
        return choicesText(choices);
    }
    return {};
}

std::span<const SettingSpec> settingSpecs()
{
    return specs;
}

const SettingSpec *findSettingSpec(std::string_view key)
{
    const auto it =
        std::find_if(specs.begin(), specs.end(), [&](const auto &spec) { return spec.key == key; });
    return it == specs.end() ? nullptr : &*it;
}

std::vector<const SettingSpec *> childSettingSpecs(std::string_view parent)
{
    std::vector<const SettingSpec *> children;
    for (const auto &it : specs) {
        if (it.parent() == parent)
            children.push_back(&it);
    }
    return children;
}

} // namespace Citronpitch
