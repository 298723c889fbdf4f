#include "log/event.h"

#include <algorithm>
#include <array>

namespace Citronpitch {

namespace {

/// Lines that lead from the id of a request to its cause.
constexpr std::uint32_t requestRepeatLimitMultiplier = 20;

constexpr std::array catalogue{
    EventDefinition{Event::Started, EventSeverity::Info, "started", "vm failureDomain",
                    "The daemon serves. Nothing to do."},
    EventDefinition{Event::Stopped, EventSeverity::Info, "stopped", "vm", "The daemon ends. Nothing to do."},
    EventDefinition{Event::DrainStarted, EventSeverity::Info, "shutting down gracefully", "vm",
                    "Readiness has fallen; new jobs are refused as not run, those in flight are finished."},
    EventDefinition{
        Event::DrainTimedOut, EventSeverity::Warning, "the graceful shutdown ran out of time", "vm",
        "Requests were still in flight after `drainTimeoutMs`. Their callers ask again with the same "
        "key. Raise the limit where jobs run longer."},
    EventDefinition{Event::StartFailed, EventSeverity::Error, "can't start", "step error",
                    "The daemon ended at once. The error names the step and the address or file."},
    EventDefinition{Event::SettingChanged, EventSeverity::Info, "setting changed", "key",
                    "The new value is in force."},
    EventDefinition{
        Event::SettingNeedsRestart, EventSeverity::Warning, "setting waits for a restart", "key",
        "The file has another value for the key than the one in force, which can't change while the "
        "daemon runs. Restart it when convenient."},
    EventDefinition{Event::SettingsRejected, EventSeverity::Error, "settings file refused", "error",
                    "The file that SIGHUP made the daemon read has errors; nothing changed. Run "
                    "`citronpitch settings check FILE`."},
    EventDefinition{
        Event::RepeatsSuppressed, EventSeverity::Warning, "repeats were not logged", "repeated count",
        "The named event came more than `log.repeatLimit` times in a window; so many were left out."},
    EventDefinition{Event::ListeningStopped, EventSeverity::Info, "no more connections are taken",
                    "vm inFlight",
                    "Second step of a graceful shutdown; the number of connections in flight is said."},
    EventDefinition{
        Event::MetricsUnavailable, EventSeverity::Error, "the metrics page can't be served", "address error",
        "The VM goes on without it. Another process may have the address; restart the VM once it is free."},
    EventDefinition{
        Event::UpstreamAnnounced, EventSeverity::Info, "upstream announced itself", "upstream address slots",
        "An upstream is new, or came back with a new incarnation or after its lease had expired."},
    EventDefinition{Event::UpstreamLeaving, EventSeverity::Info, "upstream is leaving", "upstream",
                    "It gets no new work; what it runs is waited for."},
    EventDefinition{
        Event::UpstreamExpired, EventSeverity::Warning, "upstream's lease expired", "upstream",
        "It has not renewed within `upstreamLeaseMs` and gets no new work. Look at the upstream and at "
        "the network between."},
    EventDefinition{Event::AnnouncementRejected, EventSeverity::Warning, "announcement refused", "peer error",
                    "An upstream's announcement is malformed. Its sender got the same text."},
    EventDefinition{Event::PeerMessageMalformed, EventSeverity::Warning,
                    "message of an entry VM is malformed and was dropped", "bytes",
                    "Something else than an entry VM speaks to the peers' port, or the versions differ."},
    EventDefinition{Event::PeerAlive, EventSeverity::Info, "entry VM is alive", "peer failureDomain",
                    "It was heard for the first time or again."},
    EventDefinition{
        Event::PeerSuspected, EventSeverity::Warning, "entry VM is out of reach", "peer failureDomain",
        "Nothing was heard of it for `suspicionMs`. Keys at home there are answered \"unknown\" here "
        "until it is heard again. See docs/OPERATIONS.md."},
    EventDefinition{Event::PeerLeaving, EventSeverity::Info, "entry VM is shutting down",
                    "peer failureDomain", "It said so in its heartbeat."},
    EventDefinition{Event::ConfigurationActivated, EventSeverity::Info, "configuration is in force",
                    "version", "This entry VM works by this version from now on."},
    EventDefinition{
        Event::ConfigurationLeader, EventSeverity::Info, "leader of the configuration changed", "leader term",
        "Changes are decided by that entry VM from now on. Nothing to do, unless it comes often."},
    EventDefinition{
        Event::ConfigurationStorageFailed, EventSeverity::Error,
        "the journal of the configuration can't be written", "error",
        "This entry VM no longer votes or learns; its other work goes on. Mend the disk and restart it."},
    EventDefinition{
        Event::ClaimsRecovered, EventSeverity::Info, "claims of earlier lives taken over", "records memory",
        "Memory is \"whole\", \"tail-may-be-lost\" after a loss of power or of the disk, or \"lost\"; "
        "but for "
        "the first, keys of that time are answered \"unknown\". See docs/decisions/claims.md."},
    EventDefinition{
        Event::ClaimStorageFailed, EventSeverity::Error, "the journal of claims can't be written", "error",
        "New keys are refused as not run; answers, forwarding and other work go on. Mend the disk and "
        "restart the VM."},
    EventDefinition{Event::CallerRequestRejected, EventSeverity::Warning,
                    "caller's request refused as malformed", "peer error",
                    "The caller got the same text; nothing was run."},
    EventDefinition{Event::DocumentActivated, EventSeverity::Info, "declared document is in force", "version",
                    "This VM works by it from now on."},
    EventDefinition{Event::DocumentUnreadable, EventSeverity::Error, "declared document can't be read",
                    "version",
                    "The one before stays in force here. The VMs run different versions of the program."},
    EventDefinition{Event::DocumentRejected, EventSeverity::Warning, "operator's document refused",
                    "version error", "The operator got the same text; nothing changed."},
    EventDefinition{
        Event::HolderAssigned, EventSeverity::Info, "leader gives a group to a holder",
        "group holder replacedFence",
        "The holder before is out of reach, shutting down, or held the group for another failure domain."},
    EventDefinition{Event::GroupAcquired, EventSeverity::Info, "this VM dispatches for a group",
                    "group fence upstreams", "It is the group's holder under the fencing token named."},
    EventDefinition{Event::GroupReleased, EventSeverity::Info, "this VM no longer dispatches for a group",
                    "group fence", "Another VM is its holder, or the jobs in flight have ended."},
    EventDefinition{Event::UpstreamFenceSuperseded, EventSeverity::Warning,
                    "an upstream obeys another holder", "group fence upstream",
                    "It has seen a higher fencing token. Jobs with runs there are answered as unknown."},
    EventDefinition{Event::JobNotCompleted, EventSeverity::Warning, "job was not completed",
                    "key outcome reason detail waitedMs",
                    "The caller got the outcome. The holder's log has the runs of the same key.",
                    requestRepeatLimitMultiplier},
    EventDefinition{Event::OrderUnanswered, EventSeverity::Warning, "an upstream did not answer an order",
                    "upstream order task run group",
                    "It may be carried out later; the task starts elsewhere once that is ruled out.",
                    requestRepeatLimitMultiplier},
};

} // namespace

std::span<const EventDefinition> eventCatalogue()
{
    return catalogue;
}

const EventDefinition &eventDefinition(Event event)
{
    const auto it = std::find_if(catalogue.begin(), catalogue.end(),
                                 [&](const auto &entry) { return entry.event == event; });
    return it == catalogue.end() ? catalogue.front() : *it;
}

} // namespace Citronpitch
