#include "fleet/heldgroups.h"

#include "citronpitch/upstreamgroup.h"
#include "fleet/fleetwire.h"
#include "log/eventlog.h"

#include "wire/fleet.pb.h"

#include <algorithm>
#include <utility>

namespace Citronpitch {

namespace wire = citronpitch::wire::fleet;

namespace {

/// An upstream that sends no announcement for this many announcement intervals gets no new work.
constexpr int leaseAnnouncementIntervals = 4;

/// How long a new holder waits for the jobs of the previous one to end.
constexpr Duration handoverTimeout = std::chrono::milliseconds(1500);

/// How long a new holder waits for a connection to the previous one, if entry VMs hold the group.
constexpr Duration connectTimeout = std::chrono::milliseconds(500);

/// Minimum interval of acknowledgements of jobs. Together with the tick interval of 10 ms, a job is
/// acknowledged within 20 ms.
constexpr Duration receiptInterval = std::chrono::milliseconds(10);

/// Minimum interval of messages with crashes that entry VMs have reported.
constexpr Duration crashRelayInterval = std::chrono::milliseconds(20);
/// Largest number of records in one message.
constexpr int maximumCrashBatch = 100;
constexpr Duration crashExpiryInterval = std::chrono::seconds(1);

/// Margin for a slow upstream clock and for the delay of the last renewal.
constexpr Duration leaseSlack = std::chrono::milliseconds(80);
constexpr Duration minimumLease = std::chrono::milliseconds(100);

/// Time after an evacuation in which the upstreams are used again one after the other. Upstreams that were
/// idle can be slow for some seconds.
constexpr Duration warmUpTime = std::chrono::seconds(3);
/// Smaller differences between the delays of messages are the usual ones of a network.
constexpr Duration toleratedMessageDelay = std::chrono::milliseconds(20);

/// Longest lease that ends the runs of an unreachable entry VM before its callers retry their jobs.
Duration leaseWithinRetryTime(const FleetSettings &settings)
{
    return std::max(minimumLease, settings.callerRetryTime - defaultSuspicionTimeout - leaseSlack);
}

} // namespace

HeldGroups::HeldGroups(const FleetSettings &settings, FleetMember &member, const UpstreamRegistry &registry,
                       Metrics &metrics, HeldGroupsHooks hooks)
    : m_settings(settings)
    , m_member(member)
    , m_registry(registry)
    , m_metrics(metrics)
    , m_hooks(std::move(hooks))
{
}

void HeldGroups::setDeclaration(const WorkDeclaration &declaration)
{
    m_classes = classesOf(declaration);
    m_unguardedPools.clear();
    for (const auto &it : declaration.pools) {
        if (!it.refusesOverload)
            m_unguardedPools.insert(it.name);
    }
    for (const auto &[group, it] : m_groups) {
        it->setClasses(m_classes);
        it->setUnguardedPools(m_unguardedPools);
    }
}

void HeldGroups::setConfiguration(const Configuration &configuration, bool isShuttingDown)
{
    const auto previous = std::exchange(m_holders, configuration.holders);
    m_partitions = configuration.partitions;
    rememberRemovedHolders(previous);
    for (const auto &[group, it] : m_groups) {
        if (!isCurrentGroup(group, m_partitions))
            it->close(now());
    }
    std::erase_if(m_takeovers, [&](const auto &it) { return !isCurrentGroup(it.first, m_partitions); });
    for (const auto &it : m_holders) {
        const bool isOwn =
            it.vm == m_member.self().name && it.incarnation == m_member.self().incarnation && !isShuttingDown;
        const auto current = m_groups.find(it.group);
        if (current != m_groups.end() && current->second->fence() < it.fence)
            current->second->close(now());
        if (!isOwn) {
            m_takeovers.erase(it.group);
            continue;
        }
        const bool isKnown = (current != m_groups.end() && current->second->fence() == it.fence)
            || (m_takeovers.contains(it.group) && m_takeovers[it.group].fence == it.fence);
        if (isKnown)
            continue;
        m_takeovers[it.group] = newTakeover(it, previous);
    }
}

void HeldGroups::setEvacuations(const std::vector<DomainEvacuation> &evacuations)
{
    const auto isGone = [&](const auto &known) {
        return std::none_of(evacuations.begin(), evacuations.end(),
                            [&](const auto &it) { return it.domain == known.first; });
    };
    for (const auto &[domain, it] : m_evacuations) {
        if (!isGone(std::pair(domain, 0)))
            continue;
        m_warmUpEnds[domain] = now() + warmUpTime;
        for (const auto &[group, dispatcher] : m_groups) {
            if (isGroupEvacuated(group, {{domain, 0}}))
                dispatcher->restore(now(), m_warmUpEnds[domain]);
        }
    }
    std::erase_if(m_evacuations, isGone);
    for (const auto &it : evacuations) {
        const auto [known, isNew] =
            m_evacuations.try_emplace(it.domain, Evacuation{startDeadline(), {}, false});
        if (!isNew)
            continue;
        m_warmUpEnds.erase(it.domain);
        for (const auto &[group, dispatcher] : m_groups) {
            if (isGroupEvacuated(group, {it}))
                dispatcher->evacuate(now(), known->second.startDeadline);
        }
    }
}

void HeldGroups::announce(const RegisteredUpstream &upstream)
{
    const auto it = m_groups.find(
        groupOfUpstream(m_partitions, upstream.announcement.domain, upstream.announcement.upstream.name));
    if (it == m_groups.end())
        return;
    auto announcement = upstream.announcement;
    announcement.upstream.leaseDeadline =
        upstream.arrivedAt + m_settings.announcementInterval * leaseAnnouncementIntervals;
    it->second->announce(now(), announcement);
}

void HeldGroups::heartbeatReceived(const std::string &vm, const wire::Heartbeat &heartbeat)
{
    const auto *peer = m_member.directory().find(vm);
    if (peer == nullptr)
        return;
    if (heartbeat.groups().empty())
        m_reportedGroups.erase(vm);
    else
        m_reportedGroups[vm].clear();
    for (const auto &it : heartbeat.groups())
        m_reportedGroups[vm].insert(it.group());
    if (peer->peer.role != VmRole::Entry)
        return;
    for (const auto &[group, it] : m_groups)
        it->cancelAbandoned(now(), vm, peer->peer.incarnation, heartbeat.lowest_open_job());
}

void HeldGroups::jobReceived(const std::string &vm, const wire::Message &message)
{
    JobOrigin origin{vm, message.incarnation(), 0};
    if (message.has_cancel_job()) {
        origin.number = message.cancel_job().number();
        cancel(origin);
        return;
    }
    if (message.has_start_job()) {
        origin.number = message.start_job().number();
        startReceived(origin);
        return;
    }
    auto job = fromWire(now(), message.run_job());
    if (!job)
        return;
    origin.number = job->origin.number;
    job->origin = origin;
    job->age = m_member.messageAge();
    // The sender stated the time that remained when it sent the message.
    if (job->age > toleratedMessageDelay)
        job->submission.deadline -= job->age;
    // JobReserved acknowledges a reservation.
    if (m_groups.contains(message.run_job().group()) && !job->reserve)
        m_receipts[vm].insert(origin.number);
    submit(message.run_job().group(), *job);
}

void HeldGroups::submit(const std::string &group, const RoutedJob &job)
{
    const auto it = m_groups.find(group);
    if (it != m_groups.end()) {
        it->second->submit(now(), job);
        return;
    }
    if (job.isResent) {
        execute(group, FinishedJob{job.origin, formerHolderAnswer()});
        return;
    }
    Answer refused;
    refused.outcome = Outcome::Refused;
    refused.reason = Reason::ShuttingDown;
    refused.detail = "dispatch: this VM does not hold the group";
    execute(group, FinishedJob{job.origin, std::move(refused)});
}

void HeldGroups::cancel(const JobOrigin &origin)
{
    for (const auto &[group, it] : m_groups)
        it->cancel(now(), origin);
}

void HeldGroups::peerReachable(const std::string &vm)
{
    sendCrashes(vm, m_crashes.records());
}

void HeldGroups::peerUnreachable(const std::string &vm)
{
    m_reportedGroups.erase(vm);
    m_receipts.erase(vm);
    for (const auto &[group, it] : m_groups)
        it->entryVmUnreachable(now(), vm);
}

void HeldGroups::tick()
{
    if (const auto age = m_member.configuration().confirmedAge(now()))
        m_confirmedAt = now() - *age;
    std::erase_if(m_warmUpEnds, [&](const auto &it) { return it.second <= now(); });
    completeTakeovers();
    updateOverload();
    for (const auto &[group, it] : m_groups)
        it->tick(now(), m_member.lag().lag(now()));
    removeReleasedGroups();
    sendReceipts();
    expireCrashes();
    sendNewCrashes();
    relayCrashes();
}

void HeldGroups::updateOverload()
{
    const bool isOverloaded = m_member.lag().isOverloaded();
    if (std::exchange(m_isOverloaded, isOverloaded) == isOverloaded)
        return;
    const auto lag = std::chrono::duration_cast<std::chrono::milliseconds>(m_member.lag().lag(now()));
    if (isOverloaded)
        logEvent(Event::HolderOverloaded, {{"lagMs", std::to_string(lag.count())}});
    else
        logEvent(Event::HolderRecovered, {{"lagMs", std::to_string(lag.count())}});
    for (const auto &[group, it] : m_groups)
        it->setOverloaded(m_isOverloaded);
}

void HeldGroups::executeActions()
{
    if (std::exchange(m_isExecuting, true))
        return;
    for (const auto &[group, it] : m_groups) {
        for (auto actions = it->takeActions(); !actions.empty(); actions = it->takeActions()) {
            // Another start of a task, or the answer to its job, must not precede what it is based on: this
            // VM may be killed right after it.
            sendNewCrashes();
            for (const auto &action : actions)
                std::visit([this, &group = group](const auto &of) { execute(group, of); }, action);
        }
    }
    m_isExecuting = false;
    logEndedStarts();
}

void HeldGroups::fillHeartbeat(wire::Heartbeat &heartbeat) const
{
    for (const auto &[group, it] : m_groups)
        toWire(it->load(now()), heartbeat.add_groups());
}

std::vector<GroupLoad> HeldGroups::loads() const
{
    std::vector<GroupLoad> loads;
    for (const auto &[group, it] : m_groups)
        loads.push_back(it->load(now()));
    return loads;
}

std::set<std::string> HeldGroups::previousHolders() const
{
    std::set<std::string> vms;
    for (const auto &[group, it] : m_takeovers) {
        if (!it.previousHolder.empty())
            vms.insert(it.previousHolder);
    }
    return vms;
}

bool HeldGroups::isIdle() const
{
    return std::all_of(m_groups.begin(), m_groups.end(), [](const auto &it) { return it.second->isIdle(); });
}

void HeldGroups::collect(Metrics &metrics) const
{
    for (const auto &[group, it] : m_groups) {
        const auto load = it->load(now());
        metrics.setGauge(Metric::GroupFence, {group}, static_cast<double>(load.fence));
        metrics.setGauge(Metric::GroupFreeTasks, {group}, load.freeTasks);
        metrics.setGauge(Metric::GroupParallelTasks, {group}, load.parallelTasks);
        metrics.setGauge(Metric::GroupWaitingTime, {group},
                         std::chrono::duration<double>(load.waitingWork).count());
        const auto ready = it->readyUpstreams(now());
        metrics.setGauge(Metric::GroupUpstreams, {group, "ready"}, static_cast<double>(ready));
        metrics.setGauge(Metric::GroupUpstreams, {group, "heldBack"},
                         static_cast<double>(it->upstreams() - ready));
        const auto admission = it->admissionStatus();
        metrics.setGauge(Metric::GroupContended, {group}, admission.isContended ? 1 : 0);
        const auto setDecisions = [&metrics, &group = group](const char *decision, std::uint64_t jobs) {
            metrics.setGauge(Metric::GroupAdmissions, {group, decision}, static_cast<double>(jobs));
        };
        setDecisions("accepted", admission.accepted);
        setDecisions("contended", admission.acceptedUnderContention);
        setDecisions("refusedForTarget", admission.refusedForTarget);
        setDecisions("refusedForAccepted", admission.refusedForAccepted);
        setDecisions("shedForCapacity", admission.shedForCapacity);
        setDecisions("shedForTarget", admission.shedForTarget);
    }
}

TimePoint HeldGroups::now() const
{
    return m_member.now();
}

void HeldGroups::rememberRemovedHolders(const std::vector<GroupHolder> &previous)
{
    std::erase_if(m_removedHolders, [&](const auto &it) { return it.expiresAt <= now(); });
    for (const auto &it : previous) {
        if (!isCurrentGroup(it.group, m_partitions))
            m_removedHolders.push_back({it, now() + handoverTimeout});
    }
}

HeldGroups::Takeover HeldGroups::newTakeover(const GroupHolder &own,
                                             const std::vector<GroupHolder> &previous) const
{
    Takeover takeover{own.fence, {}, {}, now(), now() + handoverTimeout};
    const auto partition = std::find_if(m_partitions.begin(), m_partitions.end(), [&](const auto &it) {
        return isGroupOfDomain(own.group, it.domain);
    });
    if (partition != m_partitions.end())
        takeover.connectDeadline += connectTimeout;
    const auto before = std::find_if(previous.begin(), previous.end(),
                                     [&](const auto &holder) { return holder.group == own.group; });
    if (before != previous.end()) {
        takeover.previousHolder = before->vm;
        takeover.previousGroup = before->group;
        return takeover;
    }
    for (const auto &it : m_removedHolders) {
        if (partition == m_partitions.end() || !isGroupOfDomain(it.holder.group, partition->domain))
            continue;
        takeover.hasSeveralPreviousHolders = !takeover.previousHolder.empty();
        takeover.previousHolder = it.holder.vm;
        takeover.previousGroup = it.holder.group;
        if (takeover.hasSeveralPreviousHolders)
            break;
    }
    if (takeover.hasSeveralPreviousHolders)
        takeover.previousHolder.clear();
    return takeover;
}

bool HeldGroups::hasPreviousHolderEnded(const Takeover &takeover) const
{
    if (takeover.hasSeveralPreviousHolders)
        return false;
    const auto &vm = takeover.previousHolder;
    if (vm.empty())
        return true;
    if (vm == m_member.self().name) {
        const auto own = m_groups.find(takeover.previousGroup);
        return own == m_groups.end() || own->second->isIdle();
    }
    if (!m_member.directory().isAlive(vm))
        return now() >= takeover.connectDeadline;
    const auto reported = m_reportedGroups.find(vm);
    return reported == m_reportedGroups.end() || !reported->second.contains(takeover.previousGroup);
}

void HeldGroups::applyEvacuation(const std::string &group, GroupDispatcher &dispatcher)
{
    for (const auto &[domain, it] : m_evacuations) {
        if (isGroupEvacuated(group, {{domain, 0}}))
            dispatcher.evacuate(now(), it.startDeadline);
    }
    for (const auto &[domain, end] : m_warmUpEnds) {
        if (isGroupEvacuated(group, {{domain, 0}}))
            dispatcher.restore(now(), end);
    }
}

TimePoint HeldGroups::startDeadline() const
{
    const auto bound = m_settings.evacuationTime.value_or(Duration::zero());
    // The evacuation was not in force when the configuration before it was last confirmed. A VM that learns
    // late, as after a pause, has less time left than half of the bound. A start order may be executed until
    // its lease ends.
    const auto latest = m_confirmedAt + bound - m_settings.maximumLease - leaseSlack;
    return std::min(now() + bound / 2, latest);
}

void HeldGroups::logEndedStarts()
{
    for (auto &[domain, it] : m_evacuations) {
        if (it.hasLoggedEnd || now() < it.startDeadline)
            continue;
        it.hasLoggedEnd = true;
        for (const auto &[group, dispatcher] : m_groups) {
            if (isGroupEvacuated(group, {{domain, 0}}))
                logEvent(Event::GroupStartsEnded,
                         {{"group", group}, {"refused", std::to_string(it.refusals[group])}});
        }
    }
}

void HeldGroups::completeTakeovers()
{
    for (auto it = m_takeovers.begin(); it != m_takeovers.end();) {
        const auto &[group, takeover] = *it;
        const auto own = m_groups.find(group);
        const bool isOwnDone = own == m_groups.end() || own->second->isIdle();
        if (!(hasPreviousHolderEnded(takeover) && isOwnDone) && now() < takeover.deadline) {
            ++it;
            continue;
        }
        takeOverGroup(group, takeover.fence);
        it = m_takeovers.erase(it);
    }
}

void HeldGroups::takeOverGroup(const std::string &group, std::uint64_t fence)
{
    GroupDispatcherOptions options;
    options.group = group;
    options.fence = fence;
    options.runs.maximumLease = m_settings.maximumLease;
    options.runs.lease =
        std::min({options.runs.lease, m_settings.maximumLease, leaseWithinRetryTime(m_settings)});
    options.upstreamLease = m_settings.announcementInterval * leaseAnnouncementIntervals;
    options.nameTask = m_hooks.nameTask;
    options.reportsRunEnds = isLogLevelEnabled(EventSeverity::Debug);
    auto &it = m_groups[group];
    it = std::make_unique<GroupDispatcher>(std::move(options), m_crashes);
    it->setClasses(m_classes);
    it->setUnguardedPools(m_unguardedPools);
    applyEvacuation(group, *it);
    it->setOverloaded(m_isOverloaded);
    for (const auto &[name, upstream] : m_registry.upstreams())
        announce(upstream);
    logEvent(
        Event::GroupAcquired,
        {{"group", group}, {"fence", std::to_string(fence)}, {"upstreams", std::to_string(it->upstreams())}});
}

void HeldGroups::removeReleasedGroups()
{
    std::erase_if(m_groups, [&](const auto &it) {
        const auto holder = std::find_if(m_holders.begin(), m_holders.end(),
                                         [&](const auto &known) { return known.group == it.first; });
        const bool isReplaced = !isCurrentGroup(it.first, m_partitions)
            || (holder != m_holders.end() && holder->fence > it.second->fence());
        if (!isReplaced || !it.second->isIdle())
            return false;
        logEvent(Event::GroupReleased, {{"group", it.first}, {"fence", std::to_string(it.second->fence())}});
        return true;
    });
}

void HeldGroups::execute(const std::string &group, const RunOrder &order)
{
    if (order.kind == OrderKind::Start && isLogLevelEnabled(EventSeverity::Debug))
        logEvent(Event::RunOrdered,
                 {{"task", order.task},
                  {"run", std::to_string(order.run)},
                  {"upstream", order.upstream},
                  {"incarnation", std::to_string(order.incarnation)},
                  {"fence", std::to_string(order.fence)},
                  {"leaseMs", std::to_string(order.leaseMs)},
                  {"group", group}});
    m_hooks.sendOrder(
        order,
        [this, group, fence = m_groups.at(group)->fence(), order, sentAt = now()](const OrderResult &result) {
            recordOrder(group, order, result, sentAt);
            const auto it = m_groups.find(group);
            if (it == m_groups.end() || it->second->fence() != fence)
                return;
            it->second->orderEnded(now(), order.id, result);
            executeActions();
        });
}

void HeldGroups::execute(const std::string &group, const FinishedJob &finished)
{
    m_metrics.increment(Metric::JobsFinished,
                        {group, std::string(enumName(outcomeNames, finished.answer.outcome)),
                         std::string(enumName(reasonNames, finished.answer.reason))});
    if (const auto it = m_receipts.find(finished.origin.vm); it != m_receipts.end())
        it->second.erase(finished.origin.number);
    if (finished.answer.reason == Reason::DomainEvacuated) {
        m_metrics.increment(Metric::EvacuationRefusals, {group});
        for (auto &[domain, it] : m_evacuations) {
            if (isGroupEvacuated(group, {{domain, 0}}))
                ++it.refusals[group];
        }
    }
    if (finished.origin.vm == m_member.self().name && m_hooks.ownJobFinished) {
        m_hooks.ownJobFinished(finished);
        return;
    }
    wire::Message message;
    toWire(now(), finished, message.mutable_job_ended());
    m_member.send(finished.origin.vm, message);
}

void HeldGroups::execute(const std::string &, const ReservedJob &reserved)
{
    if (reserved.origin.vm == m_member.self().name && m_hooks.ownJobReserved) {
        m_hooks.ownJobReserved(reserved.origin.number);
        return;
    }
    wire::Message message;
    message.mutable_job_reserved()->set_number(reserved.origin.number);
    m_member.send(reserved.origin.vm, message);
}

void HeldGroups::execute(const std::string &group, const LostRun &lost)
{
    const std::string loss(enumName(runLossNames, lost.loss));
    m_metrics.increment(Metric::RunsLost, {group, loss});
    logEvent(Event::RunLost,
             {{"task", lost.task},
              {"run", std::to_string(lost.run)},
              {"upstream", lost.upstream},
              {"loss", loss},
              {"incarnation", std::to_string(lost.basis.incarnation)},
              {"leaseMs", std::to_string(lost.basis.leaseMs)},
              {"clockMs", std::to_string(lost.basis.clockMs)},
              {"unansweredOrders", std::to_string(lost.basis.unansweredOrders)},
              {"group", group}});
}

void HeldGroups::execute(const std::string &group, const ConcludedRun &concluded)
{
    const auto &run = concluded.run;
    logEvent(Event::RunEnded,
             {{"task", run.task},
              {"run", std::to_string(run.run)},
              {"upstream", concluded.upstream},
              {"outcome", std::string(enumName(runOutcomeNames, run.outcome))},
              {"verdict", std::string(enumName(orderVerdictNames, run.verdict))},
              {"loss", std::string(enumName(runLossNames, run.loss))},
              {"incarnation", std::to_string(run.basis.incarnation)},
              {"leaseMs", std::to_string(run.basis.leaseMs)},
              {"clockMs", std::to_string(run.basis.clockMs)},
              {"unansweredOrders", std::to_string(run.basis.unansweredOrders)},
              {"group", group}});
}

void HeldGroups::execute(const std::string &group, const ExpiredUpstream &expired)
{
    m_metrics.increment(Metric::UpstreamsExpired, {group});
    logEvent(Event::GroupUpstreamExpired, {{"upstream", expired.upstream}, {"group", group}});
}

void HeldGroups::execute(const std::string &group, const SupersededUpstream &superseded)
{
    logEvent(Event::UpstreamFenceSuperseded,
             {{"group", group},
              {"fence", std::to_string(m_groups.at(group)->fence())},
              {"upstream", superseded.upstream}});
}

void HeldGroups::startReceived(const JobOrigin &origin)
{
    if (origin.vm != m_member.self().name)
        m_receipts[origin.vm].insert(origin.number);
    const bool isKnown = std::any_of(m_groups.begin(), m_groups.end(),
                                     [&](const auto &it) { return it.second->start(now(), origin); });
    if (isKnown)
        return;
    // An earlier start may have been followed before the group was released.
    execute({}, FinishedJob{origin, formerHolderAnswer()});
}

void HeldGroups::sendReceipts()
{
    if (m_receipts.empty() || now() < m_nextReceipts)
        return;
    m_nextReceipts = now() + receiptInterval;
    for (const auto &[vm, numbers] : m_receipts) {
        if (numbers.empty())
            continue;
        wire::Message message;
        for (const auto it : numbers)
            message.mutable_job_received()->add_numbers(it);
        m_member.send(vm, message);
    }
    m_receipts.clear();
}

void HeldGroups::crashesReceived(const std::string &vm, const wire::TaskCrashes &message)
{
    // An entry VM sends its records to control VMs alone, which pass them on.
    const auto *peer = m_member.directory().find(vm);
    const bool isFromEntryVm = peer != nullptr && peer->peer.role == VmRole::Entry;
    for (const auto &it : message.crashes()) {
        const auto crash = fromWire(now(), it);
        if (crash && m_crashes.merge(*crash) && isFromEntryVm)
            m_unsentCrashes.push_back(*crash);
    }
}

void HeldGroups::sendNewCrashes()
{
    auto crashes = m_crashes.takeNews();
    for (const auto &it : crashes) {
        const std::string state(enumName(crashStateNames, it.state));
        m_metrics.increment(Metric::TaskCrashes, {state});
        logEvent(Event::TaskCrash,
                 {{"task", it.task},
                  {"upstream", it.upstream},
                  {"incarnation", std::to_string(it.incarnation)},
                  {"state", state}});
    }
    if (!crashes.empty())
        sendCrashes(crashes);
}

void HeldGroups::relayCrashes()
{
    if (m_unsentCrashes.empty() || now() < m_nextCrashRelay)
        return;
    m_nextCrashRelay = now() + crashRelayInterval;
    sendCrashes(std::exchange(m_unsentCrashes, {}));
}

void HeldGroups::expireCrashes()
{
    if (now() < m_nextCrashExpiry)
        return;
    m_nextCrashExpiry = now() + crashExpiryInterval;
    m_crashes.expire(now());
}

void HeldGroups::sendCrashes(const std::vector<TaskCrash> &crashes)
{
    const bool isControlVm = m_member.self().role == VmRole::Control;
    for (const auto &[name, it] : m_member.directory().peers()) {
        if (it.isAlive && (isControlVm || it.peer.role == VmRole::Control))
            sendCrashes(name, crashes);
    }
}

void HeldGroups::sendCrashes(const std::string &vm, const std::vector<TaskCrash> &crashes)
{
    wire::Message message;
    auto *batch = message.mutable_task_crashes();
    for (const auto &it : crashes) {
        toWire(now(), it, batch->add_crashes());
        if (batch->crashes_size() < maximumCrashBatch)
            continue;
        m_member.send(vm, message);
        batch->clear_crashes();
    }
    if (batch->crashes_size() > 0)
        m_member.send(vm, message);
}

void HeldGroups::recordOrder(const std::string &group, const RunOrder &order, const OrderResult &result,
                             TimePoint sentAt)
{
    const std::string kind(enumName(orderKindNames, order.kind));
    m_metrics.increment(Metric::OrdersCompleted,
                        {kind, std::string(enumName(orderVerdictNames, result.verdict))});
    m_metrics.observe(Metric::OrderDuration, {kind}, now() - sentAt);
    if (result.verdict == OrderVerdict::NoAnswer && order.kind != OrderKind::Poll)
        logEvent(Event::OrderUnanswered,
                 {{"upstream", order.upstream},
                  {"order", kind},
                  {"task", order.task},
                  {"run", std::to_string(order.run)},
                  {"group", group}});
}

} // namespace Citronpitch
