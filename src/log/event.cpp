#include "log/event.h"

#include <algorithm>
#include <array>

namespace Citronpitch {

namespace {

/// Per-request events have a higher limit, since operators use them to find the cause of a failure by request
/// id.
constexpr std::uint32_t requestRepeatLimitMultiplier = 20;

/// Events of single runs and jobs. A fleet of 8 holders with 3,000 runs per second has a mean of 375 per
/// holder; the rest is for an uneven distribution and for bursts after a disruption.
constexpr std::uint32_t traceLinesPerSecond = 2000;

constexpr std::array catalogue{
    EventDefinition{Event::Started, EventSeverity::Info, "started", "vm failureDomain",
                    "The daemon accepts requests. No action is needed."},
    EventDefinition{Event::Stopped, EventSeverity::Info, "stopped", "vm",
                    "The daemon exits. No action is needed."},
    EventDefinition{Event::DrainStarted, EventSeverity::Info, "shutting down gracefully", "vm",
                    "The readiness check fails from now on; new jobs are refused as not run, jobs in flight "
                    "are completed."},
    EventDefinition{
        Event::DrainTimedOut, EventSeverity::Warning, "graceful shutdown timed out", "vm",
        "Requests were still in flight after `drainTimeoutMs`. Their callers retry with the same key. "
        "Raise the limit if jobs run longer."},
    EventDefinition{Event::StartFailed, EventSeverity::Error, "start-up failed", "step error",
                    "The daemon exited during start-up. The error names the step and the address or file."},
    EventDefinition{Event::SettingChanged, EventSeverity::Info, "setting changed", "key",
                    "The new value is active."},
    EventDefinition{
        Event::SettingNeedsRestart, EventSeverity::Warning, "setting change requires a restart", "key",
        "The value of the key in the file differs from the active one and can't be changed at run time. "
        "Restart the daemon to apply it."},
    EventDefinition{Event::SettingsRejected, EventSeverity::Error, "settings file rejected", "error",
                    "The settings file reloaded on SIGHUP has errors; the active settings are unchanged. Run "
                    "`citronpitch settings check FILE`."},
    EventDefinition{Event::RepeatsSuppressed, EventSeverity::Warning, "repeated events suppressed",
                    "repeated count",
                    "The event exceeded its limit in a window; `count` is the number of suppressed lines."},
    EventDefinition{Event::ListeningStopped, EventSeverity::Info, "stopped accepting connections",
                    "vm inFlight",
                    "Second phase of a graceful shutdown; `inFlight` is the number of open connections."},
    EventDefinition{Event::MetricsUnavailable, EventSeverity::Error, "can't serve the metrics page",
                    "address error",
                    "The VM runs without the metrics page. Another process may use the address; restart the "
                    "VM once it is free."},
    EventDefinition{Event::EventLoopFailed, EventSeverity::Error, "event loop failed", "activity error",
                    "A defect of the program: an exception ended the VM while it handled `activity`. Its "
                    "supervisor restarts it. Report the line and those before it."},
    EventDefinition{
        Event::HolderOverloaded, EventSeverity::Warning, "the event loop lags: groups refuse new jobs",
        "lagMs",
        "This VM can't handle its messages in time. Its groups are reported as closed, so that entry VMs "
        "use other groups or refuse jobs at once. If it recurs, the deployment needs more control VMs or "
        "processor time."},
    EventDefinition{Event::HolderRecovered, EventSeverity::Info, "the groups accept jobs again", "lagMs",
                    "The event loop no longer lags. No action is needed."},
    EventDefinition{
        Event::LogLinesLost, EventSeverity::Warning, "lines of the log were lost", "lines total",
        "The reader of the log did not read for a while, or the log could not be written. `lines` were "
        "dropped before this line, `total` since the start, debug and info events first; the VM served "
        "all the same. Check what collects the log."},
    EventDefinition{Event::UpstreamAnnounced, EventSeverity::Info, "upstream announced itself",
                    "upstream address slots",
                    "The upstream is new, restarted with a new incarnation, or renewed an expired lease."},
    EventDefinition{Event::UpstreamLeaving, EventSeverity::Info, "upstream is leaving", "upstream",
                    "The upstream gets no new tasks; its running tasks are completed."},
    EventDefinition{Event::UpstreamExpired, EventSeverity::Warning, "upstream's lease expired", "upstream",
                    "The upstream did not renew its lease within `upstreamLeaseMs` and gets no new tasks. "
                    "Check the upstream and the network."},
    EventDefinition{
        Event::AnnouncementRejected, EventSeverity::Warning, "announcement rejected", "peer error",
        "The announcement or leave call of an upstream is malformed. No upstream was renewed, changed or "
        "ended by it. The sender received the same error text."},
    EventDefinition{
        Event::PeerMessageMalformed, EventSeverity::Warning, "malformed message of an entry VM dropped",
        "bytes",
        "A client that is not an entry VM connects to the peers' port, or the program versions differ."},
    EventDefinition{Event::PeerAlive, EventSeverity::Info, "entry VM is alive", "peer failureDomain",
                    "Its first message arrived, or the first one after it was suspected."},
    EventDefinition{
        Event::PeerSuspected, EventSeverity::Warning, "entry VM is unreachable", "peer failureDomain",
        "No message arrived for `suspicionMs`. Keys with that home VM are answered \"unknown\" here until "
        "it is reachable again. See docs/OPERATIONS.md."},
    EventDefinition{Event::PeerLeaving, EventSeverity::Info, "entry VM is shutting down",
                    "peer failureDomain", "Its heartbeat announced a graceful shutdown."},
    EventDefinition{
        Event::AnnouncementsDropped, EventSeverity::Warning, "announcements of upstreams dropped", "peer",
        "More messages wait than this VM can handle. Upstreams renew their announcements. See E112."},
    EventDefinition{Event::ConfigurationActivated, EventSeverity::Info, "configuration is active", "version",
                    "This entry VM uses this version from now on."},
    EventDefinition{
        Event::ConfigurationLeader, EventSeverity::Info, "leader of the configuration changed", "leader term",
        "That entry VM commits changes from now on. No action is needed unless the event is frequent."},
    EventDefinition{Event::ConfigurationStorageFailed, EventSeverity::Error,
                    "can't write the journal of the configuration", "error",
                    "This entry VM no longer votes or replicates; it continues to serve jobs. Repair the "
                    "disk and restart it."},
    EventDefinition{Event::DomainEvacuated, EventSeverity::Info, "failure domain is evacuated",
                    "domain since",
                    "This VM has learned that an operator evacuated the failure domain in configuration "
                    "`since`. Nothing new is started on its upstreams; see docs/OPERATIONS.md."},
    EventDefinition{
        Event::DomainRestored, EventSeverity::Info, "failure domain is no longer evacuated", "domain",
        "This VM has learned that an operator restored the failure domain. Its upstreams are used "
        "again one after the other."},
    EventDefinition{Event::ConfigurationRecovered, EventSeverity::Info,
                    "configuration was read from the journal",
                    "records bytes syncedBytes droppedBytes version term lastIndex commitIndex voters",
                    "What this VM starts with. `syncedBytes` are known to have been synced; `droppedBytes` "
                    "were lost or torn by a power loss before they were "
                    "synced; the other voters replicate what is missing. Compare `term`, `lastIndex` and "
                    "`commitIndex` of the voters if no leader is elected."},
    EventDefinition{
        Event::ConfigurationLeaderMissing, EventSeverity::Warning, "no leader of the configuration",
        "missingMs term lastIndex voters silentVoters",
        "No changes can be committed, and the newest configuration can't be confirmed. Nothing was "
        "received from `silentVoters` lately: if that is half of the voters or more, look for "
        "E104 and E402 there. Repeated while it lasts. A VM whose own disk fails (E402) knows no leader, "
        "either."},
    EventDefinition{Event::ConfigurationOutdated, EventSeverity::Warning, "configuration may be out of date",
                    "outdatedMs version leader term commitIndex leaderCommitIndex",
                    "For `outdatedMs` this VM has not been certain that the configuration that is active "
                    "here is the newest. A `leaderCommitIndex` above `commitIndex`: it has contact and is "
                    "behind; look for load and slow links. Otherwise it hears no leader that a majority "
                    "follows: look for E406 and E302. Repeated while it lasts."},
    EventDefinition{Event::ConfigurationConfirmed, EventSeverity::Info, "configuration is the newest again",
                    "version outdatedMs", "Ends E407. `outdatedMs`: how long this VM was uncertain."},
    EventDefinition{
        Event::ClaimsRecovered, EventSeverity::Info, "claims of earlier incarnations recovered",
        "records memory",
        "`memory` is \"whole\", \"tail-may-be-lost\" after a power failure or a loss of the disk, or "
        "\"lost\". Unless it is \"whole\", keys of that time are answered \"unknown\". See "
        "docs/decisions/claims.md."},
    EventDefinition{Event::ClaimStorageFailed, EventSeverity::Error, "can't write the journal of claims",
                    "error",
                    "New keys are refused as not run; answers and forwarding continue. Repair the disk and "
                    "restart the VM."},
    EventDefinition{Event::CallerRequestRejected, EventSeverity::Warning,
                    "malformed request of a caller rejected", "peer error",
                    "The caller received the same error text; no task was run."},
    EventDefinition{
        Event::JobNotSupported, EventSeverity::Warning, "job refused: a field is not supported",
        "peer key field",
        "The job asks for what this program does not do. The caller was told the field; no task was "
        "run. See the table in docs/design/constraints.md.",
        requestRepeatLimitMultiplier},
    EventDefinition{
        Event::RequestTooLarge, EventSeverity::Warning, "request refused while it was read", "peer limit",
        "An incomplete request exceeded a limit; nothing of it was handled, and its connection was "
        "closed. `limit`: header, trailers, body, bodiesInAll, incompleteInAll or readTime. "
        "`incompleteInAll`: all connections together held too much, and this one most. See "
        "docs/OPERATIONS.md."},
    EventDefinition{Event::RouteUnknown, EventSeverity::Info, "request to an unknown route",
                    "peer host path version confirmedAgeMs",
                    "The active configuration, `version`, has no queue for the request. `confirmedAgeMs`: "
                    "how long ago it was certain that this is the newest; empty if it never was."},
    EventDefinition{Event::DocumentActivated, EventSeverity::Info, "declared document is active", "version",
                    "This VM uses this version from now on."},
    EventDefinition{Event::DocumentUnreadable, EventSeverity::Error, "can't decode the declared document",
                    "version",
                    "The previous document stays active on this VM. The VMs run different program versions."},
    EventDefinition{Event::DocumentRejected, EventSeverity::Warning, "operator's document rejected",
                    "version error",
                    "The operator received the same error text; the active document is unchanged."},
    EventDefinition{Event::HolderAssigned, EventSeverity::Info, "leader assigned a group to a holder",
                    "group holder replacedFence",
                    "The previous holder is unreachable, shutting down, or belongs to another failure domain "
                    "than the group."},
    EventDefinition{Event::GroupAcquired, EventSeverity::Info, "this VM dispatches for a group",
                    "group fence upstreams", "It is the group's holder; `fence` is the fencing token."},
    EventDefinition{Event::GroupReleased, EventSeverity::Info, "this VM no longer dispatches for a group",
                    "group fence", "Another VM is its holder, or the jobs in flight have ended."},
    EventDefinition{
        Event::UpstreamFenceSuperseded, EventSeverity::Warning, "upstream has seen a higher fencing token",
        "group fence upstream",
        "Another VM is the holder of the group now. Jobs with runs on the upstream are answered as unknown."},
    EventDefinition{Event::DomainPartitioned, EventSeverity::Info,
                    "leader changes the number of groups of a failure domain",
                    "failureDomain groups upstreams",
                    "The domain has more upstreams than `partitionAboveUpstreams`, or the mean size of its "
                    "groups is out of range. Entry VMs of the domain hold the groups; 0 groups: a control VM "
                    "holds the whole domain again."},
    EventDefinition{
        Event::JobNotCompleted, EventSeverity::Warning, "job was not completed",
        "key outcome reason detail waitedMs",
        "The caller received the outcome. The log of the group's holder has the runs for the same key.",
        requestRepeatLimitMultiplier},
    EventDefinition{
        Event::OrderUnanswered, EventSeverity::Warning, "an upstream did not answer an order",
        "upstream order task run group",
        "The upstream may still execute the order; the task is started elsewhere once that is ruled out.",
        requestRepeatLimitMultiplier},
    EventDefinition{Event::RunLost, EventSeverity::Warning, "a run ended without a result",
                    "task run upstream loss incarnation leaseMs clockMs unansweredOrders group",
                    "`loss` tells whether the upstream restarted, was silent or answered no stop until the "
                    "lease had expired, left, ended the run itself, or confirmed its stop after an "
                    "unanswered start. The other "
                    "fields are those of E626. The same task on several upstreams: it may crash them. See "
                    "docs/OPERATIONS.md.",
                    requestRepeatLimitMultiplier},
    EventDefinition{
        Event::TaskCrash, EventSeverity::Warning, "an upstream was lost while it ran a task",
        "task upstream incarnation state",
        "`state`: suspected (startUnanswered if the task may not have run there) while the upstream is "
        "silent, "
        "then confirmed (inconclusive) if it has ended, or refuted. A task with two confirmed crashes is not "
        "started again, and its job fails. Check what the task does.",
        requestRepeatLimitMultiplier},
    EventDefinition{Event::GroupUpstreamExpired, EventSeverity::Warning, "an upstream gets no new tasks",
                    "upstream group",
                    "It has neither announced itself nor answered an order for four announcement intervals. "
                    "Check the upstream and its network; it is used again with its next announcement."},
    EventDefinition{
        Event::RunOrdered, EventSeverity::Debug, "a run was ordered",
        "task run upstream incarnation fence leaseMs group",
        "The start order was queued for sending; E621 tells if it got no answer. `incarnation`: the "
        "one that it was meant for. `leaseMs`: end of the lease on the upstream's clock. See "
        "docs/OPERATIONS.md.",
        1, traceLinesPerSecond},
    EventDefinition{
        Event::RunEnded, EventSeverity::Debug, "a run has ended",
        "task run upstream outcome verdict loss incarnation leaseMs clockMs unansweredOrders group",
        "The holder has concluded that the run has ended. `verdict` is the answer to the start order for "
        "`declined` and `notSent`, `loss` the reason for `lost`. What the holder knew of the upstream then: "
        "its incarnation, the latest lease that it may have, its clock when last read, and the number of "
        "orders "
        "without an answer so far. See docs/OPERATIONS.md.",
        1, traceLinesPerSecond},
    EventDefinition{
        Event::GroupStartsEnded, EventSeverity::Info, "no more starts in a group because of an evacuation",
        "group refused",
        "Accepted jobs had half of `evacuationMs` to start their tasks. `refused` jobs had not, and "
        "were refused, or failed if a task of theirs had started."},
    EventDefinition{
        Event::JobSubmitted, EventSeverity::Debug, "a caller submitted a job", "key tasks joined",
        "`joined`: this entry VM already had the job in flight, and the caller waits for the same "
        "answer.",
        1, traceLinesPerSecond},
    EventDefinition{
        Event::JobRouted, EventSeverity::Debug, "a job was sent to a holder",
        "key number group holder fence firstTask tasks reserved resent",
        "The job, or the part of a split one with `tasks` tasks from `firstTask`. A reserved part runs only "
        "once its holder is told to start it. Each repetition is logged; `resent`: an earlier message may "
        "have started it. If it can't be delivered, it is sent to another holder.",
        1, traceLinesPerSecond},
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
