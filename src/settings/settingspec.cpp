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
                "Failure domain that this entry VM stands in; the same as in its entry of `vms`."},
    SettingSpec{"dataFolder", Kind::Text, R"("")", 0, maximumPathBytes, "", Reload::Restart,
                "Folder for all files of this entry VM. Empty: it has no disk, and nothing is kept over a "
                "restart."},
    SettingSpec{"callers", Kind::Object, "", 0, 0, "", Reload::Restart, "Where callers are listened for."},
    SettingSpec{"callers.address", Kind::Address, "", 0, 0, "", Reload::Restart, "IP number to listen on."},
    SettingSpec{"callers.port", Kind::Number, "", 1, maximumPortNumber, "", Reload::Restart,
                "Port to listen on."},
    SettingSpec{"control", Kind::Object, "", 0, 0, "", Reload::Restart,
                "Where upstreams and operators are listened for."},
    SettingSpec{"control.address", Kind::Address, "", 0, 0, "", Reload::Restart, "IP number to listen on."},
    SettingSpec{"control.port", Kind::Number, "", 1, maximumPortNumber, "", Reload::Restart,
                "Port to listen on."},
    SettingSpec{"peers", Kind::Object, "", 0, 0, "", Reload::Restart,
                "Where the other entry VMs are listened for."},
    SettingSpec{"peers.address", Kind::Address, "", 0, 0, "", Reload::Restart, "IP number to listen on."},
    SettingSpec{"peers.port", Kind::Number, "", 1, maximumPortNumber, "", Reload::Restart,
                "Port to listen on."},
    SettingSpec{"vms", Kind::List, "", 1, 1000, "", Reload::Restart,
                "Every entry VM, this one included, in the same order on each."},
    SettingSpec{"vms[].name", Kind::Name, "", 1, maximumNameBytes, "", Reload::Restart,
                "Name of the entry VM."},
    SettingSpec{"vms[].failureDomain", Kind::Name, "", 1, maximumNameBytes, "", Reload::Restart,
                "Failure domain it stands in."},
    SettingSpec{
        "vms[].disk", Kind::Boolean, "true", 0, 0, "", Reload::Restart,
        "Whether it has a data folder; only such a VM is home to keys without a date. Must be the same on "
        "each VM, and may not change while callers may resubmit such keys."},
    SettingSpec{"vms[].voter", Kind::Boolean, "true", 0, 0, "", Reload::Restart,
                "Whether it votes on the replicated configuration; such a VM needs a data folder."},
    SettingSpec{"vms[].peers", Kind::Object, "", 0, 0, "", Reload::Restart,
                "Where its link for other entry VMs is reached from here."},
    SettingSpec{"vms[].peers.address", Kind::Address, "", 0, 0, "", Reload::Restart, "IP number."},
    SettingSpec{"vms[].peers.port", Kind::Number, "", 1, maximumPortNumber, "", Reload::Restart, "Port."},
    SettingSpec{"limits", Kind::Object, "{}", 0, 0, "", Reload::Signal,
                "Limits on HTTP connections, of callers and on the control port."},
    SettingSpec{"limits.maximumBodyBytes", Kind::Number, "8388608", 100, 1'073'741'824, "bytes",
                Reload::Signal, "Largest request body; a larger one gets status 413."},
    SettingSpec{"limits.maximumBodyBytesInAll", Kind::Number, "268435456", 100, 1'099'511'627'776, "bytes",
                Reload::Signal,
                "Largest sum of the request bodies being read at one time; one more gets status 503."},
    SettingSpec{"limits.maximumHeaderBytes", Kind::Number, "16384", 1024, 1'048'576, "bytes", Reload::Signal,
                "Largest request header; a larger one gets status 431."},
    SettingSpec{"limits.maximumConnections", Kind::Number, "10000", 1, 1'000'000, "connections",
                Reload::Signal, "Open connections in all; more are refused."},
    SettingSpec{"limits.maximumConnectionsPerAddress", Kind::Number, "4000", 1, 1'000'000, "connections",
                Reload::Signal, "Open connections of one IP number; more are refused."},
    SettingSpec{"limits.idleTimeoutMs", Kind::Number, "60000", 100, millisecondsPerDay, "ms", Reload::Signal,
                "An idle connection is closed after this time."},
    SettingSpec{"limits.readTimeoutMs", Kind::Number, "10000", 100, millisecondsPerDay, "ms", Reload::Signal,
                "A request must arrive, and a response be taken, within this time."},
    SettingSpec{"heartbeatMs", Kind::Number, "250", 10, 60'000, "ms", Reload::Restart,
                "Time between heartbeats to the other entry VMs."},
    SettingSpec{"suspicionMs", Kind::Number, "1500", 20, 600'000, "ms", Reload::Restart,
                "Silence after which an entry VM counts as out of reach; at least twice `heartbeatMs`."},
    SettingSpec{"upstreamLeaseMs", Kind::Number, "2000", 100, 600'000, "ms", Reload::Signal,
                "An upstream gets no new work this long after its last announcement."},
    SettingSpec{"answerRetentionMs", Kind::Number, "3600000", 1000, 30 * millisecondsPerDay, "ms",
                Reload::Restart, "How long answers are kept for resubmissions."},
    SettingSpec{"keyAgeMs", Kind::Number, "3600000", 1000, 30 * millisecondsPerDay, "ms", Reload::Restart,
                "A key that carries an older date and is not known is never started."},
    SettingSpec{"clockSkewMs", Kind::Number, "2000", 1, 600'000, "ms", Reload::Restart,
                "Most by which two clocks of the deployment differ, and by which one is ever set back."},
    SettingSpec{"defaultDeadlineMs", Kind::Number, "30000", 1, millisecondsPerDay, "ms", Reload::Signal,
                "Deadline of a job that names none, counted from its arrival."},
    SettingSpec{"drainTimeoutMs", Kind::Number, "30000", 0, millisecondsPerDay, "ms", Reload::Signal,
                "Longest time that a graceful shutdown takes."},
    SettingSpec{
        "placement", Kind::Choice, R"("target")", 0, 0, "", Reload::Restart,
        "How waiting tasks are ordered and upstreams chosen; other than the default only for comparison.",
        "target|round-robin|random|least-outstanding"},
    SettingSpec{"log", Kind::Object, "{}", 0, 0, "", Reload::Signal, "What is logged, and how."},
    SettingSpec{"log.format", Kind::Choice, R"("text")", 0, 0, "", Reload::Signal,
                "One line of text, or one JSON object, for each event.", "text|json-lines"},
    SettingSpec{"log.level", Kind::Choice, R"("info")", 0, 0, "", Reload::Signal,
                "The least severe events that are logged.", "info|warning|error"},
    SettingSpec{"log.repeatLimit", Kind::Number, "10", 1, 1'000'000, "lines", Reload::Signal,
                "Lines of one event within `log.repeatWindowMs`; more are counted, and the count is logged."},
    SettingSpec{"log.repeatWindowMs", Kind::Number, "10000", 100, millisecondsPerDay, "ms", Reload::Signal,
                "Window of `log.repeatLimit`."},
    SettingSpec{"initialConfiguration", Kind::Object, "{}", 0, 0, "", Reload::Restart,
                "Classes and teams in force until operators change them; the same on each entry VM."},
    SettingSpec{"initialConfiguration.classes", Kind::List, "[]", 0, 10'000, "", Reload::Restart,
                "Classes of work."},
    SettingSpec{"initialConfiguration.classes[].name", Kind::Name, "", 1, maximumNameBytes, "",
                Reload::Restart, "Name of the class."},
    SettingSpec{"initialConfiguration.classes[].targetSharePpm", Kind::Number, "990000", 1, 1'000'000,
                "parts per million", Reload::Restart,
                "Share of the jobs that must be answered within the target time."},
    SettingSpec{"initialConfiguration.classes[].targetTimeMs", Kind::Number, "1000", 1, millisecondsPerDay,
                "ms", Reload::Restart, "Longest response time that meets the target."},
    SettingSpec{"initialConfiguration.teams", Kind::List, "[]", 0, 100'000, "", Reload::Restart,
                "Teams of callers. With none, every team is taken."},
    SettingSpec{"initialConfiguration.teams[].name", Kind::Name, "", 1, maximumNameBytes, "", Reload::Restart,
                "Name of the team."},
    SettingSpec{"initialConfiguration.teams[].quotaTasks", Kind::Number, "0", 0, 10'000'000, "tasks",
                Reload::Restart, "Tasks in flight that the team may always have."},
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
        return "an IP number";
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
