#include "log/event.h"

#include <algorithm>
#include <array>

namespace Citronpitch {

namespace {

/// Lines that lead from the id of a request to its cause.
constexpr std::uint32_t requestLines = 20;

constexpr std::array catalogue{
    EventEntry{Event::Started, EventLevel::Info, "started", "vm failureDomain",
               "The daemon serves. Nothing to do."},
    EventEntry{Event::Stopped, EventLevel::Info, "stopped", "vm", "The daemon ends. Nothing to do."},
    EventEntry{Event::DrainStarted, EventLevel::Info, "shutting down gracefully", "vm",
               "Readiness has fallen; new jobs are refused as not run, those in flight are finished."},
    EventEntry{Event::DrainTimedOut, EventLevel::Warning, "the graceful shutdown ran out of time", "vm",
               "Requests were still in flight after `drainTimeoutMs`. Their callers ask again with the same "
               "key. Raise the limit where jobs run longer."},
    EventEntry{Event::StartFailed, EventLevel::Error, "can't start", "step error",
               "The daemon ended at once. The error names the step and the address or file."},
    EventEntry{Event::SettingsReloaded, EventLevel::Info, "setting changed", "key",
               "The new value is in force."},
    EventEntry{Event::SettingsWaitForRestart, EventLevel::Warning, "setting waits for a restart", "key",
               "The file has another value for the key than the one in force, which can't change while the "
               "daemon runs. Restart it when convenient."},
    EventEntry{Event::SettingsRefused, EventLevel::Error, "settings file refused", "error",
               "The file that SIGHUP made the daemon read has errors; nothing changed. Run "
               "`citronpitch settings check FILE`."},
    EventEntry{Event::RepeatsSuppressed, EventLevel::Warning, "repeats were not logged", "repeated count",
               "The named event came more than `log.repeatLimit` times in a window; so many were left out."},
    EventEntry{Event::ListeningStopped, EventLevel::Info, "no more connections are taken", "vm inFlight",
               "Second step of a graceful shutdown; the number of connections in flight is said."},
    EventEntry{
        Event::MetricsUnavailable, EventLevel::Error, "the metrics page can't be served", "address error",
        "The VM goes on without it. Another process may have the address; restart the VM once it is free."},
    EventEntry{Event::UpstreamAnnounced, EventLevel::Info, "upstream announced itself",
               "upstream address slots",
               "An upstream is new, or came back with a new incarnation or after its lease had expired."},
    EventEntry{Event::UpstreamLeaving, EventLevel::Info, "upstream is leaving", "upstream",
               "It gets no new work; what it runs is waited for."},
    EventEntry{
        Event::UpstreamExpired, EventLevel::Warning, "upstream's lease expired", "upstream",
        "It has not renewed within `upstreamLeaseMs` and gets no new work. Look at the upstream and at "
        "the network between."},
    EventEntry{Event::AnnouncementRefused, EventLevel::Warning, "announcement refused", "peer error",
               "An upstream's announcement is malformed. Its sender got the same text."},
    EventEntry{Event::PeerMessageMalformed, EventLevel::Warning,
               "message of an entry VM is malformed and was dropped", "bytes",
               "Something else than an entry VM speaks to the peers' port, or the versions differ."},
    EventEntry{Event::PeerAlive, EventLevel::Info, "entry VM is alive", "peer failureDomain",
               "It was heard for the first time or again."},
    EventEntry{Event::PeerSuspected, EventLevel::Warning, "entry VM is out of reach", "peer failureDomain",
               "Nothing was heard of it for `suspicionMs`. Keys at home there are answered \"unknown\" here "
               "until it is heard again. See docs/OPERATIONS.md."},
    EventEntry{Event::PeerLeaving, EventLevel::Info, "entry VM is shutting down", "peer failureDomain",
               "It said so in its heartbeat."},
    EventEntry{Event::ConfigurationInForce, EventLevel::Info, "configuration is in force", "version",
               "This entry VM works by this version from now on."},
    EventEntry{Event::ConfigurationLeader, EventLevel::Info, "leader of the configuration changed",
               "leader term",
               "Changes are decided by that entry VM from now on. Nothing to do, unless it comes often."},
    EventEntry{
        Event::ConfigurationStorageFailed, EventLevel::Error,
        "the journal of the configuration can't be written", "error",
        "This entry VM no longer votes or learns; its other work goes on. Mend the disk and restart it."},
    EventEntry{Event::ClaimsRecovered, EventLevel::Info, "claims of earlier lives taken over",
               "records memory",
               "Memory is \"whole\", \"tail-may-be-lost\" after a loss of power or of the disk, or \"lost\"; "
               "but for "
               "the first, keys of that time are answered \"unknown\". See docs/decisions/claims.md."},
    EventEntry{Event::ClaimStorageFailed, EventLevel::Error, "the journal of claims can't be written",
               "error",
               "New keys are refused as not run; answers, forwarding and other work go on. Mend the disk and "
               "restart the VM."},
    EventEntry{Event::CallerInputRefused, EventLevel::Warning, "caller's request refused as malformed",
               "peer error", "The caller got the same text; nothing was run."},
    EventEntry{Event::DocumentInForce, EventLevel::Info, "declared document is in force", "version",
               "This VM works by it from now on."},
    EventEntry{Event::DocumentUnreadable, EventLevel::Error, "declared document can't be read", "version",
               "The one before stays in force here. The VMs run different versions of the program."},
    EventEntry{Event::DocumentRefused, EventLevel::Warning, "operator's document refused", "version error",
               "The operator got the same text; nothing changed."},
    EventEntry{
        Event::HolderAssigned, EventLevel::Info, "leader gives a group to a holder",
        "group holder replacedFence",
        "The holder before is out of reach, shutting down, or held the group for another failure domain."},
    EventEntry{Event::GroupTaken, EventLevel::Info, "this VM dispatches for a group", "group fence upstreams",
               "It is the group's holder under the fencing token named."},
    EventEntry{Event::GroupGivenUp, EventLevel::Info, "this VM no longer dispatches for a group",
               "group fence", "Another VM is its holder, or the jobs in flight have ended."},
    EventEntry{Event::UpstreamTakenOver, EventLevel::Warning, "an upstream obeys another holder",
               "group fence upstream",
               "It has seen a higher fencing token. Jobs with runs there are answered as unknown."},
    EventEntry{Event::JobNotServed, EventLevel::Warning, "job was not completed",
               "key outcome reason detail waitedMs",
               "The caller got the outcome. The holder's log has the runs of the same key.", requestLines},
    EventEntry{Event::OrderUnanswered, EventLevel::Warning, "an upstream did not answer an order",
               "upstream order task run group",
               "It may be carried out later; the task starts elsewhere once that is ruled out.",
               requestLines},
};

} // namespace

std::span<const EventEntry> eventCatalogue()
{
    return catalogue;
}

const EventEntry &entryOf(Event event)
{
    const auto it = std::find_if(catalogue.begin(), catalogue.end(),
                                 [&](const auto &entry) { return entry.event == event; });
    return it == catalogue.end() ? catalogue.front() : *it;
}

} // namespace Citronpitch
